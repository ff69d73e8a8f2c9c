// Token bucket whose rate and size may change over time.
#pragma once

#include <algorithm>

#include "src/core/time.h"

namespace chalkshed {

class TokenBucket {
 public:
  TokenBucket(double tokens, MonotonicTime now) : tokens_(tokens), refilled_at_(now) {}

  // Adds the tokens for the time since the last call at `per_second`, up to `size`.
  void refill(MonotonicTime now, double per_second, double size) {
    const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
    refilled_at_ = now;
    tokens_ = std::min(size, tokens_ + seconds * per_second);
  }
  // Takes a token. @return whether one was available.
  bool take() {
    if (tokens_ < 1.0) {
      return false;
    }
    tokens_ -= 1.0;
    return true;
  }
  // Time until the next token at that rate.
  Duration until_next(double per_second) const {
    const double seconds = std::max(0.0, 1.0 - tokens_) / std::max(per_second, 1e-6);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
  }

 private:
  double tokens_;
  MonotonicTime refilled_at_;
};

}  // namespace chalkshed
