#pragma once

#include <cstdint>
#include <string>

#include "src/admission/known_workers.h"
#include "src/admission/service_load.h"
#include "src/rules/rules.h"

namespace marjoramplank {

struct AdmissionOptions {
  // With an older ledger or load nothing is rejected.
  Duration max_view_age{1000};
  KnownWorkers::Options workers;
  // Run time of a step that has no declared or learned one.
  Duration default_estimate{5000};
  // Part of the expected wait that counts. The estimate is uncertain: run times
  // differ, and preemption, cancellations and new workers change the queue.
  double counted_wait = 0.5;
  Duration min_retry_after{1000};
  Duration max_retry_after{30'000};
};

struct AdmissionInput {
  Time now{0};
  Duration ledger_age{0};
  bool ledger_loaded = false;
  const Ledger& ledger;
  const RulesView& rules;
  const KnownWorkers& workers;
  const LoadSnapshot& load;
  const JobRequest& request;
};

struct AdmissionDecision {
  enum class Verdict : std::uint8_t {
    kAccept,
    kUnrunnable,  // No known worker could ever run a task or gang of the job.
    kTooLate,     // It could not end while a late end earns credit.
  };
  Verdict verdict = Verdict::kAccept;
  std::string reason;  // Of a rejection.
  Duration retry_after{0};
  Duration expected_wait{0};  // Set if it decided.

  friend bool operator==(const AdmissionDecision&,
                         const AdmissionDecision&) = default;
};
const char* ToString(AdmissionDecision::Verdict verdict);

// Decides whether to accept a new job. Rejects only with evidence, and accepts
// in any doubt: if the ledger or the load is old, if the workers are not known
// yet, if the model has not learned the queue's run times, if capacity of the
// job's shape is free, and if the job may be within its account's guarantee.
//
// The job must not be known to the ledger.
AdmissionDecision DecideAdmission(const AdmissionInput& in,
                                  const AdmissionOptions& options);

// Expected wait of a new job of the priority in the service, whichever account
// it is of.
Duration ExpectedWait(const Ledger& ledger,
                      const RulesView& rules,
                      const LoadSnapshot& load,
                      const std::string& service,
                      std::int32_t priority);

}  // namespace marjoramplank
