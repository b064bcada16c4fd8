#include "src/agent/start_guard.h"

#include <algorithm>

namespace marjoramplank {

void StartGuard::OnEntryHeartbeat(const EntryHeartbeat& heartbeat) {
  if (heartbeat.config_version < highest_config_version_) {
    return;  // The entry lags behind: its flags and freshness are ignored.
  }
  if (heartbeat.config_version > highest_config_version_) {
    highest_config_version_ = heartbeat.config_version;
    last_fresh_report_at_ = Time{-1};
  }
  data_centre_out_ = heartbeat.data_centre_out;
  cordoned_ = heartbeat.cordoned;
  if (heartbeat.config_fresh) {
    last_fresh_report_at_ =
        std::max(last_fresh_report_at_, Time{heartbeat.echoed_sent_at});
  }
}

std::string StartGuard::RefusalReason(Time now) const {
  if (highest_config_version_ < 0) {
    return "no configuration is known yet";
  }
  if (data_centre_out_) {
    return "the data centre is out of service";
  }
  if (cordoned_) {
    return "the worker is cordoned";
  }
  if (last_fresh_report_at_ < Time{0} ||
      now - last_fresh_report_at_ > freshness_window_) {
    return "no entry with fresh configuration has answered lately";
  }
  return {};
}

}  // namespace marjoramplank
