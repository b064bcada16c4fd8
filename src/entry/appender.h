#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "marjoramplank/time.h"
#include "src/entry/entry_io.h"

namespace marjoramplank {

// Batches records for the platform's log, at a limited rate. Only one batch is
// in flight at a time, so a slow log gets fewer and larger batches instead of
// more load.
//
// A batch whose answer was lost is in doubt until the log was read: records
// that a complete read, requested after `settle_delay`, does not contain are
// appended again. This is harmless, as a repeated record has no effect.
class Appender {
 public:
  struct Options {
    std::size_t max_batch_records = 256;
    std::size_t max_batch_bytes = 512 * 1024;
    double batches_per_second = 100;  // All processes share the log's appends.
    double burst_batches = 20;        // Batches that may be sent at once.
    // Records that are not yet confirmed. More are refused.
    std::size_t max_pending_records = 20'000;
    Duration settle_delay = 500ms;   // Until a batch in doubt may be resent.
    Duration retry_backoff = 100ms;  // After a refusal; doubles each time.
    Duration retry_backoff_max = 3s;
  };

  explicit Appender(Options options)
      : options_(options), batch_tokens_(options.burst_batches) {}

  bool HasRoom(std::size_t records = 1) const {
    return pending() + records <= options_.max_pending_records;
  }
  std::size_t pending() const {
    return queue_.size() + in_flight_.size() + in_doubt_.size();
  }

  void Push(std::string line);

  // Removes a record that was not sent yet. Returns false if it was already
  // sent to the log, so it may take effect.
  bool Withdraw(const std::string& line);

  // Returns the next batch to append, if one is due.
  std::optional<AppendBatch> NextBatch(Time now);
  void OnAppendDone(Time now, const AppendDone& done);

  // Called for each record that was read from the log.
  void OnRecordRead(const std::string& line);

  // Called when a read requested at `requested_at` reached the end of the log.
  void OnCompleteRead(Time now, Time requested_at);

 private:
  bool TryTakeBatchToken(Time now);
  void ScheduleRetry(Time now);

  Options options_;
  std::deque<std::string> queue_;
  std::vector<std::string> in_flight_;
  std::vector<std::string> in_doubt_;  // Sent, but the answer was lost.
  std::uint64_t last_batch_id_ = 0;
  Time in_doubt_since_{0};
  Time retry_not_before_{0};
  Duration retry_delay_{0};
  double batch_tokens_;  // Token bucket of the rate limit.
  Time batch_tokens_refilled_at_{0};
};

}  // namespace marjoramplank
