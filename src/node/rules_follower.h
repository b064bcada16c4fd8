#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "src/daemon/rcu_value.h"
#include "src/rules/rules.h"
#include "src/store/log_store.h"
#include "src/store/record_ring.h"
#include "src/store/retry_backoff.h"

namespace marjoramplank {

// Follows the operators' configuration on a keyed topic and publishes it to the
// request threads. The published version never decreases within a process.
class RulesFollower {
 public:
  // Decodes the latest record of a key. An empty value is a tombstone: the key
  // was deleted. Returns nothing if the key is not relevant or the record is
  // malformed (logged by the decoder).
  using Decoder = std::function<std::optional<RuleChange>(const KeyedRecord&)>;

  struct Options {
    LogPartition partition;
    Duration poll_wait{500};  // Wait of a read; bounds the age of the view.
  };

  RulesFollower(Options options,
                std::unique_ptr<LogStore> store,
                Decoder decoder);
  ~RulesFollower();

  RecordRing& ring() { return ring_; }  // Records read, for relaying.
  std::shared_ptr<const RulesView> view() const { return view_.Get(); }

 private:
  void Loop();
  bool Reload();
  void Apply(const KeyedRecord& record);
  void Publish(Time as_of);

  const Options options_;
  const std::unique_ptr<LogStore> store_;
  const Decoder decoder_;
  RulesView current_view_;  // Used by the follower's thread only.
  std::map<std::string, std::int64_t> latest_offsets_;  // By key.
  std::int64_t position_ = -1;  // Next offset. -1: all keys must be reloaded.
  RecordRing ring_;
  RcuValue<std::shared_ptr<const RulesView>> view_;
  RetryBackoff reload_retry_{{}};  // Used by the follower's thread only.
  std::atomic<bool> stop_requested_{false};
  std::thread thread_;
};

}  // namespace marjoramplank
