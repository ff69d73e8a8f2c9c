// Schedules delayed calls on one dispatcher, in order of their due times, with a single timer.
#pragma once

#include <functional>
#include <map>
#include <utility>

#include "src/core/dispatcher.h"
#include "src/core/time.h"

namespace chalkshed {

// The destructor drops calls that are not due yet.
class DelayedCalls {
 public:
  DelayedCalls(const TimeSource& time_source, Dispatcher& dispatcher);
  // Runs `call` after `delay`, never synchronously. Calls with equal due times keep their order.
  void add(Duration delay, std::function<void()> call);
  size_t pending() const { return calls_.size(); }

 private:
  void arm();
  void run_due();

  const TimeSource& time_source_;
  std::map<std::pair<MonotonicTime, uint64_t>, std::function<void()>> calls_;
  uint64_t next_sequence_ = 0;
  TimerPtr timer_;
};

}  // namespace chalkshed
