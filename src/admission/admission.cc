#include "src/admission/admission.h"

#include <algorithm>
#include <sstream>

#include "src/dispatch/deadline.h"

namespace marjoramplank {

namespace {

constexpr double kMilliPerCore = 1000;

bool HasLabel(const WorkerReported& worker, const std::string& label) {
  return label.empty() || std::find(worker.labels.begin(), worker.labels.end(),
                                    label) != worker.labels.end();
}

// Tasks of the step that fit into `available` on the worker.
std::int64_t TasksThatFit(const JobStep& step,
                          const WorkerReported& worker,
                          const Resources& available) {
  if (!HasLabel(worker, step.required_label)) {
    return 0;
  }
  const Resources need = NeedOnWorker(step);
  std::int64_t count = step.tasks;
  for (const auto& [amount, free] :
       {std::pair(need.cpu_milli, available.cpu_milli),
        std::pair(need.memory_mb, available.memory_mb),
        std::pair(need.accelerators, available.accelerators)}) {
    if (amount > 0) {
      count = std::min(count, std::max<std::int64_t>(0, free / amount));
    }
  }
  return step.max_per_worker > 0
             ? std::min<std::int64_t>(count, step.max_per_worker)
             : count;
}

// Tasks of the step that must fit at the same time.
std::int64_t ConcurrentTasks(const JobStep& step) {
  return step.gang ? step.tasks : 1;
}

bool IsOpen(const LedgerWorker& worker,
            const RulesView& rules,
            const std::string& service) {
  return worker.report.service == service && worker.report.accepting &&
         !worker.incarnation_ended &&
         !rules.closed_data_centres.contains(worker.report.data_centre);
}

bool IsFree(const AdmissionInput& in, const JobStep& step) {
  std::int64_t count = 0;
  for (const auto& [incarnation, worker] : in.ledger.workers()) {
    if (IsOpen(worker, in.rules, in.request.terms.service)) {
      count += TasksThatFit(step, worker.report,
                            worker.report.capacity - worker.used);
      if (count >= ConcurrentTasks(step)) {
        return true;
      }
    }
  }
  return false;
}

// True if a step that can start at once has room.
bool IsAnyFirstStepFree(const AdmissionInput& in) {
  return std::any_of(
      in.request.steps.begin(), in.request.steps.end(),
      [&](const JobStep& s) { return s.after.empty() && IsFree(in, s); });
}

// Compared with the account's accelerators in use only, not with what waits:
// no job that the planner takes for guaranteed is rejected.
bool MayBeGuaranteed(const AdmissionInput& in) {
  const JobRequest& r = in.request;
  const AccountRule* account = in.rules.rules.FindAccount(r.account);
  if (r.terms.priority != 0 || account == nullptr) {
    return false;
  }
  std::int64_t wanted = 0;
  for (const JobStep& step : r.steps) {
    wanted = std::max(wanted, step.tasks * step.need.accelerators);
  }
  if (wanted > account->guaranteed_accelerators) {
    return false;
  }
  for (const auto& [incarnation, worker] : in.ledger.workers()) {
    for (const auto& [task, run] : worker.runs) {
      const LedgerJob* job = in.ledger.FindJob(task.job);
      if (job != nullptr && job->request.account == r.account &&
          job->request.terms.priority == 0) {
        wanted += run.need.accelerators;
      }
    }
  }
  return wanted <= account->guaranteed_accelerators;
}

// Why the workers of the service cannot run the step. Empty: they can.
std::string UnrunnableReason(
    const JobStep& step,
    const std::vector<const WorkerReported*>& workers) {
  std::int64_t fitting = 0;
  bool has_label = false;
  for (const WorkerReported* worker : workers) {
    fitting += TasksThatFit(step, *worker, worker->capacity);
    has_label = has_label || HasLabel(*worker, step.required_label);
  }
  if (fitting >= ConcurrentTasks(step)) {
    return "";
  }
  std::ostringstream out;
  if (has_label && fitting > 0) {
    out << "the gang has " << step.tasks << " tasks, and all ";
  } else {
    out << "none ";
  }
  out << "of the " << workers.size() << " known workers of the service ";
  if (!has_label) {
    out << "has the required label";
  } else if (fitting == 0) {
    out << "has the capacity for a task";
  } else {
    out << "hold " << fitting;
  }
  return out.str();
}

AdmissionDecision CheckRunnable(const AdmissionInput& in,
                                const AdmissionOptions& options) {
  const std::string& service = in.request.terms.service;
  if (!in.workers.IsSettled(in.now, service)) {
    return {};
  }
  const std::vector<const WorkerReported*> workers =
      in.workers.WorkersOf(service);
  for (std::size_t s = 0; s < in.request.steps.size(); ++s) {
    const std::string reason = UnrunnableReason(in.request.steps[s], workers);
    if (!reason.empty()) {
      return {.verdict = AdmissionDecision::Verdict::kUnrunnable,
              .reason = "steps[" + std::to_string(s) + "]: " + reason,
              .retry_after = options.max_retry_after};
    }
  }
  return {};
}

struct Amounts {
  double cores = 0;
  double accelerators = 0;
};

void AddTo(Amounts& sum, const PendingWork& work, double factor = 1) {
  sum.cores += factor * work.core_seconds;
  sum.accelerators += factor * work.accelerator_seconds;
}

// Capacity of the workers with the label.
Amounts CapacityOf(const Ledger& ledger,
                   const RulesView& rules,
                   const std::string& service,
                   const std::string& label) {
  Amounts out;
  for (const auto& [incarnation, worker] : ledger.workers()) {
    if (IsOpen(worker, rules, service) && HasLabel(worker.report, label)) {
      out.cores +=
          static_cast<double>(worker.report.capacity.cpu_milli) / kMilliPerCore;
      out.accelerators +=
          static_cast<double>(worker.report.capacity.accelerators);
    }
  }
  return out;
}

// Of what is queued and running, the part that a job must wait for.
struct QueuePosition {
  std::int32_t priority = 0;
  Time deadline{0};
  std::string label;
};

bool IsAhead(const PendingWork& work, const QueuePosition& position) {
  // A job with a label shares its workers with others, of which an unknown part
  // runs elsewhere.
  if (!position.label.empty() && work.label != position.label) {
    return false;
  }
  if (work.is_running) {
    // Urgent jobs preempt.
    return work.priority <= position.priority || position.priority > 0;
  }
  return work.priority < position.priority ||
         (work.priority == position.priority &&
          work.deadline <= position.deadline);
}

// Work that goes before the job, by the order of deadlines.
Amounts WorkAhead(const ServiceLoad& load, const QueuePosition& position) {
  Amounts out;
  for (const PendingWork& work : load.work) {
    if (IsAhead(work, position)) {
      AddTo(out, work);
    }
  }
  return out;
}

// The same if the account gets its equal share of the service: others' work of
// the same priority does not go before it, and its own gets that share.
Amounts WorkAheadOfShare(const ServiceLoad& load,
                         const QueuePosition& position,
                         const std::string& account) {
  const auto accounts = static_cast<double>(
      load.accounts.size() + (load.accounts.contains(account) ? 0 : 1));
  Amounts out;
  for (const PendingWork& work : load.work) {
    if (!IsAhead(work, position)) {
      continue;
    }
    if (work.priority < position.priority) {
      AddTo(out, work);
    } else if (work.account == account && work.priority == position.priority) {
      AddTo(out, work, accounts);
    }
  }
  return out;
}

// Seconds for the work, by the resource that takes longest of those needed.
double SecondsFor(const Amounts& work,
                  const Amounts& capacity,
                  bool needs_cores,
                  bool needs_accelerators) {
  double out = 0;
  if (needs_cores && capacity.cores > 0) {
    out = std::max(out, work.cores / capacity.cores);
  }
  if (needs_accelerators && capacity.accelerators > 0) {
    out = std::max(out, work.accelerators / capacity.accelerators);
  }
  return out;
}

Duration FromSeconds(double seconds) {
  constexpr double kMsPerSecond = 1000;
  return Duration(static_cast<std::int64_t>(std::min(
      seconds * kMsPerSecond, static_cast<double>(kMaxDuration.count()))));
}

Duration WaitOf(const AdmissionInput& in, Time deadline) {
  const JobRequest& r = in.request;
  const auto load = in.load.services.find(r.terms.service);
  if (load == in.load.services.end()) {
    return Duration(0);
  }
  const QueuePosition position{.priority = r.terms.priority,
                               .deadline = deadline,
                               .label = r.steps.front().required_label};
  bool needs_cores = false;
  bool needs_accelerators = false;
  for (const JobStep& step : r.steps) {
    needs_cores = needs_cores || NeedOnWorker(step).cpu_milli > 0;
    needs_accelerators = needs_accelerators || step.need.accelerators > 0;
  }
  const Amounts capacity =
      CapacityOf(in.ledger, in.rules, r.terms.service, position.label);
  return FromSeconds(
      std::min(SecondsFor(WorkAhead(load->second, position), capacity,
                          needs_cores, needs_accelerators),
               SecondsFor(WorkAheadOfShare(load->second, position, r.account),
                          capacity, needs_cores, needs_accelerators)));
}

// True if the end of the job can be estimated.
bool IsPredictable(const AdmissionInput& in) {
  const JobRequest& r = in.request;
  if (r.recurrence.occurrence_count > 0) {
    return false;
  }
  for (std::size_t s = 0; s < r.steps.size(); ++s) {
    if (r.steps[s].long_running ||
        r.steps[s].required_label != r.steps.front().required_label ||
        !in.ledger.run_times().IsLearned(r, s)) {
      return false;
    }
  }
  return true;
}

StepTimes DeclaredTimes(const JobRequest& request, Duration default_estimate) {
  StepTimes out;
  for (const JobStep& step : request.steps) {
    out.push_back(step.estimate > Duration(0) ? step.estimate
                                              : default_estimate);
  }
  return out;
}

AdmissionDecision CheckCredit(const AdmissionInput& in,
                              const AdmissionOptions& options) {
  if (!in.load.is_measured ||
      in.now - in.load.measured_at > options.max_view_age ||
      !IsPredictable(in)) {
    return {};
  }
  const JobRequest& r = in.request;
  const Duration learned_path = CriticalPath(
      r, ExpectedStepTimes(in.ledger.run_times(), r, options.default_estimate));
  // Declared times are off in both directions, and the objective is the longer
  // one if in doubt.
  const Duration path =
      std::max(learned_path,
               CriticalPath(r, DeclaredTimes(r, options.default_estimate)));
  const Duration objective = ScaledBy(r.terms.stretch, path) + r.terms.target;
  const Duration limit = objective * kLateCreditFactor;
  const Duration wait = WaitOf(in, in.now + objective);
  if (wait <= Duration(0) ||
      ScaledBy(options.counted_wait, wait) + learned_path <= limit) {
    return {.expected_wait = wait};
  }
  const Duration longest_wait = std::max(
      Duration(0), ScaledBy(1 / options.counted_wait, limit - learned_path));
  return {
      .verdict = AdmissionDecision::Verdict::kTooLate,
      .reason = "the work that is queued ahead takes about " +
                std::to_string(wait.count()) +
                " ms, and the job earns credit for " +
                std::to_string(limit.count()) + " ms only",
      .retry_after = std::clamp(wait - longest_wait, options.min_retry_after,
                                options.max_retry_after),
      .expected_wait = wait};
}

}  // namespace

const char* ToString(AdmissionDecision::Verdict verdict) {
  switch (verdict) {
    case AdmissionDecision::Verdict::kAccept:
      return "accept";
    case AdmissionDecision::Verdict::kUnrunnable:
      return "unrunnable";
    case AdmissionDecision::Verdict::kTooLate:
      return "too_late";
  }
  return "unknown";
}

AdmissionDecision DecideAdmission(const AdmissionInput& in,
                                  const AdmissionOptions& options) {
  if (!in.ledger_loaded || in.ledger_age > options.max_view_age ||
      in.request.steps.empty()) {
    return {};
  }
  AdmissionDecision decision = CheckRunnable(in, options);
  if (decision.verdict == AdmissionDecision::Verdict::kAccept &&
      !IsAnyFirstStepFree(in)) {
    decision = CheckCredit(in, options);
  }
  if (decision.verdict != AdmissionDecision::Verdict::kAccept &&
      MayBeGuaranteed(in)) {
    return {.expected_wait = decision.expected_wait};
  }
  return decision;
}

Duration ExpectedWait(const Ledger& ledger,
                      const RulesView& rules,
                      const LoadSnapshot& load,
                      const std::string& service,
                      std::int32_t priority) {
  const auto it = load.services.find(service);
  if (it == load.services.end()) {
    return Duration(0);
  }
  return FromSeconds(SecondsFor(
      WorkAhead(it->second, {.priority = priority, .deadline = kNever}),
      CapacityOf(ledger, rules, service, ""), true, true));
}

}  // namespace marjoramplank
