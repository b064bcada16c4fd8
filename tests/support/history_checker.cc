#include "tests/support/history_checker.h"

#include <set>
#include <tuple>

#include "src/codec/object_reader.h"

namespace marjoramplank::testing {

namespace {

struct Outcome {
  std::string state;
  std::vector<std::string> parts;
};

bool IsEndState(const std::string& state) {
  return state == "done" || state == "failed" || state == "cancelled" ||
         state == "not_run" || state == "may_have_run";
}

// Parses the job and its outcome from a reply's body. Returns false if the body
// names no job.
bool ParseReply(const std::string& body, std::string& job, Outcome& out) {
  const auto parsed = ParseObject(body);
  if (!IsOk(parsed)) {
    return false;
  }
  const Poco::JSON::Object::Ptr object =
      std::get<Poco::JSON::Object::Ptr>(parsed);
  job = object->optValue<std::string>("job", "");
  out.state = object->optValue<std::string>("state", "");
  std::vector<FieldError> errors;
  ObjectReader reader(object, "", errors);
  reader.Read("parts", out.parts);
  return !job.empty();
}

void CheckStarts(const std::vector<Event>& events,
                 const std::map<std::string, SubmittedJob>& jobs,
                 Time end,
                 std::vector<std::string>& violations) {
  std::map<std::tuple<std::string, std::int32_t>, int> starts;
  std::map<std::tuple<std::string, std::int32_t>,
           std::map<std::int32_t, std::pair<Time, Time>>>
      attempts;
  for (const Event& e : events) {
    if (e.kind == Event::Kind::kTaskStarted) {
      ++starts[{e.job, e.task}];
      attempts[{e.job, e.attempt}][e.task] = {e.at, end};
    } else if (e.kind == Event::Kind::kTaskStopped) {
      attempts[{e.job, e.attempt}][e.task].second = e.at;
    }
  }
  for (const auto& [key, n] : starts) {
    const auto job = jobs.find(std::get<0>(key));
    if (job != jobs.end() && !job->second.spec.idempotent &&
        !job->second.spec.checkpointable && n > 1) {
      violations.push_back("task " + std::to_string(std::get<1>(key)) + " of " +
                           std::get<0>(key) + ", not idempotent, was started " +
                           std::to_string(n) + " times");
    }
  }
  for (const auto& [key, tasks] : attempts) {
    const auto job = jobs.find(std::get<0>(key));
    if (job == jobs.end() ||
        tasks.size() == static_cast<std::size_t>(job->second.spec.tasks)) {
      continue;
    }
    for (const auto& [task, span] : tasks) {
      if (span.second - span.first > kPartialGangBound) {
        violations.push_back(
            "part of attempt " + std::to_string(std::get<1>(key)) + " of " +
            std::get<0>(key) + " ran as a partial gang for " +
            std::to_string((span.second - span.first).count()) + " ms");
      }
    }
  }
}

void CheckOutOfService(const std::vector<Event>& events,
                       std::vector<std::string>& violations) {
  std::map<std::string, Time> out_since;
  for (const Event& e : events) {
    if (e.kind == Event::Kind::kDataCentreOut) {
      out_since.emplace(e.subject, e.at);
    } else if (e.kind == Event::Kind::kDataCentreIn) {
      out_since.erase(e.subject);
    } else if (e.kind == Event::Kind::kTaskStarted) {
      const auto it = out_since.find(e.text);  // Data centre of the worker.
      if (it != out_since.end() && e.at > it->second + kOutOfServiceBound) {
        violations.push_back("a task of " + e.job + " started in " + e.text +
                             " " + std::to_string((e.at - it->second).count()) +
                             " ms after it was taken out");
      }
    }
  }
}

void CheckReplies(const std::vector<Event>& events,
                  const std::map<std::string, SubmittedJob>& jobs,
                  std::vector<std::string>& violations) {
  std::map<std::string, std::string> end_states;
  std::set<std::string> not_run;
  for (const Event& e : events) {
    std::string id;
    Outcome outcome;
    if (e.kind != Event::Kind::kReply || !ParseReply(e.text, id, outcome) ||
        !IsEndState(outcome.state)) {
      continue;
    }
    const auto [it, first] = end_states.emplace(id, outcome.state);
    if (!first && it->second != outcome.state) {
      violations.push_back(id + " ended as " + it->second + " and as " +
                           outcome.state);
    }
    if (outcome.state == "not_run") {
      not_run.insert(id);
    }
    const auto job = jobs.find(id);
    if (outcome.state != "done" || job == jobs.end()) {
      continue;
    }
    bool is_complete = outcome.parts.size() ==
                       static_cast<std::size_t>(job->second.spec.tasks);
    for (std::size_t n = 0; is_complete && n < outcome.parts.size(); ++n) {
      is_complete =
          outcome.parts[n] == "answer:" + id + ":" + std::to_string(n);
    }
    if (!is_complete) {
      violations.push_back("the answer of " + id +
                           " is incomplete or belongs to another job");
    }
  }
  for (const Event& e : events) {
    if (e.kind == Event::Kind::kTaskStarted && not_run.contains(e.job)) {
      violations.push_back(e.job +
                           " was answered not run, yet a task of it started");
    }
  }
}

// Within one process run the configuration version never decreases.
void CheckConfig(const std::vector<Event>& events,
                 std::vector<std::string>& violations) {
  std::map<std::string, std::int64_t> version_by_run;
  for (const Event& e : events) {
    if (e.kind != Event::Kind::kConfigInForce) {
      continue;
    }
    const auto it = version_by_run.find(e.subject);
    if (it != version_by_run.end() && e.number < it->second && e.number != 0) {
      violations.push_back("the configuration of " + e.subject +
                           " went back from " + std::to_string(it->second) +
                           " to " + std::to_string(e.number));
    }
    version_by_run[e.subject] = e.number;
  }
}

}  // namespace

std::vector<std::string> CheckHistory(
    const std::vector<Event>& events,
    const std::map<std::string, SubmittedJob>& jobs,
    Time end) {
  std::vector<std::string> violations;
  CheckStarts(events, jobs, end, violations);
  CheckOutOfService(events, violations);
  CheckReplies(events, jobs, violations);
  CheckConfig(events, violations);
  return violations;
}

}  // namespace marjoramplank::testing
