// The machine's clocks.
#pragma once

#include "src/core/time.h"

namespace chalkshed {

class SystemTimeSource : public TimeSource {
 public:
  // CLOCK_BOOTTIME: includes the time for which the machine is suspended.
  MonotonicTime monotonic_now() const override;
  WallTime wall_now() const override;
};

}  // namespace chalkshed
