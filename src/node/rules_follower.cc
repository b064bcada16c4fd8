#include "src/node/rules_follower.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

// Time beyond the poll wait within which a read must be answered.
constexpr Duration kReadTimeoutSlack = 700ms;
// Delay after a failed read of records; the next one may use another route.
constexpr Duration kRetryDelay = 60ms;

}  // namespace

RulesFollower::RulesFollower(Options options,
                             std::unique_ptr<LogStore> store,
                             Decoder decoder)
    : options_(std::move(options)),
      store_(std::move(store)),
      decoder_(std::move(decoder)) {
  Publish(Time{0});
  thread_ = std::thread([this] { Loop(); });
}

RulesFollower::~RulesFollower() {
  stop_requested_ = true;
  thread_.join();
}

void RulesFollower::Publish(Time as_of) {
  current_view_.as_of = as_of;
  view_.Set(std::make_shared<const RulesView>(current_view_));
}

void RulesFollower::Apply(const KeyedRecord& record) {
  const auto known_offset = latest_offsets_.find(record.key);
  if (known_offset != latest_offsets_.end() &&
      known_offset->second >= record.offset) {
    return;
  }
  latest_offsets_[record.key] = record.offset;
  const std::optional<RuleChange> change = decoder_(record);
  if (!change) {
    return;
  }
  if (const auto* rules = std::get_if<Rules>(&*change)) {
    if (rules->version <= current_view_.rules.version) {
      return;
    }
    current_view_.rules = *rules;
    current_view_.loaded = true;
    LogEvent("rules_applied")
        .With("version", rules->version)
        .With("queues", rules->queues.size())
        .With("accounts", rules->accounts.size())
        .With("offset", record.offset);
    return;
  }
  const auto& dc = std::get<DataCentreChange>(*change);
  if (dc.closed) {
    current_view_.closed_data_centres.insert(dc.data_centre);
  } else {
    current_view_.closed_data_centres.erase(dc.data_centre);
  }
  LogEvent("data_centre_changed")
      .With("data_centre", dc.data_centre)
      .With("closed", dc.closed)
      .With("offset", record.offset);
}

bool RulesFollower::Reload() {
  const Time sent_at = BootClockNow();
  const LatestResult newest =
      store_->ReadLatest(options_.partition, kBulkReadTimeout);
  if (!newest.ok) {
    LogEvent("rules_unread")
        .With("reason", newest.reason)
        .With("took_ms", (BootClockNow() - sent_at).count());
    return false;
  }
  std::set<std::string> present_keys;
  for (const KeyedRecord& r : newest.records) {
    present_keys.insert(r.key);
    Apply(r);
  }
  std::vector<std::string> deleted_keys;
  for (const auto& [key, offset] : latest_offsets_) {
    if (!present_keys.contains(key) && offset < newest.end_offset) {
      deleted_keys.push_back(key);
    }
  }
  for (const std::string& key : deleted_keys) {
    Apply({.key = key, .value = "", .offset = newest.end_offset - 1});
  }
  position_ = newest.end_offset;
  ring_.Reset(position_, sent_at);
  Publish(sent_at);
  return true;
}

void RulesFollower::Loop() {
  while (!stop_requested_) {
    if (position_ < 0) {
      if (Reload()) {
        reload_retry_.OnSuccess();
      } else {
        std::this_thread::sleep_for(reload_retry_.OnFailure());
      }
      continue;
    }
    const Time sent_at = BootClockNow();
    const ReadResult read =
        store_->Read(options_.partition, position_, options_.poll_wait,
                     options_.poll_wait + kReadTimeoutSlack);
    if (read.kind == ReadResult::Kind::kTruncated) {
      LogEvent("rules_history_forgotten").With("position", position_);
      position_ = -1;
      continue;
    }
    if (read.kind == ReadResult::Kind::kFailed) {
      std::this_thread::sleep_for(kRetryDelay);
      continue;
    }
    for (const LogRecordBytes& r : read.records) {
      KeyedRecord record{.offset = r.offset};
      if (DecodeKeyed(r.bytes, record.key, record.value)) {
        Apply(record);
      } else {
        LogEvent("rules_record_unreadable").With("offset", r.offset);
      }
      position_ = r.offset + 1;
    }
    const bool is_caught_up = position_ >= read.end_offset;
    ring_.Add(read, is_caught_up ? sent_at - read.age : Time{0});
    if (is_caught_up) {
      Publish(std::max(current_view_.as_of, sent_at - read.age));
    }
  }
}

}  // namespace marjoramplank
