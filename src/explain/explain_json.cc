#include "src/explain/explain_json.h"

#include <algorithm>
#include <cmath>

#include "src/codec/object_reader.h"

namespace marjoramplank {

namespace {

using Poco::JSON::Array;
using Poco::JSON::Object;

constexpr char kDefaultId[] = "explained";

Object::Ptr NewObject() {
  return new Object(Poco::JSON_PRESERVE_KEY_ORDER);
}

JobStep ReadStep(ObjectReader& in) {
  JobStep out;
  in.Read("tasks", out.tasks);
  in.Read("cpu_milli", out.need.cpu_milli);
  in.Read("memory_mb", out.need.memory_mb);
  in.Read("accelerators", out.need.accelerators);
  in.Read("expected_run_time_ms", out.estimate);
  in.Read("after", out.after);
  in.Read("gang", out.gang);
  in.Read("same_rack", out.same_rack);
  in.Read("checkpoints", out.checkpoints);
  in.Read("speculative", out.speculative);
  in.Read("long_running", out.long_running);
  in.Read("uses_idle_cpu", out.uses_idle_cpu);
  in.Read("required_label", out.required_label);
  in.Read("data_rack", out.data_rack);
  in.Read("max_per_worker", out.max_per_worker);
  if (out.estimate < Duration(0)) {
    in.ReportError("expected_run_time_ms", "must not be negative");
  }
  return out;
}

void ReadQueue(const std::string& name,
               const Rules& rules,
               ObjectReader& in,
               JobRequest& job) {
  const auto queue =
      std::find_if(rules.queues.begin(), rules.queues.end(),
                   [&](const QueueRule& q) { return q.terms.queue == name; });
  if (queue == rules.queues.end()) {
    in.ReportError("queue", "no queue has this name");
    return;
  }
  job.terms = queue->terms;
  job.address = queue->address();
  if (job.account.empty() && queue->anonymous) {
    return;
  }
  if (job.account.empty()) {
    in.ReportError("account", "is required");
  } else if (rules.FindAccount(job.account) == nullptr) {
    in.ReportError("account", "no account has this name");
  }
}

// "steps[0] has ..." is a fault of steps[0].
FieldError ToFieldError(const std::string& fault) {
  constexpr char kSteps[] = "steps[";
  const std::size_t space = fault.find(' ');
  return fault.starts_with(kSteps)
             ? FieldError{fault.substr(0, space), fault.substr(space + 1)}
             : FieldError{"job", fault};
}

Object::Ptr ToJson(const Resources& r) {
  Object::Ptr out = NewObject();
  out->set("cpu_milli", r.cpu_milli);
  out->set("memory_mb", r.memory_mb);
  out->set("accelerators", r.accelerators);
  return out;
}

Object::Ptr ToJson(const AdmissionDecision& admission) {
  Object::Ptr out = NewObject();
  out->set("verdict", std::string(ToString(admission.verdict)));
  if (admission.verdict != AdmissionDecision::Verdict::kAccept) {
    out->set("reason", admission.reason);
    out->set("retry_after_ms", admission.retry_after.count());
  }
  return out;
}

Object::Ptr ToJson(const Explanation::StepTime& time) {
  Object::Ptr out = NewObject();
  out->set("expected_ms", time.expected.count());
  out->set("p90_ms", time.pessimistic.count());
  out->set("source", std::string(ToString(time.source)));
  return out;
}

Object::Ptr ToJson(const Explanation::Position& p) {
  Object::Ptr out = NewObject();
  out->set("units_ahead", p.units_ahead);
  out->set("waiting_units", p.waiting_units);
  out->set("guaranteed", p.is_guaranteed);
  out->set("priority", p.priority);
  out->set("outlook", std::string(ToString(p.outlook)));
  out->set("units_beyond_fair_share", p.units_beyond_fair_share);
  out->set("time_to_deadline_ms", p.time_to_deadline.count());
  return out;
}

Object::Ptr ToJson(const Explanation::Workers& w) {
  Object::Ptr out = NewObject();
  out->set("known", w.known);
  out->set("without_label", w.without_label);
  out->set("too_small", w.too_small);
  out->set("closed", w.closed);
  out->set("unavailable", w.unavailable);
  out->set("quarantined", w.quarantined);
  out->set("busy", w.busy);
  out->set("with_room", w.with_room);
  out->set("free_tasks", w.free_tasks);
  out->set("possible_tasks", w.possible_tasks);
  out->set("stopping_runs", w.stopping_runs);
  return out;
}

Object::Ptr ToJson(const Explanation::Place& p) {
  constexpr double kPercent = 100;
  Object::Ptr out = NewObject();
  out->set("worker", p.worker);
  out->set("agent", p.agent);
  out->set("rack", p.rack);
  out->set("data_centre", p.data_centre);
  out->set("tasks", p.tasks);
  out->set("speed_class", p.speed_class);
  out->set("slowness_percent",
           static_cast<std::int64_t>(std::lround(p.slowness * kPercent)));
  out->set("samples", p.samples);
  out->set("sample_age_ms", p.sample_age.count());
  out->set("free", ToJson(p.free));
  out->set("capacity", ToJson(p.capacity));
  return out;
}

Object::Ptr ToJson(const Explanation::Victim& v) {
  Object::Ptr out = NewObject();
  out->set("unit", ToString(v.unit));
  out->set("queue", v.queue);
  out->set("account", v.account);
  return out;
}

Object::Ptr ToJson(const Explanation::Unit& unit);
Object::Ptr ToJson(const Explanation::Step& step);
Object::Ptr ToJson(const FieldError& error);

template <typename T>
Array::Ptr ToArray(const std::vector<T>& items) {
  Array::Ptr out = new Array(Poco::JSON_PRESERVE_KEY_ORDER);
  for (const T& item : items) {
    out->add(ToJson(item));
  }
  return out;
}

Object::Ptr ToJson(const Explanation::Unit& unit) {
  using Outcome = Explanation::Unit::Outcome;
  Object::Ptr out = NewObject();
  out->set("unit", ToString(unit.first_task));
  out->set("outcome", std::string(ToString(unit.outcome)));
  if (!unit.reason.empty()) {
    out->set("reason", unit.reason);
  }
  switch (unit.outcome) {
    case Outcome::kStarts:
      out->set("expected_run_time_ms", unit.expected_run_time.count());
      out->set("places", ToArray(unit.places));
      break;
    case Outcome::kPreempts:
      out->set("lost_core_seconds", unit.lost_core_seconds);
      out->set("victims", ToArray(unit.victims));
      break;
    case Outcome::kWaitsForFast:
      out->set("expected_wait_ms", unit.expected_wait.count());
      out->set("expected_run_time_ms", unit.expected_run_time.count());
      out->set("slow_run_time_ms", unit.slow_run_time.count());
      break;
    case Outcome::kReserved:
      out->set("expected_wait_ms", unit.expected_wait.count());
      out->set("reserved_workers", unit.reserved_workers);
      break;
    case Outcome::kWaits:
      break;
  }
  return out;
}

Object::Ptr ToJson(const Explanation::Step& step) {
  Object::Ptr out = NewObject();
  out->set("step", step.step);
  out->set("starting_units", step.starting_units);
  out->set("position", ToJson(step.position));
  out->set("workers", ToJson(step.workers));
  out->set("units", ToArray(step.units));
  return out;
}

Object::Ptr ToJson(const FieldError& error) {
  Object::Ptr out = NewObject();
  out->set("path", error.path);
  out->set("message", error.message);
  return out;
}

}  // namespace

JobRequest ParseExplainedJob(const std::string& body,
                             const Rules& rules,
                             std::vector<FieldError>& errors) {
  using Need = ObjectReader::Need;
  const Result<Object::Ptr> parsed = ParseObject(body);
  if (const Error* error = std::get_if<Error>(&parsed)) {
    errors.push_back({"body", error->message});
    return {};
  }
  ObjectReader in(std::get<Object::Ptr>(parsed), "", errors);
  JobRequest out{.id = kDefaultId};
  std::string queue;
  in.Read("id", out.id);
  in.Read("account", out.account);
  if (in.Read("queue", queue, Need::kRequired)) {
    ReadQueue(queue, rules, in, out);
  }
  in.ReadObjects(
      "steps", [&](ObjectReader& step) { out.steps.push_back(ReadStep(step)); },
      Need::kRequired);
  in.ReportUnknownKeys();
  if (errors.empty()) {
    for (const std::string& fault : CheckJobRequest(out)) {
      errors.push_back(ToFieldError(fault));
    }
  }
  return out;
}

std::string RenderExplanation(const JobRequest& request,
                              const Explanation& explanation) {
  Object::Ptr out = NewObject();
  out->set("id", request.id);
  out->set("queue", request.terms.queue);
  out->set("account", request.account);
  out->set("service", request.terms.service);
  out->set("ledger_age_ms", explanation.ledger_age.count());
  out->set("admission", ToJson(explanation.admission));
  out->set("expected_wait_ms", explanation.expected_wait.count());
  out->set("step_times", ToArray(explanation.step_times));
  out->set("ready_steps", ToArray(explanation.ready_steps));
  return ToText(out);
}

std::string RenderFieldErrors(const std::vector<FieldError>& errors) {
  Object::Ptr error = NewObject();
  error->set("code", std::string("invalid_argument"));
  error->set("message", FormatFieldErrors(errors));
  Object::Ptr out = NewObject();
  out->set("error", error);
  out->set("errors", ToArray(errors));
  return ToText(out);
}

}  // namespace marjoramplank
