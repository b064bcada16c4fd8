// Invariants with a time bound, checked from the workers' point of view.

#include <algorithm>

#include "tests/support/job_simulation_parts.h"

namespace marjoramplank {

namespace {

// The platform's bounds in the deployment settings.
constexpr Duration kEvacuationBound = 5s;
constexpr Duration kReclaimBound = 2700ms;
constexpr Duration kClosureDuration = 6s;
constexpr double kTicksPerSecond = 100;

std::int64_t MaxAcceleratorsOf(const JobRequest& request) {
  std::int64_t most = 0;
  for (const JobStep& step : request.steps) {
    most = std::max(most, step.tasks * step.need.accelerators);
  }
  return most;
}

}  // namespace

void JobSimulation::UpdateClosedDataCentres() {
  for (auto it = closed_since_.begin(); it != closed_since_.end();) {
    it = now_ - it->second > kClosureDuration ? closed_since_.erase(it)
                                              : std::next(it);
  }
  if (RandomBool(options_.closures_per_s / kTicksPerSecond)) {
    closed_since_.try_emplace("d" + std::to_string(random_() % 2), now_);
  }
  rules_.closed_data_centres.clear();
  for (const auto& [data_centre, since] : closed_since_) {
    rules_.closed_data_centres.insert(data_centre);
  }
}

void JobSimulation::CheckDataCentreOpen(const TaskRef& task,
                                        const WorkerIncarnation& incarnation) {
  const auto closed =
      closed_since_.find(data_centre_of_worker_.at(incarnation.id));
  if (!delivering_delayed_command_ && closed != closed_since_.end() &&
      now_ - closed->second > kEvacuationBound) {
    ReportViolation(ToString(task) + " started in a closed data centre");
  }
}

void JobSimulation::Suspend(Agent& agent) {
  if (IsSuspended(agent) || agent.worker.is_lost) {
    return;
  }
  const Duration duration(random_() % options_.max_suspension.count());
  if (agent.suspended_unheard + duration > options_.max_suspended_unheard) {
    return;
  }
  agent.suspended_unheard += duration;
  agent.suspended_until = now_ + duration;
  agent.worker.clock_lag += duration;
  for (auto& [task, run] : agent.worker.runs) {
    run.ends_at = run.ends_at == kNever ? kNever : run.ends_at + duration;
    run.started_at += duration;
  }
}

bool JobSimulation::IsSuspended(const Agent& agent) const {
  return now_ < agent.suspended_until;
}

std::int64_t JobSimulation::CountWorkersAtWork(
    const TaskHistory& history) const {
  return std::count_if(agents_.begin(), agents_.end(), [&](const auto& agent) {
    return history.running_on.contains(agent->worker.incarnation.id) &&
           now_ >= agent->suspended_until + options_.wake_bound;
  });
}

// A task whose worker is suspended may be given to another worker. The worker
// that wakes stops it soon.
void JobSimulation::CheckOneRunAtATime() {
  for (auto& [task, history] : task_histories_) {
    if (!history.reported_overlap && CountWorkersAtWork(history) > 1) {
      history.reported_overlap = true;
      ReportViolation("two runs of " + ToString(task) + " at the same time");
    }
  }
}

bool JobSimulation::HasStarted(const std::string& job,
                               const JobRequest& request) const {
  for (std::int32_t n = 0; n < request.steps[0].tasks; ++n) {
    const auto history = task_histories_.find({.job = job, .index = n});
    if (history == task_histories_.end() ||
        history->second.last_started_at == Time{0}) {
      return false;
    }
  }
  return true;
}

void JobSimulation::CheckGuarantees() {
  if (!options_.check_guarantees) {
    return;
  }
  std::vector<std::string> guaranteed_jobs;
  std::int64_t wanted_accelerators = 0;
  for (const auto& [id, request] : requests_) {
    const LedgerJob* job = planner_ledger_.FindJob(id);
    const bool ended = job != nullptr && job->ended();
    if (request.terms.priority == 0 && !ended) {
      guaranteed_jobs.push_back(id);
      wanted_accelerators += MaxAcceleratorsOf(request);
    }
  }
  for (const std::string& id : guaranteed_jobs) {
    if (wanted_accelerators >
        rules_.rules.accounts[0].guaranteed_accelerators) {
      beyond_guarantee_.insert(id);
    }
    if (!beyond_guarantee_.contains(id) &&
        now_ - submit_times_[id] > kReclaimBound &&
        !HasStarted(id, requests_[id])) {
      ReportViolation("job " + id +
                      " has not started within the bound of its guarantee");
      beyond_guarantee_.insert(id);  // Reported once.
    }
  }
}

}  // namespace marjoramplank
