// Token bucket that allows retries as a fraction of recent successes plus a small constant rate, so
// that retries do not amplify an outage.
#pragma once

#include "src/core/time.h"
#include "src/routing/routing_knobs.h"

namespace chalkshed {

class RetryBudget {
 public:
  RetryBudget(const AdmissionKnobs& knobs, MonotonicTime now)
      : knobs_(knobs), tokens_(knobs.retry_burst), refilled_at_(now) {}
  // @param fraction retries allowed per success.
  void success(double fraction);
  // Takes one retry from the budget. @return whether one was available.
  bool take(MonotonicTime now);

 private:
  AdmissionKnobs knobs_;
  double tokens_;
  MonotonicTime refilled_at_;
};

}  // namespace chalkshed
