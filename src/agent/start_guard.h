#pragma once

#include <cstdint>
#include <string>

#include "marjoramplank/time.h"
#include "src/wire/messages.h"

namespace marjoramplank {

// Decides whether the agent may start tasks. This is the last check that
// nothing starts in a data centre that is out of service: tasks start only
// while an entry with the latest configuration has replied to a report that the
// agent sent less than `freshness_window` ago. The age is measured with the
// agent's own clock from the sending of the report, so neither a slow network
// nor a paused process makes an old reply look fresh.
class StartGuard {
 public:
  explicit StartGuard(Duration freshness_window)
      : freshness_window_(freshness_window) {}

  void OnEntryHeartbeat(const EntryHeartbeat& heartbeat);

  // Returns why no task may start, or an empty string if tasks may start.
  std::string RefusalReason(Time now) const;

  // Highest configuration version received. Never decreases.
  std::int64_t config_version() const { return highest_config_version_; }
  Time last_fresh_report_at() const { return last_fresh_report_at_; }

 private:
  Duration freshness_window_;
  std::int64_t highest_config_version_ = -1;
  bool data_centre_out_ = false;
  bool cordoned_ = false;
  // Send time of the newest report that a fresh entry has replied to. Negative:
  // none since the configuration changed.
  Time last_fresh_report_at_{-1};
};

}  // namespace marjoramplank
