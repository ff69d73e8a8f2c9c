// The store's newest version and clock, as learned from its answers.
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
    answered_ = std::max(answered_, stamp.version);
    last_heard_ = time_source_.monotonic_now();
    // The answer with the shortest delay gives the most accurate offset.
    const Duration offset = stamp.steady_clock - time_source_.monotonic_now().time_since_epoch();
    offset_ = known_ ? std::max(offset_, offset) : offset;
    known_ = true;
  }
  // Excludes a suspension of this process from the time since the last answer: it does not indicate
  // a failure of the store.
  void exclude_pause(Duration pause) { last_heard_ += pause; }
  // Records a version that the store or another node has reported.
  void observe_version(StoreVersion version) { newest_ = std::max(newest_, version); }
  MonotonicTime local_now() const { return time_source_.monotonic_now(); }
  // Records the duration of a call that the store answers without waiting, or that failed.
  void note_call_since(MonotonicTime asked) { calls_.note(local_now(), local_now() - asked); }
  void note_failed_call() { last_failure_ = local_now(); }
  // When the store last failed to answer a call, or refused it; epoch: never.
  MonotonicTime last_failure() const { return last_failure_; }
  // The longest recent duration of such a call.
  Duration longest_call() const { return calls_.longest(local_now()); }
  // When the store last answered this node.
  MonotonicTime last_heard() const { return last_heard_; }
  // Newest version that the store itself has reported to this node.
  StoreVersion answered() const { return answered_; }
  // Newest version of the store that this node knows of.
  StoreVersion newest() const { return newest_; }
  // Estimate of the current time of the store's clock.
  Duration now() const { return time_source_.monotonic_now().time_since_epoch() + offset_; }

 private:
  TimeSource& time_source_;
  StoreVersion newest_ = 0;
  StoreVersion answered_ = 0;
  MonotonicTime last_heard_;
  MonotonicTime last_failure_{};
  RecentLongest calls_;
  Duration offset_{0};
  bool known_ = false;
};

}  // namespace chalkshed
