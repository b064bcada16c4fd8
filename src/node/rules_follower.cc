#include "src/node/rules_follower.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include "src/node/clock.h"
#include "src/node/event_log.h"

namespace marjoramplank {

namespace {

constexpr Duration kReadSlack = 700ms;  // Beyond the poll, for the answer.
constexpr Duration kNewestLimit = 2s;   // For all pages.
constexpr Duration kRetryPause = 60ms;  // After a failed read.

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
  stopping_ = true;
  thread_.join();
}

void RulesFollower::Publish(Time as_of) {
  current_.as_of = as_of;
  view_.Set(std::make_shared<const RulesView>(current_));
}

void RulesFollower::Apply(const KeyedRecord& record) {
  const auto known = offsets_.find(record.key);
  if (known != offsets_.end() && known->second >= record.offset) {
    return;
  }
  offsets_[record.key] = record.offset;
  const std::optional<RuleChange> change = decoder_(record);
  if (!change) {
    return;
  }
  if (const auto* rules = std::get_if<Rules>(&*change)) {
    if (rules->version <= current_.rules.version) {
      return;
    }
    current_.rules = *rules;
    current_.loaded = true;
    LogEvent("rules_applied")
        .With("version", rules->version)
        .With("queues", rules->queues.size())
        .With("accounts", rules->accounts.size())
        .With("offset", record.offset);
    return;
  }
  const auto& dc = std::get<DataCentreChange>(*change);
  if (dc.closed) {
    current_.closed_data_centres.insert(dc.data_centre);
  } else {
    current_.closed_data_centres.erase(dc.data_centre);
  }
  LogEvent("data_centre_changed")
      .With("data_centre", dc.data_centre)
      .With("closed", dc.closed)
      .With("offset", record.offset);
}

bool RulesFollower::Reload() {
  const Time sent = BootTime();
  const NewestResult newest = store_->Newest(options_.partition, kNewestLimit);
  if (!newest.ok) {
    return false;
  }
  std::set<std::string> present;
  for (const KeyedRecord& r : newest.records) {
    present.insert(r.key);
    Apply(r);
  }
  std::vector<std::string> dropped;
  for (const auto& [key, offset] : offsets_) {
    if (!present.contains(key) && offset < newest.end) {
      dropped.push_back(key);
    }
  }
  for (const std::string& key : dropped) {
    Apply({.key = key, .value = "", .offset = newest.end - 1});
  }
  position_ = newest.end;
  ring_.Restart(position_);
  Publish(sent);
  return true;
}

void RulesFollower::Loop() {
  while (!stopping_) {
    if (position_ < 0) {
      if (!Reload()) {
        std::this_thread::sleep_for(kRetryPause);
      }
      continue;
    }
    const Time sent = BootTime();
    const ReadResult read =
        store_->Read(options_.partition, position_, options_.poll,
                     options_.poll + kReadSlack);
    if (read.kind == ReadResult::Kind::kForgotten) {
      LogEvent("rules_history_forgotten").With("position", position_);
      position_ = -1;
      continue;
    }
    if (read.kind == ReadResult::Kind::kFailed) {
      std::this_thread::sleep_for(kRetryPause);
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
    const bool whole = position_ >= read.end;
    ring_.Add(read, whole ? sent - read.age : Time{0});
    if (whole) {
      Publish(std::max(current_.as_of, sent - read.age));
    }
  }
}

}  // namespace marjoramplank
