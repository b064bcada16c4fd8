#include "src/dispatch/run_forecast.h"

#include <algorithm>

#include "src/dispatch/placement.h"

namespace marjoramplank {

Duration Scale(Duration duration, double factor) {
  const double ms = static_cast<double>(duration.count()) * factor;
  return ms >= static_cast<double>(kMaxDuration.count())
             ? kMaxDuration
             : Duration(static_cast<std::int64_t>(ms));
}

const JobForecast& RunForecast::Of(const LedgerJob& job) {
  const auto [it, is_new] = jobs_.try_emplace(&job);
  JobForecast& out = it->second;
  if (!is_new) {
    return out;
  }
  const std::vector<JobStep>& steps = job.request.steps;
  for (std::size_t s = 0; s < steps.size(); ++s) {
    const Duration run_time =
        ledger_.run_times().Expected(job.request, s, options_.default_estimate);
    out.run_times.push_back(run_time);
    out.is_learned.push_back(ledger_.run_times().IsLearned(job.request, s));
    if (!steps[s].long_running) {
      out.core_seconds +=
          ToSeconds(run_time) * steps[s].tasks * CoreEquivalent(steps[s].need);
    }
  }
  out.path_times = out.run_times;
  Duration critical_path{0};
  // Steps depend on earlier ones only.
  for (std::size_t s = steps.size(); s-- > 0;) {
    for (const std::int32_t dependency : steps[s].after) {
      const auto d = static_cast<std::size_t>(dependency);
      out.path_times[d] =
          std::max(out.path_times[d], out.run_times[d] + out.path_times[s]);
    }
    critical_path = std::max(critical_path, out.path_times[s]);
  }
  out.objective = Scale(critical_path, job.request.terms.stretch) +
                  job.request.terms.target;
  return out;
}

Time RunForecast::DueAt(const LedgerJob& job, std::int32_t occurrence) const {
  const Recurrence& r = job.request.recurrence;
  if (r.occurrence_count == 0) {
    return job.first_seen_at;
  }
  const Duration time_until_due(r.first_due_unix_ms +
                                occurrence * r.interval_ms - unix_ms_);
  return std::max(job.first_seen_at, now_ + time_until_due);
}

double RunForecast::Slowness(const LedgerWorker& worker) {
  const auto [it, is_new] = slowness_.try_emplace(&worker, 1.0);
  if (is_new) {
    it->second = ledger_.run_times().Slowness(now_, worker.report.agent);
  }
  return it->second;
}

std::size_t RunForecast::SampleCount(const LedgerWorker& worker) const {
  return ledger_.run_times().SampleCount(worker.report.agent);
}

Duration RunForecast::ExpectedRemaining(const LedgerJob& job,
                                        const LedgerWorker& worker,
                                        const TaskRef& task,
                                        const LiveRun& run) {
  const auto step = static_cast<std::size_t>(task.step);
  if (job.ended() || job.request.steps[step].long_running) {
    return kNever;
  }
  if (run.projected_run_time > Duration(0)) {
    const double rest = (100 - std::clamp(run.percent, 0, 100)) / 100.0;
    return Scale(run.projected_run_time, rest) - (now_ - run.observed_at);
  }
  return Scale(Of(job).run_times[step], Slowness(worker)) -
         (now_ - run.first_seen_at);
}

Duration RunForecast::Remaining(const LedgerJob& job,
                                const LedgerWorker& worker,
                                const TaskRef& task,
                                const LiveRun& run) {
  const Duration expected = ExpectedRemaining(job, worker, task, run);
  return expected < Duration(0) ? -expected : expected;
}

bool RunForecast::IsReliable(const LedgerJob& job,
                             const TaskRef& task,
                             const LiveRun& run) {
  return run.projected_run_time > Duration(0) ||
         Of(job).is_learned[static_cast<std::size_t>(task.step)];
}

Duration RunForecast::RemainingOfUnit(const LedgerJob& job,
                                      const TaskRef& first,
                                      const RunUnit& unit) {
  Duration out{0};
  for (const MemberPlace& m : unit.members) {
    const LedgerWorker* worker = ledger_.FindWorker(m.incarnation);
    if (worker == nullptr) {
      continue;
    }
    TaskRef task = first;
    task.index = m.index;
    const auto run = worker->runs.find(task);
    if (run != worker->runs.end() && run->second.run == unit.run) {
      out = std::max(out, Remaining(job, *worker, task, run->second));
    }
  }
  return out;
}

Duration RunForecast::WorkDone(const LedgerJob& job,
                               const LedgerWorker& worker,
                               const TaskRef& task,
                               const LiveRun& run) {
  const Duration age =
      std::max(Duration(now_ - run.first_seen_at), Duration(0));
  if (run.projected_run_time <= Duration(0)) {
    return Scale(age, 1 / Slowness(worker));
  }
  const Duration usual = Of(job).run_times[static_cast<std::size_t>(task.step)];
  const double speed = static_cast<double>(usual.count()) /
                       static_cast<double>(run.projected_run_time.count());
  return std::min(Scale(age, speed), age);
}

}  // namespace marjoramplank
