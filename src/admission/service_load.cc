#include "src/admission/service_load.h"

#include <algorithm>
#include <utility>

#include "src/dispatch/deadline.h"

namespace marjoramplank {

namespace {

constexpr double kMilliPerCore = 1000;

// Predicts run times of steps. Those of steps without a run depend on the queue
// and the declared time only and are computed once.
class QueuedStepTimes {
 public:
  QueuedStepTimes(const Ledger& ledger, Duration default_estimate)
      : model_(ledger.run_times()), default_estimate_(default_estimate) {}

  Duration Of(const LedgerJob& job, std::size_t step) {
    const JobRequest& r = job.request;
    if (job.phase != JobPhase::kQueued || job.has_begun) {
      return model_.Expected(r, step, default_estimate_);
    }
    const auto [it, is_new] = by_queue_.try_emplace(
        std::pair(r.terms.queue, r.steps[step].estimate), Duration(0));
    if (is_new) {
      it->second = model_.Expected(r, step, default_estimate_);
    }
    return it->second;
  }

 private:
  const RunTimeModel& model_;
  const Duration default_estimate_;
  std::map<std::pair<std::string, Duration>, Duration> by_queue_;
};

struct JobView {
  const LedgerJob& job;
  StepTimes run_times;
  Time deadline{0};
  bool counts_waiting = true;
};

JobView Describe(Time now, const LedgerJob& job, QueuedStepTimes& times) {
  const JobRequest& r = job.request;
  JobView out{.job = job};
  StepTimes remaining;
  for (std::size_t s = 0; s < r.steps.size(); ++s) {
    out.run_times.push_back(times.Of(job, s));
    const StepState& state = job.occurrences.front()[s];
    remaining.push_back(state.IsDone() ? Duration(0) : out.run_times.back());
  }
  out.deadline = job.first_seen_at +
                 ScaledBy(r.terms.stretch, CriticalPath(r, out.run_times)) +
                 r.terms.target;
  out.counts_waiting =
      r.recurrence.occurrence_count == 0 &&
      AssessDeadline(now, job.first_seen_at, out.deadline,
                     CriticalPath(r, remaining)) != DeadlineOutlook::kNoCredit;
  return out;
}

PendingWork MakeWork(const JobView& view,
                     const JobStep& step,
                     bool is_running,
                     double seconds) {
  const Resources need = NeedOnWorker(step);
  const JobRequest& r = view.job.request;
  return {
      .account = r.account,
      .label = step.required_label,
      .priority = r.terms.priority,
      .is_running = is_running,
      .deadline = view.deadline,
      .core_seconds =
          seconds * static_cast<double>(need.cpu_milli) / kMilliPerCore,
      .accelerator_seconds = seconds * static_cast<double>(need.accelerators)};
}

// Time left of a member of the unit: by the time since its start, or by its
// progress if that shows less.
double SecondsLeft(Time now,
                   const Ledger& ledger,
                   TaskRef task,
                   const RunUnit& unit,
                   Duration run_time) {
  double left = ToSeconds(run_time);
  for (const MemberPlace& m : unit.members) {
    const LedgerWorker* worker = ledger.FindWorker(m.incarnation);
    task.index = m.index;
    if (worker == nullptr) {
      continue;
    }
    const auto run = worker->runs.find(task);
    if (run == worker->runs.end()) {
      continue;
    }
    constexpr double kAllPercent = 100;
    const double by_progress =
        ToSeconds(run_time) * (kAllPercent - run->second.percent) / kAllPercent;
    const double by_time =
        ToSeconds(run_time - (now - run->second.first_seen_at));
    left = std::min({left, by_progress, by_time});
    break;  // The members of a gang start together.
  }
  return std::max(left, 0.0);
}

void AddStep(Time now,
             const Ledger& ledger,
             const JobView& view,
             TaskRef task,
             const RunLengthVector<RunUnit>& units,
             ServiceLoad& out) {
  const auto s = static_cast<std::size_t>(task.step);
  const JobStep& step = view.job.request.steps[s];
  double waiting = 0;
  double running = 0;
  for (const auto range : units) {
    const RunUnit& unit = range.value;
    task.index = static_cast<std::int32_t>(range.first);
    if (unit.phase == RunUnit::Phase::kRunning &&
        ledger.IsAtServiceOfJob(view.job, unit)) {
      running += unit.unfinished_members *
                 SecondsLeft(now, ledger, task, unit, view.run_times[s]);
    } else if (unit.phase == RunUnit::Phase::kWaiting && view.counts_waiting) {
      waiting += (step.gang ? step.tasks : 1) *
                 static_cast<double>(range.count) *
                 ToSeconds(view.run_times[s]);
    }
  }
  for (const auto& [is_running, seconds] :
       {std::pair(false, waiting), std::pair(true, running)}) {
    if (seconds > 0) {
      out.work.push_back(MakeWork(view, step, is_running, seconds));
      out.accounts.insert(view.job.request.account);
    }
  }
}

}  // namespace

Resources NeedOnWorker(const JobStep& step) {
  Resources need = step.need;
  if (step.uses_idle_cpu) {
    need.cpu_milli = 0;
  }
  return need;
}

LoadSnapshot MeasureLoad(Time now,
                         const Ledger& ledger,
                         Duration default_estimate) {
  LoadSnapshot out{.measured_at = now, .is_measured = true};
  QueuedStepTimes times(ledger, default_estimate);
  for (const std::string& id : ledger.open_jobs()) {
    const LedgerJob& job = ledger.jobs().at(id);
    const JobView view = Describe(now, job, times);
    ServiceLoad& service = out.services[job.request.terms.service];
    // Waiting units count for jobs of one occurrence only, and running ones are
    // in ranges of their own.
    for (const auto occurrences : job.occurrences) {
      for (std::size_t s = 0; s < job.request.steps.size(); ++s) {
        if (!job.request.steps[s].long_running) {
          AddStep(now, ledger, view,
                  {.job = id,
                   .occurrence = static_cast<std::int32_t>(occurrences.first),
                   .step = static_cast<std::int32_t>(s)},
                  occurrences.value[s].units, service);
        }
      }
    }
  }
  return out;
}

}  // namespace marjoramplank
