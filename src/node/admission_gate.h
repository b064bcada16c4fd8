#pragma once

#include <map>
#include <memory>
#include <mutex>
#include <string>

#include "src/admission/admission.h"
#include "src/observability/metrics.h"
#include "src/store/ledger_follower.h"

namespace marjoramplank {

// Decides in an entry whether to accept a new job: see DecideAdmission().
// Keeps what the decision needs beside the ledger, and makes sure that a
// rejection is true.
//
// A job is rejected only after the ledger was confirmed to be current at some
// time after the request had arrived, and does not have the job: so no entry
// had accepted it before. It isn't rejected either if this entry is storing it
// for another request, or did so without learning the outcome. If this cannot
// be shown in time, the job is accepted. Thread-safe.
class AdmissionGate {
 public:
  struct Options {
    AdmissionOptions admission;
    // Between two measurements of the load.
    Duration measuring_interval{500};
    // Longest wait for a current ledger: one poll and one answer.
    Duration confirm_timeout{700};
    // An append without an outcome may be stored within this time.
    Duration unsettled_memory{30'000};
  };

  AdmissionGate(const Options& options,
                const LedgerFollower& ledger,
                Metrics& metrics);

  // Waits until `latest` at most.
  AdmissionDecision Decide(const JobRequest& request,
                           const RulesView& rules,
                           Time received_at,
                           Time latest);

  // What Decide() would find at once, without confirming the ledger.
  AdmissionDecision Preview(const JobRequest& request, const RulesView& rules);

  // Call before a submission is passed to the log, and when that has an
  // outcome. `is_settled`: the outcome is known.
  void BeginSubmission(const std::string& job);
  void EndSubmission(const std::string& job, bool is_settled, Time now);

 private:
  struct Submission {
    int open_requests = 0;
    Time unsettled_until{0};  // 0: every outcome is known.
  };

  void MeasureIfDue(Time now, const RulesView& rules);
  AdmissionDecision Evaluate(const JobRequest& request,
                             const RulesView& rules) const;
  bool IsBeingSubmitted(const std::string& job, Time now) const;
  // Waits until the ledger is known to be current at some time after `since`.
  bool AwaitLedger(Time since, Time latest) const;

  const Options options_;
  const LedgerFollower& ledger_;
  Metrics& metrics_;
  mutable std::mutex mutex_;  // Guards the fields below.
  std::shared_ptr<const LoadSnapshot> load_ =
      std::make_shared<const LoadSnapshot>();
  std::shared_ptr<const KnownWorkers> workers_;
  Time measured_at_{0};
  bool is_measuring_ = false;
  std::map<std::string, Submission> submissions_;
};

}  // namespace marjoramplank
