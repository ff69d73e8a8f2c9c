#include "sim/virtual_time.h"

#include <algorithm>
#include <utility>

namespace chalkshed {

VirtualClock::EventId VirtualClock::schedule(Duration delay, std::function<void()> callback) {
  const EventId event{now_ + std::max(delay, Duration::zero()), next_sequence_++};
  events_.emplace(event, std::move(callback));
  return event;
}

void VirtualClock::cancel(const EventId& event) { events_.erase(event); }

bool VirtualClock::run_next() {
  if (events_.empty()) {
    return false;
  }
  auto first = events_.begin();
  now_ = first->first.first;
  std::function<void()> callback = std::move(first->second);
  events_.erase(first);
  callback();
  return true;
}

void VirtualClock::run_for(Duration duration) {
  const MonotonicTime end = now_ + duration;
  while (!events_.empty() && events_.begin()->first.first <= end) {
    run_next();
  }
  now_ = end;
}

// One-shot timer on a virtual dispatcher. An expiry while the process is frozen is delivered when
// it thaws, unless the timer was disabled or re-armed first.
class VirtualTimer : public Timer {
 public:
  VirtualTimer(VirtualClock& clock, std::shared_ptr<VirtualDispatcher::State> process,
               std::function<void()> callback)
      : clock_(clock),
        process_(std::move(process)),
        shared_(std::make_shared<Shared>(Shared{std::move(callback), 0, false})),
        number_(process_->next_number++) {
    process_->timers.emplace(number_, &shared_->callback);
  }
  ~VirtualTimer() override {
    process_->timers.erase(number_);
    disable();
  }

  void enable(Duration delay) override {
    disable();
    shared_->armed = true;
    const uint64_t generation = shared_->generation;
    event_ = clock_.schedule(delay, [process = process_, shared = shared_, generation] {
      VirtualDispatcher::run_or_hold(process, [shared, generation] { fire(shared, generation); });
    });
  }

  void disable() override {
    if (shared_->armed) {
      clock_.cancel(event_);
    }
    shared_->armed = false;
    ++shared_->generation;
  }

  bool enabled() const override { return shared_->armed; }

 private:
  struct Shared {
    std::function<void()> callback;
    uint64_t generation;
    bool armed;
  };

  static void fire(const std::shared_ptr<Shared>& shared, uint64_t generation) {
    if (!shared->armed || shared->generation != generation) {
      return;
    }
    shared->armed = false;
    // Copied, because the callback may destroy its own timer.
    const std::function<void()> callback = shared->callback;
    callback();
  }

  VirtualClock& clock_;
  std::shared_ptr<VirtualDispatcher::State> process_;
  std::shared_ptr<Shared> shared_;
  uint64_t number_;
  VirtualClock::EventId event_{};
};

VirtualDispatcher::~VirtualDispatcher() {
  state_->alive = false;
  // Moved out of the state first: destroying a callback may destroy timers or post again.
  std::exchange(state_->held, {}).clear();
  std::exchange(state_->scheduled, {}).clear();
  // The timers of call_after() are owned by their own callbacks, so the pending ones must be
  // released here.
  while (!state_->timers.empty()) {
    std::function<void()>* callback = state_->timers.extract(state_->timers.begin()).mapped();
    const std::function<void()> dropped = std::exchange(*callback, nullptr);
  }
}

TimerPtr VirtualDispatcher::create_timer(std::function<void()> callback) {
  return std::make_unique<VirtualTimer>(clock_, state_, std::move(callback));
}

void VirtualDispatcher::post(std::function<void()> callback) {
  schedule(Duration::zero(), std::move(callback));
}

void VirtualDispatcher::schedule(Duration delay, std::function<void()> callback) {
  const uint64_t number = state_->next_number++;
  state_->scheduled.emplace(number, std::move(callback));
  clock_.schedule(delay, [state = state_, number] {
    auto due = state->scheduled.extract(number);
    if (!due.empty()) {
      run_or_hold(state, std::move(due.mapped()));
    }
  });
}

void VirtualDispatcher::thaw() {
  state_->frozen = false;
  for (std::function<void()>& callback : state_->held) {
    schedule(Duration::zero(), std::move(callback));
  }
  state_->held.clear();
}

void VirtualDispatcher::run_or_hold(const std::shared_ptr<State>& state,
                                    std::function<void()> callback) {
  if (!state->alive) {
    return;
  }
  if (state->frozen) {
    state->held.push_back(std::move(callback));
    return;
  }
  callback();
}

}  // namespace chalkshed
