#include "emulator/store_limits.h"

#include <algorithm>

namespace chalkshed {
namespace {

double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

bool CallRate::admit(MonotonicTime now, double per_second, Duration burst) {
  if (per_second <= 0) {
    return true;
  }
  const double most = std::max(per_second * to_seconds(burst), 1.0);
  available_ = std::min(available_ + per_second * to_seconds(now - refilled_), most);
  refilled_ = now;
  if (available_ < 1.0) {
    return false;
  }
  available_ -= 1.0;
  return true;
}

bool LimitedCalls::admit_read(const std::string& kind, MonotonicTime now) {
  return count(kind, reads_.admit(now, limits.reads_per_second, limits.burst));
}

bool LimitedCalls::admit_write(const std::string& kind, const std::string& partition,
                               MonotonicTime now) {
  return count(kind, writes_.admit(now, limits.writes_per_second, limits.burst) &&
                         partition_writes_[partition].admit(now, limits.partition_writes_per_second,
                                                            limits.burst));
}

bool LimitedCalls::count(const std::string& kind, bool admitted) {
  CallCount& calls = counts_[kind];
  ++(admitted ? calls.answered : calls.refused);
  return admitted;
}

Duration LimitedCalls::send(uint64_t bytes, MonotonicTime now) {
  bytes_sent_ += bytes;
  if (limits.bytes_per_second <= 0) {
    return Duration(0);
  }
  const std::chrono::duration<double> took(static_cast<double>(bytes) / limits.bytes_per_second);
  sent_until_ = std::max(sent_until_, now) + std::chrono::duration_cast<Duration>(took);
  return sent_until_ - now;
}

void LimitedCalls::reset_counts() {
  counts_.clear();
  bytes_sent_ = 0;
}

}  // namespace chalkshed
