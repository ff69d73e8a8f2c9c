// The longest of the recently measured durations.
#pragma once

#include <algorithm>

#include "src/core/time.h"

namespace chalkshed {

// Covers the current window and the previous one, so that no measurement expires immediately.
class RecentLongest {
 public:
  // Minimum time that a measurement is kept: about four calls that fail after 2.5 s each.
  static constexpr Duration kWindow = std::chrono::seconds(10);

  void note(MonotonicTime now, Duration measured) {
    if (now - began_ >= kWindow) {
      before_ = longest(now);
      current_ = Duration(0);
      began_ = now;
    }
    current_ = std::max(current_, measured);
  }
  Duration longest(MonotonicTime now) const {
    if (now - began_ < kWindow) {
      return std::max(current_, before_);
    }
    return now - began_ < 2 * kWindow ? current_ : Duration(0);
  }

 private:
  MonotonicTime began_{};
  Duration current_{0};
  Duration before_{0};
};

}  // namespace chalkshed
