// The longest of the times that were measured of late.
#pragma once

#include <algorithm>

#include "src/core/time.h"

namespace chalkshed {

// Looks back over the window under way and the one before, so that it forgets nothing at once.
class RecentLongest {
 public:
  // How far it looks back at least: over some four questions that fail after 2.5 s each.
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
