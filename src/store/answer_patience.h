#pragma once

#include "marjoramplank/time.h"

namespace marjoramplank {

// How long the answer to an append is waited for before it is tried another
// way: a multiple of what answers took lately. A repeat costs one call; waiting
// too long costs the caller its objective.
class AnswerPatience {
 public:
  struct Options {
    Duration least{
        350};  // Longer than answers of a log service 60 times too slow.
    Duration most{900};  // One that is 200 times slower than usual.
    int multiple = 4;    // Of the slowest answer lately.
  };

  explicit AnswerPatience(Options options);

  Duration limit() const;        // For the next append.
  void OnAnswer(Duration took);  // It was stored.
  // The limit passed. Multiplies it at once: a log service that is slow for all
  // must not be given everything twice.
  void OnSilence();

 private:
  Options options_;
  Duration slowest_{0};  // Lately: fades with each answer.
};

}  // namespace marjoramplank
