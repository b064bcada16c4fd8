#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

#include "src/daemon/published.h"
#include "src/rules/rules.h"
#include "src/store/log_store.h"
#include "src/store/record_ring.h"

namespace marjoramplank {

// Follows the operators' configuration on a keyed topic and publishes it to the
// request threads. A version never goes back within the life of the process.
class RulesFollower {
 public:
  // Decodes the newest record of a key. An empty value: the key was dropped.
  // Empty result: none of our business, or unreadable (logged by the decoder).
  using Decoder = std::function<std::optional<RuleChange>(const KeyedRecord&)>;

  struct Options {
    LogPartition partition;
    Duration poll{500};  // Wait of a read; bounds the age of the knowledge.
  };

  RulesFollower(Options options,
                std::unique_ptr<LogStore> store,
                Decoder decoder);
  ~RulesFollower();

  RecordRing& ring() { return ring_; }  // What was read, for others.
  std::shared_ptr<const RulesView> view() const { return view_.Get(); }

 private:
  void Loop();
  bool Reload();
  void Apply(const KeyedRecord& record);
  void Publish(Time as_of);

  const Options options_;
  const std::unique_ptr<LogStore> store_;
  const Decoder decoder_;
  RulesView current_;                            // On the follower's thread.
  std::map<std::string, std::int64_t> offsets_;  // Newest known of each key.
  std::int64_t position_ = -1;  // -1: reload from the newest of each key.
  RecordRing ring_;
  Published<std::shared_ptr<const RulesView>> view_;
  std::atomic<bool> stopping_{false};
  std::thread thread_;
};

}  // namespace marjoramplank
