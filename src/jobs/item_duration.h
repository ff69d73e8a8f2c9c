// How long items take, from their start to their whole text.
#pragma once

#include "src/core/time.h"

namespace chalkshed {

// Which of two waiting items starts first, by how long each may still wait and be in time. What can
// be in time goes before what cannot any more, the most urgent first: otherwise, once more is
// queued than can be done, everything is begun just too late. Of those that are late already, the
// least late may still be in time, because the estimate is a mean.
inline bool starts_before(Duration slack, Duration other) {
  const bool late = slack < Duration(0);
  const bool other_late = other < Duration(0);
  if (late != other_late) {
    return other_late;
  }
  return late ? slack > other : slack < other;
}

class ItemPace {
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
