// Runs a function once after a delay, without a timer object at the caller.
#pragma once

#include <functional>
#include <memory>

#include "src/core/dispatcher.h"

namespace chalkshed {

// @param dispatcher must outlive the call. @param function wrap it by Lifetime::guard() if needed.
inline void call_after(Dispatcher& dispatcher, Duration delay, std::function<void()> function) {
  auto timer = std::make_shared<TimerPtr>();
  *timer = dispatcher.create_timer([&dispatcher, timer, function = std::move(function)] {
    // The timer must outlive its own callback.
    dispatcher.post([timer] { timer->reset(); });
    function();
  });
  (*timer)->enable(delay);
}

}  // namespace chalkshed
