#include "src/event/event_dispatcher.h"

#include <gtest/gtest.h>

#include "src/core/call_after.h"
#include "src/event/socket_address.h"
#include "src/event/system_time_source.h"

namespace chalkshed {
namespace {

TEST(EventDispatcherTest, PostedCallsKeepTheirOrderAndRunLater) {
  EventDispatcher dispatcher;
  std::vector<int> order;
  dispatcher.post([&] {
    dispatcher.post([&] { order.push_back(3); });
    order.push_back(1);
  });
  dispatcher.post([&] { order.push_back(2); });
  EXPECT_TRUE(order.empty());
  while (order.size() < 3) {
    dispatcher.run_once(true);
  }
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST(EventDispatcherTest, TimerNeverFiresBeforeItsDelay) {
  EventDispatcher dispatcher;
  const SystemTimeSource time;
  for (int round = 0; round < 50; ++round) {
    MonotonicTime fired{};
    const TimerPtr timer = dispatcher.create_timer([&] { fired = time.monotonic_now(); });
    const MonotonicTime due = time.monotonic_now() + std::chrono::microseconds(200);
    timer->enable(std::chrono::microseconds(200));
    EXPECT_TRUE(timer->enabled());
    while (fired == MonotonicTime{}) {
      dispatcher.run_once(true);
    }
    EXPECT_GE(fired, due);
    EXPECT_FALSE(timer->enabled());
  }
}

// The kernel's timers stop while a machine is suspended, but requests, leases and questions age in
// that time. Without a correction, every timer would fire 30 s late after a suspension of 30 s.
TEST(EventDispatcherTest, TimersCountTheTimeOfASuspension) {
  Duration suspended{0};
  EventDispatcher dispatcher([&] { return suspended; });
  bool due = false;
  bool later = false;
  const TimerPtr waits = dispatcher.create_timer([&] { due = true; });
  const TimerPtr waits_longer = dispatcher.create_timer([&] { later = true; });
  waits->enable(std::chrono::seconds(30));
  waits_longer->enable(std::chrono::hours(1));
  int ticks = 0;
  TimerPtr tick;
  tick = dispatcher.create_timer([&] {
    suspended = ++ticks == 3 ? std::chrono::seconds(31) : suspended;
    tick->enable(std::chrono::milliseconds(1));
  });
  tick->enable(std::chrono::milliseconds(1));
  constexpr int kMaxTicks = 100;
  while (!due && ticks < kMaxTicks) {
    dispatcher.run_once(true);
  }
  EXPECT_TRUE(due);
  EXPECT_FALSE(later);
  EXPECT_TRUE(waits_longer->enabled());
}

TEST(EventDispatcherTest, TimerMayDestroyItself) {
  EventDispatcher dispatcher;
  TimerPtr timer;
  timer = dispatcher.create_timer([&] { timer.reset(); });
  timer->enable(Duration::zero());
  while (timer) {
    dispatcher.run_once(true);
  }
  EXPECT_EQ(timer, nullptr);
}

// Guards against a leak at the end of a drain, reported by the leak checker: the state of
// call_after() is owned by its own timer until the turn of the event loop after the call, and the
// loop had stopped before that turn. Pending calls have to be destroyed with the loop.
TEST(EventDispatcherTest, PendingDelayedCallsAreDestroyedWithTheLoop) {
  auto held = std::make_shared<int>();
  const std::weak_ptr<int> watched = held;
  {
    EventDispatcher dispatcher;
    call_after(dispatcher, std::chrono::hours(1), [held] {});
    call_after(dispatcher, Duration::zero(), [&dispatcher, held] { dispatcher.stop(); });
    held.reset();
    dispatcher.run();
    EXPECT_FALSE(watched.expired());
  }
  EXPECT_TRUE(watched.expired());
}

TEST(EventDispatcherTest, TimersMayOutliveTheLoop) {
  TimerPtr timer;
  {
    EventDispatcher dispatcher;
    timer = dispatcher.create_timer([] {});
    timer->enable(std::chrono::hours(1));
  }
  timer.reset();
}

TEST(SocketAddressTest, ParsesNumericAddressesOnly) {
  EXPECT_EQ(parse_numeric_address("127.0.0.1:80"), (Address{"127.0.0.1", 80}));
  EXPECT_EQ(parse_numeric_address("[::1]:80"), (Address{"::1", 80}));
  for (const char* text :
       {"localhost:80", "127.0.0.1", "127.0.0.1:", "127.0.0.1:70000", "127.0.0.1:8x", ":80", ""}) {
    EXPECT_FALSE(parse_numeric_address(text)) << text;
  }
}

}  // namespace
}  // namespace chalkshed
