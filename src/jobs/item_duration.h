// Estimates how long items take, from their start to their complete text.
#pragma once

#include "src/core/time.h"

namespace chalkshed {

// Whether an item with this slack (how long it may still wait and meet its target) starts before
// one with the other slack. Items that can meet their target come first, the most urgent at the
// head: otherwise, under overload, every item would start just too late. Among late items the least
// late comes first; it may still meet its target because the estimate is a mean.
inline bool starts_before(Duration slack, Duration other) {
  const bool late = slack < Duration(0);
  const bool other_late = other < Duration(0);
  if (late != other_late) {
    return other_late;
  }
  return late ? slack > other : slack < other;
}

class ItemDurationEstimator {
 public:
  void note(Duration took) {
    constexpr double kWeight = 0.1;
    estimate_ = std::chrono::duration_cast<Duration>(estimate_ * (1 - kWeight) + took * kWeight);
  }
  Duration estimate() const { return estimate_; }

 private:
  Duration estimate_ = std::chrono::seconds(5);
};

}  // namespace chalkshed
