#include "src/dispatch/preemption_value.h"

#include <algorithm>
#include <cmath>

namespace marjoramplank {

double PreemptionValue::CreditWeight(const LedgerJob& job) const {
  const auto& weights = policy_.credit_weights;
  const auto priority = static_cast<std::size_t>(
      std::max(job.request.terms.priority, std::int32_t{0}));
  return weights.at(std::min(priority, weights.size() - 1));
}

void PreemptionValue::MeasureQueues() {
  struct Sum {
    double core_seconds = 0;
    double jobs = 0;
    void Add(double size) {
      core_seconds += size;
      ++jobs;
    }
    double Mean() const { return core_seconds / jobs; }
  };
  std::map<std::string, Sum> by_queue;
  std::map<std::int32_t, Sum> by_priority;
  const Ledger& ledger = forecast_.ledger();
  for (const std::string& id : ledger.open_jobs()) {
    const LedgerJob& job = ledger.jobs().at(id);
    const double size = forecast_.Of(job).core_seconds;
    if (size > 0) {
      by_queue[job.request.terms.queue].Add(size);
      by_priority[job.request.terms.priority].Add(size);
    }
  }
  for (const auto& [queue, sum] : by_queue) {
    mean_sizes_[queue] = sum.Mean();
  }
  reference_size_ =
      by_priority.empty() ? 0 : by_priority.rbegin()->second.Mean();
  has_measured_queues_ = true;
}

double PreemptionValue::CreditOf(const LedgerJob& job) {
  if (!has_measured_queues_) {
    MeasureQueues();
  }
  const auto mean = mean_sizes_.find(job.request.terms.queue);
  if (mean == mean_sizes_.end()) {
    return 0;
  }
  return CreditWeight(job) * reference_size_ * forecast_.Of(job).core_seconds /
         mean->second;
}

double PreemptionValue::CreditFraction(const LedgerJob& job,
                                       std::int32_t occurrence,
                                       Time end) {
  const Time due_at = forecast_.DueAt(job, occurrence);
  const Duration objective = forecast_.Of(job).objective;
  const double scale =
      std::max(1.0, policy_.end_uncertainty *
                        static_cast<double>((end - forecast_.now()).count()));
  const auto probability_by = [&](Time limit) {
    return 1 /
           (1 + std::exp(static_cast<double>((end - limit).count()) / scale));
  };
  return policy_.late_credit_fraction *
             probability_by(due_at + objective * kLateCreditFactor) +
         (1 - policy_.late_credit_fraction) *
             probability_by(due_at + objective);
}

double PreemptionValue::GainOf(const WaitingUnit& unit, Time soon, Time later) {
  const LedgerJob& job = *unit.job;
  const Duration path =
      forecast_.Of(job)
          .path_times[static_cast<std::size_t>(unit.first_task.step)];
  const auto fraction = [&](Time start) {
    return start == kNever
               ? 0
               : CreditFraction(job, unit.first_task.occurrence, start + path);
  };
  const double share = static_cast<double>(unit.member_count) /
                       static_cast<double>(unit.step->tasks);
  const double gained = fraction(soon) - fraction(later);
  return gained >= policy_.min_gained_fraction ? gained * share * CreditOf(job)
                                               : 0;
}

bool PreemptionValue::HasWaitingUnits(const StepState& step) {
  const auto [it, is_new] = has_waiting_.try_emplace(&step, false);
  if (is_new) {
    it->second = std::any_of(
        step.units.begin(), step.units.end(),
        [](const auto& range) { return range.value.IsStartable(); });
  }
  return it->second;
}

double PreemptionValue::CreditLoss(const LedgerJob& job,
                                   const TaskRef& first,
                                   Duration remaining) {
  const auto step = static_cast<std::size_t>(first.step);
  if (job.request.steps[step].long_running) {
    return 0;
  }
  const JobForecast& forecast = forecast_.Of(job);
  const Time now = forecast_.now();
  const Duration rest = forecast.path_times[step] - forecast.run_times[step];
  const Duration wait = policy_.stop_time + policy_.restart_wait;
  const Duration again =
      job.request.steps[step].checkpoints
          ? std::min(remaining, forecast.run_times[step]) + policy_.restart_time
          : forecast.run_times[step];
  // Other units of the step that still wait end no sooner than this.
  const bool has_waiting = HasWaitingUnits(
      job.occurrences[static_cast<std::size_t>(first.occurrence)][step]);
  const Duration ahead =
      has_waiting
          ? std::max(remaining, policy_.restart_wait + forecast.run_times[step])
          : remaining;
  const double kept = CreditFraction(job, first.occurrence, now + ahead + rest);
  const double left = CreditFraction(
      job, first.occurrence, now + std::max(ahead, wait + again) + rest);
  return kept > left ? (kept - left) * CreditOf(job) : 0;
}

}  // namespace marjoramplank
