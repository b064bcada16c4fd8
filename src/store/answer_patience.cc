#include "src/store/answer_patience.h"

#include <algorithm>

namespace marjoramplank {

namespace {

// The slowest answer fades to half within two quicker ones.
constexpr int kFadeNumerator = 7;
constexpr int kFadeDenominator = 10;

}  // namespace

AnswerPatience::AnswerPatience(Options options) : options_(options) {}

Duration AnswerPatience::limit() const {
  return std::clamp(slowest_ * options_.multiple, options_.least,
                    options_.most);
}

void AnswerPatience::OnAnswer(Duration took) {
  slowest_ = std::max(took, slowest_ * kFadeNumerator / kFadeDenominator);
}

void AnswerPatience::OnSilence() {
  slowest_ = limit();
}

}  // namespace marjoramplank
