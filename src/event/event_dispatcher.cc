#include "src/event/event_dispatcher.h"

#include <event2/event.h>
#include <algorithm>
#include <memory>
#include <stdexcept>
#include <utility>

#include "src/event/timeval.h"

namespace chalkshed {
namespace {

// A timer must never fire before its delay has passed on the time source, whose readings are
// truncated to microseconds.
timeval timer_delay(Duration delay) {
  constexpr Duration kTruncation{1};
  return timeval_of(std::max(delay, Duration::zero()) + kTruncation);
}

event_base* create_base() {
  event_config* config = event_config_new();
  // The default timers of libevent are as coarse as the kernel's tick and count from the begin of
  // the loop turn; engines take a step every few milliseconds.
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
  EventTimer(event_base* base, std::unordered_set<EventTimer*>& living,
             std::function<void()> callback)
      : living_(&living),
        callback_(std::move(callback)),
        event_(evtimer_new(base, &EventTimer::on_fire, this)) {
    living.insert(this);
  }
  ~EventTimer() override {
    if (living_ != nullptr) {
      living_->erase(this);
      event_free(event_);
    }
  }
  EventTimer(const EventTimer&) = delete;
  EventTimer& operator=(const EventTimer&) = delete;

  void enable(Duration delay) override {
    const timeval timeout = timer_delay(delay);
    evtimer_add(event_, &timeout);
  }
  void disable() override { evtimer_del(event_); }
  bool enabled() const override { return evtimer_pending(event_, nullptr) != 0; }
  // The loop ends. Destroys the timer if its own callback holds it.
  void end_with_loop() {
    living_ = nullptr;
    event_free(event_);
    const std::function<void()> dropped = std::exchange(callback_, nullptr);
  }

 private:
  static void on_fire(int /*socket*/, short /*what*/, void* argument) {
    // A copy: the callback may destroy its own timer.
    const std::function<void()> callback = static_cast<EventTimer*>(argument)->callback_;
    callback();
  }

  std::unordered_set<EventTimer*>* living_;  // null once the loop has ended
  std::function<void()> callback_;
  event* event_;
};

struct EventDispatcher::SignalHandler {
  std::function<void()> callback;
  event* signal_event = nullptr;
};

EventDispatcher::EventDispatcher()
    : base_(create_base()), posted_event_(evtimer_new(base_, &EventDispatcher::on_posted, this)) {}

EventDispatcher::~EventDispatcher() {
  for (const std::unique_ptr<SignalHandler>& handler : signal_handlers_) {
    event_free(handler->signal_event);
  }
  event_free(posted_event_);
  posted_.clear();
  // call_after() leaves a timer to its own callback; nobody else would end those that still wait.
  while (!timers_.empty()) {
    timers_.extract(timers_.begin()).value()->end_with_loop();
  }
  event_base_free(base_);
}

TimerPtr EventDispatcher::create_timer(std::function<void()> callback) {
  return std::make_unique<EventTimer>(base_, timers_, std::move(callback));
}

void EventDispatcher::post(std::function<void()> callback) {
  if (posted_.empty()) {
    // A timer, not an activated event: it fires in the next turn, so sockets are served in between.
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
