#include "src/node/admission_gate.h"

#include <algorithm>
#include <array>
#include <thread>

#include "src/node/clock.h"

namespace marjoramplank {

namespace {

// Between two looks at the age of the ledger: reads at its end change nothing
// that a waiter is notified of.
constexpr Duration kConfirmPollInterval = 10ms;
// Submissions without an outcome that are kept. Beyond this, while the log is
// down, nothing is rejected.
constexpr std::size_t kMaxSubmissions = 10'000;

constexpr std::array kWaitGauges = {
    Gauge::kExpectedWaitMs0, Gauge::kExpectedWaitMs1, Gauge::kExpectedWaitMs2};

void SetWaitGauges(const Ledger& ledger,
                   const RulesView& rules,
                   const LoadSnapshot& load,
                   Metrics& metrics) {
  for (std::size_t priority = 0; priority < kWaitGauges.size(); ++priority) {
    Duration longest{0};
    for (const auto& [service, work] : load.services) {
      longest =
          std::max(longest, ExpectedWait(ledger, rules, load, service,
                                         static_cast<std::int32_t>(priority)));
    }
    metrics.Set(kWaitGauges[priority], longest.count());
  }
}

}  // namespace

AdmissionGate::AdmissionGate(const Options& options,
                             const LedgerFollower& ledger,
                             Metrics& metrics)
    : options_(options),
      ledger_(ledger),
      metrics_(metrics),
      workers_(
          std::make_shared<const KnownWorkers>(options.admission.workers)) {}

void AdmissionGate::MeasureIfDue(Time now, const RulesView& rules) {
  std::shared_ptr<const KnownWorkers> workers_before;
  {
    const std::lock_guard lock(mutex_);
    if (is_measuring_ || (load_->is_measured &&
                          now - measured_at_ < options_.measuring_interval)) {
      return;
    }
    is_measuring_ = true;
    workers_before = workers_;
  }
  auto workers = std::make_shared<KnownWorkers>(*workers_before);
  auto load = std::make_shared<LoadSnapshot>();
  ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
    // An incomplete ledger knows only some workers.
    if (view.loaded && view.was_read_to_end) {
      workers->Update(now, ledger);
      *load = MeasureLoad(now, ledger, options_.admission.default_estimate);
      SetWaitGauges(ledger, rules, *load, metrics_);
    }
  });
  const std::lock_guard lock(mutex_);
  is_measuring_ = false;
  measured_at_ = now;
  workers_ = std::move(workers);
  load_ = std::move(load);
}

AdmissionDecision AdmissionGate::Evaluate(const JobRequest& request,
                                          const RulesView& rules) const {
  std::shared_ptr<const KnownWorkers> workers;
  std::shared_ptr<const LoadSnapshot> load;
  {
    const std::lock_guard lock(mutex_);
    workers = workers_;
    load = load_;
  }
  return ledger_.Read([&](const Ledger& ledger, const LedgerView& view) {
    if (ledger.FindJob(request.id) != nullptr) {
      return AdmissionDecision{};
    }
    const Time now = BootClockNow();
    const auto decide = [&](const KnownWorkers& known) {
      return DecideAdmission(
          {.now = now,
           .ledger_age = now - view.as_of,
           .ledger_loaded = view.loaded && view.was_read_to_end,
           .ledger = ledger,
           .rules = rules,
           .workers = known,
           .load = *load,
           .request = request},
          options_.admission);
    };
    AdmissionDecision decision = decide(*workers);
    if (decision.verdict == AdmissionDecision::Verdict::kUnrunnable) {
      // A worker may have appeared since the last measurement.
      KnownWorkers current = *workers;
      current.Update(now, ledger);
      decision = decide(current);
    }
    return decision;
  });
}

bool AdmissionGate::AwaitLedger(Time since, Time latest) const {
  while (ledger_.view().as_of < since) {
    const Time now = BootClockNow();
    if (now >= latest) {
      return false;
    }
    std::this_thread::sleep_for(std::min(kConfirmPollInterval, latest - now));
  }
  return true;
}

AdmissionDecision AdmissionGate::Preview(const JobRequest& request,
                                         const RulesView& rules) {
  MeasureIfDue(BootClockNow(), rules);
  return Evaluate(request, rules);
}

AdmissionDecision AdmissionGate::Decide(const JobRequest& request,
                                        const RulesView& rules,
                                        Time received_at,
                                        Time latest) {
  using Verdict = AdmissionDecision::Verdict;
  const Time now = BootClockNow();
  MeasureIfDue(now, rules);
  AdmissionDecision decision = Evaluate(request, rules);
  if (decision.verdict == Verdict::kAccept) {
    return decision;
  }
  const bool is_confirmed = AwaitLedger(
      received_at, std::min(latest, now + options_.confirm_timeout));
  // Also the load may have changed in the meantime.
  decision = Evaluate(request, rules);
  if (decision.verdict == Verdict::kAccept) {
    return decision;
  }
  if (!is_confirmed || IsBeingSubmitted(request.id, BootClockNow())) {
    metrics_.Add(Counter::kSubmitsUnconfirmed);
    return {.expected_wait = decision.expected_wait};
  }
  metrics_.Add(decision.verdict == Verdict::kTooLate
                   ? Counter::kSubmitsTooLate
                   : Counter::kSubmitsUnrunnable);
  return decision;
}

void AdmissionGate::BeginSubmission(const std::string& job) {
  const std::lock_guard lock(mutex_);
  ++submissions_[job].open_requests;
}

void AdmissionGate::EndSubmission(const std::string& job,
                                  bool is_settled,
                                  Time now) {
  const std::lock_guard lock(mutex_);
  Submission& submission = submissions_[job];
  --submission.open_requests;
  if (!is_settled) {
    submission.unsettled_until = now + options_.unsettled_memory;
  }
  const auto is_over = [now](const Submission& s) {
    return s.open_requests == 0 && s.unsettled_until <= now;
  };
  if (is_over(submission)) {
    submissions_.erase(job);
  }
  if (submissions_.size() >= kMaxSubmissions) {
    std::erase_if(submissions_,
                  [&](const auto& s) { return is_over(s.second); });
  }
}

bool AdmissionGate::IsBeingSubmitted(const std::string& job, Time now) const {
  const std::lock_guard lock(mutex_);
  const auto it = submissions_.find(job);
  return it != submissions_.end() &&
         (it->second.open_requests > 0 || it->second.unsettled_until > now);
}

}  // namespace marjoramplank
