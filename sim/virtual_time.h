// Virtual time: an event queue shared by many simulated processes. Runs are deterministic: events
// at the same instant run in the order in which they were scheduled.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>
#include <vector>

#include "src/core/dispatcher.h"
#include "src/core/time.h"

namespace chalkshed {

// The global event queue and clock.
class VirtualClock : public TimeSource {
 public:
  using EventId = std::pair<MonotonicTime, uint64_t>;

  MonotonicTime monotonic_now() const override { return now_; }
  WallTime wall_now() const override { return WallTime(now_.time_since_epoch()); }

  // Schedules `callback` to run `delay` from now.
  EventId schedule(Duration delay, std::function<void()> callback);
  void cancel(const EventId& event);
  // Runs the next event, if there is one. @return whether there was one.
  bool run_next();
  // Runs all events up to `duration` from now, and advances the clock by `duration`.
  void run_for(Duration duration);
  size_t pending() const { return events_.size(); }

 private:
  MonotonicTime now_{std::chrono::seconds(1)};
  uint64_t next_sequence_ = 0;
  std::map<EventId, std::function<void()>> events_;
};

// The event loop of one simulated process. It can be frozen like a paused machine: while frozen
// nothing runs, and everything that became due runs when it thaws. Destroying it drops its events.
class VirtualDispatcher : public Dispatcher {
 public:
  explicit VirtualDispatcher(VirtualClock& clock)
      : clock_(clock), state_(std::make_shared<State>()) {}
  ~VirtualDispatcher() override;
  TimerPtr create_timer(std::function<void()> callback) override;
  void post(std::function<void()> callback) override;
  // Runs `callback` on this loop after `delay`; used by simulated networks to deliver messages.
  void schedule(Duration delay, std::function<void()> callback);

  void freeze() { state_->frozen = true; }
  void thaw();
  bool frozen() const { return state_->frozen; }

 private:
  struct State {
    bool alive = true;
    bool frozen = false;
    std::vector<std::function<void()>> held;  // became due while frozen
    // Callbacks that are not due yet, and the callbacks of all timers, in creation order. They are
    // owned by the process, not by the clock, so that they are destroyed with it.
    std::map<uint64_t, std::function<void()>> scheduled;
    std::map<uint64_t, std::function<void()>*> timers;
    uint64_t next_number = 0;
  };
  static void run_or_hold(const std::shared_ptr<State>& state, std::function<void()> callback);

  VirtualClock& clock_;
  std::shared_ptr<State> state_;
  friend class VirtualTimer;
};

}  // namespace chalkshed
