#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/jobs/job_request.h"
#include "src/jobs/ledger.h"
#include "src/node/admission_gate.h"
#include "src/node/rules_follower.h"
#include "src/store/ledger_follower.h"
#include "src/store/ledger_writer.h"

namespace marjoramplank {

// Caller and target (a job or a queue) of a client request.
struct ClientRequest {
  std::string host;
  std::string path;     // The queue's path prefix, then the job's id.
  std::string api_key;  // API key of the client account. Empty: none.
  Time received_at{0};
  Duration client_timeout{0};  // The caller's timeout. 0: not stated.
};

struct ClientResponse {
  enum class Kind {
    kOk,
    kBadRequest,      // The request is invalid; see `reason`.
    kQueueNotFound,   // No queue has this host and path.
    kUnknownKey,      // No account has this key.
    kJobNotFound,     // No such job in this queue.
    kNotRun,          // Nothing was stored or run. Retry after `retry_after`.
    kOutcomeUnknown,  // May or may not be stored. Retry with the same job id.
  };
  Kind kind = Kind::kOk;
  std::string reason;
  JobPhase job_phase = JobPhase::kQueued;  // Set if the request names a job.
  std::int32_t waiting_jobs = 0;           // Set if the request names a queue.
  Duration retry_after{0};
};

// Serves client requests that submit, cancel and query jobs. A submission or
// cancellation is acknowledged only after it is stored on the ledger.
// Thread-safe.
class JobService {
 public:
  struct Options {
    // Requests are rejected while the rules are older than this. Derived from
    // the key revocation bound in the settings.
    Duration max_rules_age{2700};
    // Queries are rejected while the replayed ledger is older than this.
    Duration max_ledger_age{2500};
    // Longest wait for an append; shorter if the caller's timeout is shorter.
    Duration append_timeout{1000};
    // Part of the caller's timeout that is reserved for returning the response.
    Duration response_margin{200};
    // The log service counts as unreachable while the replayed ledger is older
    // than this: one poll and one slow answer.
    Duration store_unreachable_after{1400};
    Duration retry_after{1000};  // Retry-After of rejected requests.
    // Retry-After while the log or the rules are unreachable: outages last
    // seconds, and callers retry only a few times.
    Duration retry_after_outage{2000};
    AdmissionGate::Options admission;
  };

  JobService(Options options,
             const RulesFollower& rules,
             const LedgerFollower& ledger,
             LedgerWriter& writer,
             Metrics& metrics);

  // Parses the request body into the job and returns the faults found.
  using BodyParser = std::function<std::vector<std::string>(JobRequest&)>;
  ClientResponse Submit(const ClientRequest& call,
                        const BodyParser& parse_body);
  // State of a job or, if the path names none, length of a queue.
  ClientResponse GetStatus(const ClientRequest& call) const;
  ClientResponse Cancel(const ClientRequest& call);

  // Whether a submission of the job would be rejected for want of capacity.
  AdmissionDecision PreviewAdmission(const JobRequest& request,
                                     const RulesView& rules) {
    return admission_gate_.Preview(request, rules);
  }

  // True while the rules and the ledger are loaded and fresh.
  bool IsReady(Time now) const;

 private:
  struct Admission {
    ClientResponse rejection;  // Kind kOk if the request is admitted.
    std::shared_ptr<const RulesView> rules;  // By which it is admitted.
    QueueRule queue;
    std::string account;
    std::string job;
  };
  Admission Admit(const ClientRequest& call) const;
  // Whether the request names the job: by its id, through its queue, and with a
  // key of its client account.
  static bool Names(const Admission& admission, const JobRequest& job);
  static ClientResponse StatusOf(const Ledger& ledger,
                                 const Admission& admission);
  ClientResponse RejectWithRetry(const std::string& reason,
                                 Duration retry_after) const;
  Time AppendDeadline(const ClientRequest& call) const;
  // Kind kOk if the job is accepted: see AdmissionGate.
  ClientResponse CheckCapacity(const ClientRequest& call,
                               const JobRequest& request);

  const Options options_;
  const RulesFollower& rules_;
  const LedgerFollower& ledger_;
  LedgerWriter& writer_;
  Metrics& metrics_;
  AdmissionGate admission_gate_;
};

}  // namespace marjoramplank
