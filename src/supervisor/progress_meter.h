#pragma once

#include <cstdint>
#include <limits>
#include <optional>

#include "marjoramplank/time.h"

namespace marjoramplank {

// Measures how long one run takes for all of its work, from readings of its
// progress in whole percent and from its start and end.
//
// Each reading limits the run time from both sides: the true progress lies up
// to one point above the percentage that is listed, and the time at which the
// work began is known only within a window. The limits of all readings are
// combined, so a run time is stated as soon as they are close enough to each
// other, whatever the number of readings.
class ProgressMeter {
 public:
  // What is known of the run besides its progress.
  struct Run {
    // Its first percentage is not 0. Until the percentage has changed it may
    // still be restoring the checkpoint.
    bool is_resumed = false;
    // It begins when the other members of its gang are there, and ends with
    // the slowest of them.
    bool is_gang = false;
  };

  ProgressMeter() = default;
  explicit ProgressMeter(Run run) : run_(run) {}

  // The worker has confirmed a start that was sent by this process.
  void OnStarted(Time sent_at, Time confirmed_at);
  // The worker lists this percentage at `now`.
  void OnReading(Time now, std::int32_t percent);
  // The process was paused: its readings cannot be compared with later ones.
  void OnPause();

  // Time for all of the work at the speed of its progress. Empty: not known
  // to kMaxRatio yet.
  std::optional<Duration> Projected() const;
  // Run time of a run that ended between the two times with all of its work
  // done. Empty: not known, as the start was not seen, a checkpoint was
  // restored, or the run belongs to a gang.
  std::optional<Duration> RunTime(Time ended_after, Time ended_by) const;

  // Greatest ratio of the upper limit to the lower limit at which a run time
  // is stated. Their geometric mean is then off by at most 15%.
  static constexpr double kMaxRatio = 1.32;
  // A worker begins a task 50 to 100 ms after it has received the start, and
  // confirms the start at any time in between.
  static constexpr Duration kMaxStartDelay{110};

 private:
  struct Limits {
    double min_ms = 0;
    double max_ms = std::numeric_limits<double>::infinity();

    // Readings are some milliseconds late, so that limits which miss each
    // other narrowly do not contradict.
    bool is_contradiction() const { return min_ms > max_ms * 1.1; }
    Limits CombinedWith(const Limits& other) const;
  };
  struct Reading {
    Time at{0};
    std::int32_t percent = 0;
  };

  static std::optional<Duration> Middle(const Limits& limits);
  Limits LimitsSinceStart(const Reading& reading) const;
  static Limits LimitsSince(const Reading& from,
                            const Reading& to,
                            bool was_at_work);
  // Updates `has_begun_` and `initial_`.
  void CheckBegun(const Reading& reading);

  Run run_;
  // Window in which the work began. Empty: not seen by this process.
  std::optional<Time> begun_after_;
  std::optional<Time> begun_by_;  // Also empty for a gang.
  bool has_begun_ = false;        // A reading has shown it at work.
  bool has_changed_speed_ = false;
  std::optional<Reading> initial_;  // Latest at which it may not have begun.
  std::optional<Reading> first_;    // First at work, at the present speed.
  std::optional<Reading> latest_;
  Limits limits_;
};

}  // namespace marjoramplank
