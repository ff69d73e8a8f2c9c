// Time types and the clock interface. Every component reads the time from an injected
// TimeSource, so that the simulator can run the same code in virtual time.
#pragma once

#include <chrono>
#include <cstdint>

namespace chalkshed {

// All intervals are in microseconds.
using Duration = std::chrono::microseconds;

// Tag of the monotonic clock. It includes time spent suspended (CLOCK_BOOTTIME on Linux), so a
// lease cannot appear valid to an owner that was suspended when it expired.
struct MonotonicClock {
  using duration = Duration;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<MonotonicClock>;
};
using MonotonicTime = MonotonicClock::time_point;

// Wall-clock time, only for display (creation dates, log lines). Never used for ordering.
using WallTime = std::chrono::time_point<std::chrono::system_clock, Duration>;

// Source of the current time.
class TimeSource {
 public:
  virtual ~TimeSource() = default;
  virtual MonotonicTime monotonic_now() const = 0;
  virtual WallTime wall_now() const = 0;
};

}  // namespace chalkshed
