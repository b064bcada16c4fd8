#pragma once

#include <functional>
#include <string>
#include <vector>

#include "src/jobs/job_request.h"
#include "src/jobs/ledger.h"
#include "src/node/rules_follower.h"
#include "src/store/ledger_follower.h"
#include "src/store/ledger_writer.h"

namespace marjoramplank {

// Caller and target (a job or a queue) of a client request.
struct DeskCall {
  std::string host;
  std::string path;  // The queue's path prefix, then the job's id.
  std::string key;   // API key of the client account. Empty: none.
  Time arrived{0};
  Duration patience{0};  // The caller's timeout. 0: not stated.
};

struct DeskAnswer {
  enum class Kind {
    kOk,
    kBadRequest,  // The request is invalid; see `reason`.
    kNoQueue,     // No queue has this host and path.
    kUnknownKey,  // No account has this key.
    kNoJob,       // No such job in this queue.
    kNotRun,      // Nothing was stored or run. Retry after `retry_after`.
    kUnsettled,   // May or may not be stored. Retry with the same job id.
  };
  Kind kind = Kind::kOk;
  std::string reason;
  JobPhase phase = JobPhase::kQueued;  // Set if the request names a job.
  std::int32_t waiting = 0;            // Set if the request names a queue.
  Duration retry_after{0};
};

// Serves client requests that submit, cancel and query jobs. A submission or
// cancellation is acknowledged only after it is stored on the ledger.
// Thread-safe.
class JobDesk {
 public:
  struct Options {
    // Requests are rejected while the rules are older than this. Derived from
    // the key revocation bound in the settings.
    Duration rules_limit{2700};
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
  };

  JobDesk(Options options,
          const RulesFollower& rules,
          const LedgerFollower& ledger,
          LedgerWriter& writer,
          Metrics& metrics);

  // Parses the request body into the job and returns the faults found.
  using BodyParser = std::function<std::vector<std::string>(JobRequest&)>;
  DeskAnswer Submit(const DeskCall& call, const BodyParser& parse_body);
  // State of a job or, if the path names none, length of a queue.
  DeskAnswer Show(const DeskCall& call) const;
  DeskAnswer Cancel(const DeskCall& call);

  // True while the rules and the ledger are loaded and fresh.
  bool IsReady(Time now) const;

 private:
  struct Admission {
    DeskAnswer rejection;  // Kind kOk if the request is admitted.
    QueueRule queue;
    std::string account;
    std::string job;
  };
  Admission Admit(const DeskCall& call) const;
  DeskAnswer RejectWithRetry(const std::string& reason,
                             Duration retry_after) const;
  Time AppendDeadline(const DeskCall& call) const;

  const Options options_;
  const RulesFollower& rules_;
  const LedgerFollower& ledger_;
  LedgerWriter& writer_;
  Metrics& metrics_;
};

}  // namespace marjoramplank
