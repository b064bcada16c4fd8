#include "src/supervisor/progress_meter.h"

#include <algorithm>
#include <cmath>

#include "src/jobs/job_request.h"

namespace marjoramplank {

namespace {

constexpr std::int32_t kAllDone = 100;
// A worker may cut off or round the percentage.
constexpr double kMostBelowListed = 0.5;
constexpr double kMostAboveListed = 1;
// Both percentages of a difference are cut off or rounded in the same way.
constexpr double kMaxErrorOfDifference = 1;

double ToMs(Duration d) {
  return static_cast<double>(d.count());
}

// Run time if `points` of 100 take `ms`.
double Scale(double ms, double points) {
  return ms * kAllDone / points;
}

}  // namespace

ProgressMeter::Limits ProgressMeter::Limits::CombinedWith(
    const Limits& other) const {
  return {.min_ms = std::max(min_ms, other.min_ms),
          .max_ms = std::min(max_ms, other.max_ms)};
}

void ProgressMeter::OnStarted(Time sent_at, Time confirmed_at) {
  if (run_.is_resumed) {
    return;
  }
  begun_after_ = sent_at;
  if (!run_.is_gang) {
    begun_by_ = confirmed_at + kMaxStartDelay;
  }
}

void ProgressMeter::OnPause() {
  const bool had_begun = has_begun_;
  *this = ProgressMeter(run_);
  has_begun_ = had_begun;
}

void ProgressMeter::CheckBegun(const Reading& reading) {
  if (has_begun_) {
    return;
  }
  // A resumed run may be listed with 0 until it has restored its checkpoint.
  has_begun_ = run_.is_resumed
                   ? initial_ && reading.percent != initial_->percent
                   : reading.percent > 0;
  if (!has_begun_ && !(run_.is_resumed && reading.percent == 0)) {
    initial_ = reading;
  }
}

ProgressMeter::Limits ProgressMeter::LimitsSinceStart(
    const Reading& reading) const {
  Limits out;
  if (begun_after_) {
    out.max_ms = Scale(ToMs(reading.at - *begun_after_),
                       reading.percent - kMostBelowListed);
  }
  if (begun_by_ && reading.percent < kAllDone) {
    out.min_ms = Scale(ToMs(reading.at - *begun_by_),
                       reading.percent + kMostAboveListed);
  }
  return out;
}

ProgressMeter::Limits ProgressMeter::LimitsSince(const Reading& from,
                                                 const Reading& to,
                                                 bool was_at_work) {
  Limits out;
  const double ms = ToMs(to.at - from.at);
  const double points = to.percent - from.percent;
  if (points > kMaxErrorOfDifference) {
    out.max_ms = Scale(ms, points - kMaxErrorOfDifference);
  }
  // A run that is done stays at 100, since an unknown time.
  if (was_at_work && to.percent < kAllDone) {
    out.min_ms = Scale(ms, points + kMaxErrorOfDifference);
  }
  return out;
}

void ProgressMeter::OnReading(Time now, std::int32_t percent) {
  if (percent < 0 || percent > kAllDone || (latest_ && now <= latest_->at)) {
    return;
  }
  if (latest_ && percent < latest_->percent) {
    *this = ProgressMeter(run_);  // Not the progress of one run.
  }
  const bool was_done = latest_ && latest_->percent == kAllDone;
  latest_ = {.at = now, .percent = percent};
  CheckBegun(*latest_);
  if (!has_begun_ || was_done) {
    return;
  }
  if (!has_changed_speed_) {
    limits_ = limits_.CombinedWith(LimitsSinceStart(*latest_));
  }
  if (initial_) {
    limits_ = limits_.CombinedWith(
        LimitsSince(*initial_, *latest_, /*was_at_work=*/false));
  }
  if (first_) {
    limits_ = limits_.CombinedWith(
        LimitsSince(*first_, *latest_, /*was_at_work=*/true));
  }
  if (limits_.is_contradiction()) {
    // Its speed has changed: only what is read from now on tells the new one.
    has_changed_speed_ = true;
    limits_ = {};
    initial_.reset();
    first_.reset();
  }
  if (!first_) {
    first_ = latest_;
  }
}

std::optional<Duration> ProgressMeter::Middle(const Limits& limits) {
  if (limits.min_ms <= 0 || limits.is_contradiction() ||
      limits.max_ms > limits.min_ms * kMaxRatio) {
    return std::nullopt;
  }
  const double ms = std::sqrt(limits.min_ms * limits.max_ms);
  return ms >= 1 && ms <= ToMs(kMaxDuration)
             ? std::optional(
                   Duration(static_cast<std::int64_t>(std::llround(ms))))
             : std::nullopt;
}

std::optional<Duration> ProgressMeter::Projected() const {
  return Middle(limits_);
}

std::optional<Duration> ProgressMeter::RunTime(Time ended_after,
                                               Time ended_by) const {
  if (!begun_after_ || !begun_by_) {
    return std::nullopt;
  }
  const Limits by_end{.min_ms = ToMs(ended_after - *begun_by_),
                      .max_ms = ToMs(ended_by - *begun_after_)};
  const Limits combined = by_end.CombinedWith(limits_);
  // After a change of speed the readings tell only a part of the run.
  return Middle(has_changed_speed_ || combined.is_contradiction() ? by_end
                                                                  : combined);
}

}  // namespace marjoramplank
