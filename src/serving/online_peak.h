// How many online requests a service has had in flight at most over the last seconds: what batch
// work leaves room for, since the next burst comes without notice.
#pragma once

#include <algorithm>
#include <array>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

class OnlinePeak {
 public:
  // @param span how long a peak is remembered.
  explicit OnlinePeak(Duration span) : bucket_length_(span / kBuckets) {}

  void observe(uint32_t in_flight, MonotonicTime now) {
    advance(now);
    uint32_t& value = buckets_[static_cast<size_t>(current_) % kBuckets];
    value = std::max(value, in_flight);
  }
  // @return the peak; forgotten with time, also when nothing is observed any more.
  uint32_t value(MonotonicTime now) {
    advance(now);
    return *std::max_element(buckets_.begin(), buckets_.end());
  }

 private:
  void advance(MonotonicTime now) {
    const int64_t bucket = now.time_since_epoch() / bucket_length_;
    if (bucket - current_ >= static_cast<int64_t>(kBuckets)) {
      buckets_.fill(0);
      current_ = bucket;
    }
    while (current_ < bucket) {
      buckets_[static_cast<size_t>(++current_) % kBuckets] = 0;
    }
  }

  static constexpr size_t kBuckets = 16;
  Duration bucket_length_;
  int64_t current_ = 0;
  std::array<uint32_t, kBuckets> buckets_{};
};

}  // namespace chalkshed
