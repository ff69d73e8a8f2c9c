// What this node has learned of the store from its answers: its newest version and its clock.
#pragma once

#include <algorithm>

#include "src/core/time.h"
#include "src/platform/watched_store.h"
#include "src/watch/recent_longest.h"

namespace chalkshed {

class StoreClock {
 public:
  explicit StoreClock(TimeSource& time_source)
      : time_source_(time_source), last_heard_(time_source.monotonic_now()) {}

  void observe(const StoreStamp& stamp) {
    observe_version(stamp.version);
    last_heard_ = time_source_.monotonic_now();
    // The answer that took least time to arrive is closest to the truth.
    const Duration offset = stamp.steady_clock - time_source_.monotonic_now().time_since_epoch();
    offset_ = known_ ? std::max(offset_, offset) : offset;
    known_ = true;
  }
  // This process stood still for so long: that the store was not heard meanwhile says nothing of
  // the store.
  void excuse(Duration pause) { last_heard_ += pause; }
  // From another node that has seen it.
  void observe_version(StoreVersion version) { newest_ = std::max(newest_, version); }
  MonotonicTime local_now() const { return time_source_.monotonic_now(); }
  // A call that the store doesn't hold was answered, or failed.
  void note_call_since(MonotonicTime asked) { calls_.note(local_now(), local_now() - asked); }
  // The longest that such a call took of late.
  Duration longest_call() const { return calls_.longest(local_now()); }
  // When the store last answered this node.
  MonotonicTime last_heard() const { return last_heard_; }
  // Newest version of the store that this node knows of.
  StoreVersion newest() const { return newest_; }
  // The store's clock now, as far as known.
  Duration now() const { return time_source_.monotonic_now().time_since_epoch() + offset_; }

 private:
  TimeSource& time_source_;
  StoreVersion newest_ = 0;
  MonotonicTime last_heard_;
  RecentLongest calls_;
  Duration offset_{0};
  bool known_ = false;
};

}  // namespace chalkshed
