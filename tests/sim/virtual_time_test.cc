#include "sim/virtual_time.h"

#include <gtest/gtest.h>

#include <memory>
#include <vector>

#include "src/core/call_after.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

TEST(VirtualTimeTest, EventsOfOneInstantKeepTheirOrder) {
  VirtualClock clock;
  std::vector<int> order;
  clock.schedule(milliseconds(2), [&] { order.push_back(3); });
  clock.schedule(milliseconds(1), [&] { order.push_back(1); });
  clock.schedule(milliseconds(1), [&] { order.push_back(2); });
  clock.run_for(milliseconds(5));
  EXPECT_EQ(order, (std::vector<int>{1, 2, 3}));
}

TEST(VirtualTimeTest, FrozenProcessRunsDueTimersWhenItThaws) {
  VirtualClock clock;
  VirtualDispatcher dispatcher(clock);
  int fired = 0;
  TimerPtr timer = dispatcher.create_timer([&] { ++fired; });
  timer->enable(milliseconds(10));
  dispatcher.freeze();
  clock.run_for(milliseconds(50));
  EXPECT_EQ(fired, 0);
  dispatcher.thaw();
  clock.run_for(milliseconds(1));
  EXPECT_EQ(fired, 1);
}

TEST(VirtualTimeTest, TimerMayDestroyItself) {
  VirtualClock clock;
  VirtualDispatcher dispatcher(clock);
  TimerPtr timer;
  timer = dispatcher.create_timer([&] { timer.reset(); });
  timer->enable(milliseconds(1));
  clock.run_for(milliseconds(2));
  EXPECT_EQ(timer, nullptr);
}

TEST(VirtualTimeTest, DestroyedProcessRunsNothing) {
  VirtualClock clock;
  int ran = 0;
  {
    VirtualDispatcher dispatcher(clock);
    dispatcher.post([&] { ++ran; });
  }
  clock.run_for(milliseconds(1));
  EXPECT_EQ(ran, 0);
}

// Callbacks posted by a simulated process used to stay in the clock until the end of the run, and
// the timers of call_after() were leaked. A request attempt whose deferred destruction was still
// pending outlived its worker: AddressSanitizer reported a use after free, LeakSanitizer the
// timers.
TEST(VirtualTimeTest, ScheduledCallbacksEndWithTheProcess) {
  VirtualClock clock;
  auto held = std::make_shared<int>();
  const std::weak_ptr<int> watched = held;
  auto dispatcher = std::make_unique<VirtualDispatcher>(clock);
  dispatcher->post([held] {});
  dispatcher->schedule(std::chrono::hours(1), [held] {});
  call_after(*dispatcher, std::chrono::hours(1), [held] {});
  dispatcher->freeze();
  call_after(*dispatcher, milliseconds(1), [held] {});
  held.reset();
  clock.run_for(milliseconds(2));
  EXPECT_FALSE(watched.expired());
  dispatcher.reset();
  EXPECT_TRUE(watched.expired());
}

}  // namespace
}  // namespace chalkshed
