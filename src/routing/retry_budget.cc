#include "src/routing/retry_budget.h"

#include <algorithm>

namespace chalkshed {

void RetryBudget::success(double fraction) {
  tokens_ = std::min(knobs_.retry_burst, tokens_ + fraction);
}

bool RetryBudget::take(MonotonicTime now) {
  const double seconds = std::chrono::duration<double>(now - refilled_at_).count();
  refilled_at_ = now;
  tokens_ = std::min(knobs_.retry_burst, tokens_ + seconds * knobs_.minimum_retries_per_second);
  if (tokens_ < 1.0) {
    return false;
  }
  tokens_ -= 1.0;
  return true;
}

}  // namespace chalkshed
