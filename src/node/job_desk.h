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

// Who calls, and about which job or queue.
struct DeskCall {
  std::string host;
  std::string path;  // Queue's prefix, then the job's id.
  std::string key;   // Of the client account. Empty: none.
  Time arrived{0};
  Duration patience{0};  // How long the caller waits. 0: it did not say.
};

struct DeskAnswer {
  enum class Kind {
    kOk,
    kBadRequest,  // Wrong in itself: `reason`.
    kNoQueue,     // No queue has this host and path.
    kUnknownKey,  // No account has this key.
    kNoJob,       // No such job in this queue.
    kNotRun,      // Nothing was stored or run: come back after `retry_after`.
    kUnsettled,   // It may or may not be stored: ask again with the same id.
  };
  Kind kind = Kind::kOk;
  std::string reason;
  JobPhase phase = JobPhase::kQueued;  // Of a job that was asked for.
  std::int32_t waiting = 0;            // Of a queue that was asked for.
  Duration retry_after{0};
};

// Answers callers: accepts, cancels and shows jobs. Thread-safe. What it says
// is backed by the ledger: accepted means stored.
class JobDesk {
 public:
  struct Options {
    // Rules older than this are not acted on. The settings' bounds decide.
    Duration rules_limit{2700};
    // A ledger older than this is not shown.
    Duration ledger_limit{2500};
    // An append is waited for this long, or less if the caller waits less.
    Duration append_limit{1000};
    // Part of the caller's patience that is kept for the answer's way back.
    Duration answer_margin{200};
    // The store counts as lost when the ledger is older than this: a poll and
    // a slow answer.
    Duration store_lost_after{1400};
    Duration retry_after{1000};  // Told to callers that are refused.
    // Told while the log or the rules cannot be reached: outages last seconds,
    // and a caller's retries are few.
    Duration retry_after_outage{2000};
  };

  JobDesk(Options options,
          const RulesFollower& rules,
          const LedgerFollower& ledger,
          LedgerWriter& writer,
          Metrics& metrics);

  // `fill` adds what the caller's body says; it returns its faults.
  using Fill = std::function<std::vector<std::string>(JobRequest&)>;
  DeskAnswer Submit(const DeskCall& call, const Fill& fill);
  DeskAnswer Show(const DeskCall& call) const;  // A job, or a queue.
  DeskAnswer Cancel(const DeskCall& call);

  // True once the rules and the ledger are known and fresh.
  bool Ready(Time now) const;

 private:
  struct Admission {
    DeskAnswer refusal;  // Kind kOk: admitted.
    QueueRule queue;
    std::string account;
    std::string job;
  };
  Admission Admit(const DeskCall& call) const;
  DeskAnswer NotRun(const std::string& reason, Duration retry_after) const;
  Time AppendDeadline(const DeskCall& call) const;

  const Options options_;
  const RulesFollower& rules_;
  const LedgerFollower& ledger_;
  LedgerWriter& writer_;
  Metrics& metrics_;
};

}  // namespace marjoramplank
