// Event loop based on libevent, for real processes. Each instance runs on a single thread.
#pragma once

#include <functional>
#include <unordered_set>
#include <vector>

#include "src/core/dispatcher.h"

struct event;
struct event_base;

namespace chalkshed {

class EventTimer;

// @return the total time for which this machine has been suspended since it booted.
Duration system_suspension();

class EventDispatcher : public Dispatcher {
 public:
  // @param suspension returns the total suspended time; tests pass their own function.
  explicit EventDispatcher(std::function<Duration()> suspension = &system_suspension);
  ~EventDispatcher() override;
  EventDispatcher(const EventDispatcher&) = delete;
  EventDispatcher& operator=(const EventDispatcher&) = delete;

  TimerPtr create_timer(std::function<void()> callback) override;
  void post(std::function<void()> callback) override;

  // Runs the loop until stop() is called.
  void run();
  // Handles the events that are ready and returns; waits for one event if `may_block`.
  void run_once(bool may_block);
  // Makes run() return after the current turn.
  void stop();
  // Calls `callback` on the loop each time the process receives the signal.
  void handle_signal(int signal_number, std::function<void()> callback);

  event_base* base() const { return base_; }

 private:
  struct SignalHandler;
  static void on_posted(int socket, short what, void* argument);
  void run_posted();
  // Fires the timers that became due while the machine was suspended: the kernel's timers stop
  // during a suspension, but the deadlines that they stand for do not.
  void count_suspension();
  friend class EventTimer;

  const std::function<Duration()> suspension_;
  Duration counted_suspension_;
  event_base* base_;
  event* posted_event_;
  std::vector<std::function<void()>> posted_;
  std::unordered_set<EventTimer*> timers_;
  std::vector<std::unique_ptr<SignalHandler>> signal_handlers_;
};

}  // namespace chalkshed
