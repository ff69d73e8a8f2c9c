#include "emulator/delayed_calls.h"

namespace chalkshed {

DelayedCalls::DelayedCalls(const TimeSource& time_source, Dispatcher& dispatcher)
    : time_source_(time_source), timer_(dispatcher.create_timer([this] { run_due(); })) {}

void DelayedCalls::add(Duration delay, std::function<void()> call) {
  const MonotonicTime due = time_source_.monotonic_now() + std::max(delay, Duration(0));
  const auto added = calls_.emplace(std::pair(due, next_sequence_++), std::move(call)).first;
  if (added == calls_.begin()) {
    arm();
  }
}

void DelayedCalls::arm() {
  if (calls_.empty()) {
    return;
  }
  const Duration delay = calls_.begin()->first.first - time_source_.monotonic_now();
  timer_->enable(std::max(delay, Duration(0)));
}

void DelayedCalls::run_due() {
  const MonotonicTime now = time_source_.monotonic_now();
  // Removes all due calls first, because one of them may destroy this object.
  std::vector<std::function<void()>> due;
  while (!calls_.empty() && calls_.begin()->first.first <= now) {
    due.push_back(std::move(calls_.begin()->second));
    calls_.erase(calls_.begin());
  }
  arm();
  for (const std::function<void()>& call : due) {
    call();
  }
}

}  // namespace chalkshed
