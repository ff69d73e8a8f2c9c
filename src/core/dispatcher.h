// Event loop interface: timers and deferred calls on the owning thread.
#pragma once

#include <functional>
#include <memory>

#include "src/core/time.h"

namespace chalkshed {

// A one-shot timer. Destroying it cancels it.
class Timer {
 public:
  virtual ~Timer() = default;
  // Arms the timer to fire once after `delay`; re-arming replaces the previous delay.
  virtual void enable(Duration delay) = 0;
  virtual void disable() = 0;
  virtual bool enabled() const = 0;
};
using TimerPtr = std::unique_ptr<Timer>;

// A single-threaded event loop. All components of a node run on one dispatcher and need no locks.
class Dispatcher {
 public:
  virtual ~Dispatcher() = default;
  // @param callback runs on the event loop each time the timer fires.
  virtual TimerPtr create_timer(std::function<void()> callback) = 0;
  // Runs `callback` in a later turn of the event loop, never inside this call. Keeps the order.
  virtual void post(std::function<void()> callback) = 0;
};

}  // namespace chalkshed
