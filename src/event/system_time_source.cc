#include "src/event/system_time_source.h"

#include <ctime>

namespace chalkshed {

MonotonicTime SystemTimeSource::monotonic_now() const {
  timespec now{};
  clock_gettime(CLOCK_BOOTTIME, &now);
  const auto since_boot = std::chrono::seconds(now.tv_sec) + std::chrono::nanoseconds(now.tv_nsec);
  return MonotonicTime(std::chrono::duration_cast<Duration>(since_boot));
}

WallTime SystemTimeSource::wall_now() const {
  return std::chrono::time_point_cast<Duration>(std::chrono::system_clock::now());
}

}  // namespace chalkshed
