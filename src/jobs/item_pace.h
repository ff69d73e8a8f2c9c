// How long items take, from their start to their whole text.
#pragma once

#include "src/core/time.h"

namespace chalkshed {

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
