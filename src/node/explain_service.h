#pragma once

#include <mutex>
#include <string>

#include "src/explain/explain.h"
#include "src/node/job_service.h"
#include "src/node/rules_follower.h"
#include "src/store/ledger_follower.h"

namespace marjoramplank {

struct ExplainReply {
  enum class Kind {
    kOk,
    kBadRequest,   // The body names what is wrong.
    kBusy,         // Too many requests.
    kTooLarge,     // Too many open tasks to copy the ledger.
    kUnavailable,  // The ledger or the rules are not loaded or not current.
  };
  Kind kind = Kind::kOk;
  std::string body;  // JSON.
};

// Explains what would happen to a job, from this entry's view. Changes nothing.
// An entry has little memory, and an explanation copies a part of the ledger:
// one is made at a time. Thread-safe.
class ExplainService {
 public:
  struct Options {
    Dispatcher::Options dispatch;
    // Between the starts of two explanations: at most 5 a second.
    Duration min_interval{200};
    // The age beyond which a planner does not plan either.
    Duration max_ledger_age{1200};
    std::size_t max_units = kMaxExplainedUnits;
  };

  ExplainService(const Options& options,
                 const RulesFollower& rules,
                 const LedgerFollower& ledger,
                 JobService& job_service)
      : options_(options),
        rules_(rules),
        ledger_(ledger),
        job_service_(job_service) {}

  // `body`: see ParseExplainedJob().
  ExplainReply Handle(const std::string& body);

 private:
  // Returns false if another request is open or was made lately.
  bool TryBegin(Time now);
  void End();
  ExplainReply ExplainBody(const std::string& body);

  const Options options_;
  const RulesFollower& rules_;
  const LedgerFollower& ledger_;
  JobService& job_service_;
  std::mutex mutex_;  // Guards the fields below.
  bool is_open_ = false;
  bool has_begun_ = false;
  Time last_begun_at_{0};
};

}  // namespace marjoramplank
