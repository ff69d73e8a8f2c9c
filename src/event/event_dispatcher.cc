#include "src/event/event_dispatcher.h"

#include <event2/event.h>
#include <algorithm>
#include <ctime>
#include <memory>
#include <stdexcept>
#include <utility>

#include "src/event/timeval.h"

namespace chalkshed {
namespace {

// A timer must never fire before its delay has passed on the time source, whose values are
// truncated to microseconds.
timeval timer_delay(Duration delay) {
  constexpr Duration kTruncation{1};
  return timeval_of(std::max(delay, Duration::zero()) + kTruncation);
}

Duration read_clock(clockid_t clock) {
  timespec now{};
  clock_gettime(clock, &now);
  return std::chrono::duration_cast<Duration>(std::chrono::seconds(now.tv_sec) +
                                              std::chrono::nanoseconds(now.tv_nsec));
}

event_base* create_base() {
  event_config* config = event_config_new();
  // By default, libevent's timers have the resolution of the kernel tick and count from the start
  // of the loop turn, which is too coarse for engines with a step every few milliseconds.
  event_config_set_flag(config, EVENT_BASE_FLAG_PRECISE_TIMER);
  event_config_set_flag(config, EVENT_BASE_FLAG_NO_CACHE_TIME);
  event_config_set_flag(config, EVENT_BASE_FLAG_NOLOCK);
  event_base* base = event_base_new_with_config(config);
  event_config_free(config);
  if (base == nullptr) {
    throw std::runtime_error("cannot create an event loop");
  }
  return base;
}

}  // namespace

class EventTimer : public Timer {
 public:
  EventTimer(EventDispatcher& dispatcher, std::function<void()> callback)
      : dispatcher_(dispatcher),
        live_timers_(&dispatcher.timers_),
        callback_(std::move(callback)),
        event_(evtimer_new(dispatcher.base_, &EventTimer::on_fire, this)) {
    live_timers_->insert(this);
  }
  ~EventTimer() override {
    if (live_timers_ != nullptr) {
      live_timers_->erase(this);
      event_free(event_);
    }
  }
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

  void enable(Duration delay) override {
    due_ = steady_now() + delay;
    const timeval timeout = timer_delay(delay);
    evtimer_add(event_, &timeout);
  }
  // Moves the due time forward by the time for which the machine was suspended.
  void advance(Duration suspended) {
    if (enabled()) {
      due_ -= suspended;
      const timeval timeout = timer_delay(due_ - steady_now());
      evtimer_add(event_, &timeout);
    }
  }
  void disable() override { evtimer_del(event_); }
  bool enabled() const override { return evtimer_pending(event_, nullptr) != 0; }
  // Called when the loop is destroyed. Destroys the timer if its own callback owns it.
  void detach_from_loop() {
    live_timers_ = nullptr;
    event_free(event_);
    const std::function<void()> dropped = std::exchange(callback_, nullptr);
  }

 private:
  static void on_fire(int /*socket*/, short /*what*/, void* argument) {
    auto* timer = static_cast<EventTimer*>(argument);
    timer->dispatcher_.count_suspension();
    // A copy: the callback may destroy its own timer.
    const std::function<void()> callback = timer->callback_;
    callback();
  }
  // The clock that the event loop's timers use.
  static Duration steady_now() { return read_clock(CLOCK_MONOTONIC); }

  EventDispatcher& dispatcher_;
  std::unordered_set<EventTimer*>* live_timers_;  // null once the loop is destroyed
  std::function<void()> callback_;
  event* event_;
  Duration due_{0};
};

struct EventDispatcher::SignalHandler {
  std::function<void()> callback;
  event* signal_event = nullptr;
};

Duration system_suspension() {
  // If the thread were preempted between two clock reads, that time would count as a suspension.
  constexpr Duration kMaxReadTime = std::chrono::milliseconds(1);
  constexpr int kMaxTries = 5;
  Duration suspension{0};
  for (int attempt = 0; attempt < kMaxTries; ++attempt) {
    const Duration before = read_clock(CLOCK_MONOTONIC);
    const Duration with = read_clock(CLOCK_BOOTTIME);
    const Duration after = read_clock(CLOCK_MONOTONIC);
    suspension = with - after;
    if (after - before < kMaxReadTime) {
      break;
    }
  }
  return suspension;
}

EventDispatcher::EventDispatcher(std::function<Duration()> suspension)
    : suspension_(std::move(suspension)),
      counted_suspension_(suspension_()),
      base_(create_base()),
      posted_event_(evtimer_new(base_, &EventDispatcher::on_posted, this)) {}

EventDispatcher::~EventDispatcher() {
  for (const std::unique_ptr<SignalHandler>& handler : signal_handlers_) {
    event_free(handler->signal_event);
  }
  event_free(posted_event_);
  posted_.clear();
  // A timer of call_after() is owned by its own callback; pending ones would leak otherwise.
  while (!timers_.empty()) {
    timers_.extract(timers_.begin()).value()->detach_from_loop();
  }
  event_base_free(base_);
}

TimerPtr EventDispatcher::create_timer(std::function<void()> callback) {
  return std::make_unique<EventTimer>(*this, std::move(callback));
}

void EventDispatcher::post(std::function<void()> callback) {
  if (posted_.empty()) {
    // A timer, not an activated event: it fires in the next turn, so sockets are handled in
    // between.
    const timeval immediately{};
    evtimer_add(posted_event_, &immediately);
  }
  posted_.push_back(std::move(callback));
}

void EventDispatcher::on_posted(int /*socket*/, short /*what*/, void* argument) {
  static_cast<EventDispatcher*>(argument)->run_posted();
}

void EventDispatcher::run_posted() {
  std::vector<std::function<void()>> callbacks;
  callbacks.swap(posted_);
  for (std::function<void()>& callback : callbacks) {
    callback();
  }
}

void EventDispatcher::count_suspension() {
  // A smaller delay is no worse than that of a timer on a busy machine.
  constexpr Duration kMinSuspension = std::chrono::milliseconds(100);
  const Duration suspended = suspension_() - counted_suspension_;
  if (suspended < kMinSuspension) {
    return;
  }
  counted_suspension_ += suspended;
  for (EventTimer* timer : timers_) {
    timer->advance(suspended);
  }
}

void EventDispatcher::run() { event_base_loop(base_, EVLOOP_NO_EXIT_ON_EMPTY); }

void EventDispatcher::run_once(bool may_block) {
  event_base_loop(base_, may_block ? EVLOOP_ONCE : EVLOOP_NONBLOCK);
}

void EventDispatcher::stop() { event_base_loopbreak(base_); }

void EventDispatcher::handle_signal(int signal_number, std::function<void()> callback) {
  auto handler = std::make_unique<SignalHandler>();
  handler->callback = std::move(callback);
  handler->signal_event = evsignal_new(
      base_, signal_number,
      [](int, short, void* argument) { static_cast<SignalHandler*>(argument)->callback(); },
      handler.get());
  evsignal_add(handler->signal_event, nullptr);
  signal_handlers_.push_back(std::move(handler));
}

}  // namespace chalkshed
