#include "src/entry/appender.h"

#include <algorithm>
#include <utility>

namespace marjoramplank {

void Appender::Push(std::string line) {
  queue_.push_back(std::move(line));
}

bool Appender::Withdraw(const std::string& line) {
  const auto it = std::find(queue_.begin(), queue_.end(), line);
  if (it == queue_.end()) {
    return false;
  }
  queue_.erase(it);
  return true;
}

std::optional<AppendBatch> Appender::NextBatch(Time now) {
  if (!in_flight_.empty() || !in_doubt_.empty() || queue_.empty() ||
      now < retry_not_before_) {
    return std::nullopt;
  }
  if (!TryTakeBatchToken(now)) {
    return std::nullopt;
  }
  std::size_t bytes = 0;
  while (!queue_.empty() && in_flight_.size() < options_.max_batch_records &&
         (in_flight_.empty() ||
          bytes + queue_.front().size() <= options_.max_batch_bytes)) {
    bytes += queue_.front().size();
    in_flight_.push_back(std::move(queue_.front()));
    queue_.pop_front();
  }
  return AppendBatch{.batch = ++last_batch_id_, .lines = in_flight_};
}

bool Appender::TryTakeBatchToken(Time now) {
  batch_tokens_ =
      std::min(options_.burst_batches,
               batch_tokens_ + ToSeconds(now - batch_tokens_refilled_at_) *
                                   options_.batches_per_second);
  batch_tokens_refilled_at_ = now;
  if (batch_tokens_ < 1) {
    return false;
  }
  batch_tokens_ -= 1;
  return true;
}

void Appender::ScheduleRetry(Time now) {
  retry_delay_ = std::clamp(retry_delay_ * 2, options_.retry_backoff,
                            options_.retry_backoff_max);
  retry_not_before_ = now + retry_delay_;
}

void Appender::OnAppendDone(Time now, const AppendDone& done) {
  if (done.batch != last_batch_id_) {
    return;
  }
  switch (done.outcome) {
    case AppendOutcome::kStored:
      in_flight_.clear();
      retry_delay_ = Duration{0};
      break;
    case AppendOutcome::kRefused:
      // No record took effect: requeue them at the front, in order.
      queue_.insert(queue_.begin(), std::make_move_iterator(in_flight_.begin()),
                    std::make_move_iterator(in_flight_.end()));
      in_flight_.clear();
      ScheduleRetry(now);
      break;
    case AppendOutcome::kUnknown:
      in_doubt_ = std::exchange(in_flight_, {});
      in_doubt_since_ = now;
      ScheduleRetry(now);
      break;
  }
}

void Appender::OnRecordRead(const std::string& line) {
  if (const auto it = std::find(in_doubt_.begin(), in_doubt_.end(), line);
      it != in_doubt_.end()) {
    in_doubt_.erase(it);
  }
}

void Appender::OnCompleteRead(Time /*now*/, Time requested_at) {
  if (in_doubt_.empty() ||
      requested_at < in_doubt_since_ + options_.settle_delay) {
    return;
  }
  queue_.insert(queue_.begin(), std::make_move_iterator(in_doubt_.begin()),
                std::make_move_iterator(in_doubt_.end()));
  in_doubt_.clear();
}

}  // namespace marjoramplank
