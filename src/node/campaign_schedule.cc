#include "src/node/campaign_schedule.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace marjoramplank {

namespace {

// Returns a time from 0 to `longest` that depends on the key only.
Duration HashedDuration(const std::string& key, Duration longest) {
  const std::uint64_t hash = XXH3_64bits(key.data(), key.size());
  return Duration(static_cast<std::int64_t>(
      hash % static_cast<std::uint64_t>(longest.count() + 1)));
}

}  // namespace

CampaignSchedule::CampaignSchedule(std::string name, Options options)
    : name_(std::move(name)), options_(options) {}

Duration CampaignSchedule::DelayOf(std::int64_t epoch,
                                   std::size_t entries) const {
  const Duration spread = std::min(
      options_.spread_per_entry *
          (static_cast<std::int64_t>(std::max<std::size_t>(entries, 1)) - 1),
      options_.max_spread);
  return HashedDuration(name_ + "/" + std::to_string(epoch), spread);
}

Duration CampaignSchedule::Jitter(Duration longest) {
  ++failure_count_;
  return HashedDuration(name_ + "#" + std::to_string(failure_count_), longest);
}

void CampaignSchedule::OnFailure(Time now, Failure failure) {
  if (failure == Failure::kBusy) {
    next_try_at_ = now + options_.busy_backoff + Jitter(options_.busy_backoff);
    return;
  }
  if (failure == Failure::kQueued) {
    next_try_at_ = now + options_.queue_time + Jitter(options_.min_backoff);
    return;
  }
  backoff_ =
      std::clamp(backoff_ * 2, options_.min_backoff, options_.max_backoff);
  next_try_at_ = now + backoff_ + Jitter(backoff_ / 2);
}

void CampaignSchedule::OnSuccess() {
  backoff_ = Duration(0);
  next_try_at_ = Time{0};
}

}  // namespace marjoramplank
