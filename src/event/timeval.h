// Conversion of durations for libevent.
#pragma once

#include <sys/time.h>

#include "src/core/time.h"

namespace chalkshed {

// @param duration not negative.
inline timeval timeval_of(Duration duration) {
  constexpr int64_t kMicrosecondsPerSecond = 1'000'000;
  return {.tv_sec = duration.count() / kMicrosecondsPerSecond,
          .tv_usec = duration.count() % kMicrosecondsPerSecond};
}

}  // namespace chalkshed
