// Selection of the workers that are kept lightly loaded for online work.
#include "src/routing/window_plan.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

size_t light(const std::vector<PlannedWorker>& workers) {
  return static_cast<size_t>(std::count_if(
      workers.begin(), workers.end(), [](const PlannedWorker& worker) { return worker.light; }));
}

class WindowPlanTest : public testing::Test {
 protected:
  void plan(double online, double arrivals_per_second = 0, bool may_shrink = false) {
    workers_.front().online_sequences = online;
    conditions_.arrivals_per_second = arrivals_per_second;
    conditions_.may_shrink = may_shrink;
    conditions_.idle = false;
    plan_light_workers(workers_, conditions_, knobs_);
  }
  WindowKnobs knobs_;
  PlanConditions conditions_;
  std::vector<PlannedWorker> workers_ = std::vector<PlannedWorker>(6);
};

TEST_F(WindowPlanTest, LightWorkersFollowOnlineWork) {
  plan(0);
  EXPECT_EQ(light(workers_), knobs_.fewest_light);
  const double each = online_per_light_worker(conditions_.batch_fill, knobs_);
  plan(2.5 * each);
  EXPECT_EQ(light(workers_), 3U);
  plan(100 * each);
  EXPECT_EQ(light(workers_), 6U);
}

TEST_F(WindowPlanTest, ArrivalsCountInAdvance) {
  const double each = online_per_light_worker(conditions_.batch_fill, knobs_);
  const double lookahead = std::chrono::duration<double>(knobs_.arrival_lookahead).count();
  plan(0.5 * each, 2 * each / lookahead);
  EXPECT_EQ(light(workers_), 3U);
}

TEST_F(WindowPlanTest, ShrinksOneAtATimeAndOnlyWhenAllowed) {
  const double each = online_per_light_worker(conditions_.batch_fill, knobs_);
  plan(4 * each);
  plan(0);
  EXPECT_EQ(light(workers_), 4U);
  plan(0, 0, true);
  EXPECT_EQ(light(workers_), 3U);
  EXPECT_TRUE(workers_[0].light);
  EXPECT_FALSE(workers_[3].light);  // the first ones stay light
}

TEST_F(WindowPlanTest, ABurstMakesAllWorkersLightAndClosesBatchAtOnce) {
  conditions_.burst = true;
  plan(1);
  EXPECT_EQ(light(workers_), 6U);
  WindowConditions conditions;
  conditions.max_sequences = 32;
  conditions.load_known = true;
  conditions.burst = true;
  EXPECT_EQ(window_limits(conditions, knobs_, RoutingSafeguards{}).sequences, 0U);
}

TEST(ArrivalRate, DetectsABurstWithinItsFirstArrivalsAndItsEnd) {
  const WindowKnobs knobs;
  ArrivalRate arrivals;
  MonotonicTime now{std::chrono::seconds(1)};
  for (int count = 0; count < 400; ++count) {  // steady: 20 per second
    now += std::chrono::milliseconds(50);
    arrivals.arrived(now, knobs);
    EXPECT_FALSE(arrivals.in_burst(now) && count > 100);
  }
  for (int count = 0; count < 10; ++count) {  // burst: 400 per second
    now += std::chrono::microseconds(2500);
    arrivals.arrived(now, knobs);
  }
  EXPECT_TRUE(arrivals.in_burst(now));
  EXPECT_FALSE(arrivals.in_burst(now + knobs.burst_hold));
  EXPECT_LT(arrivals.per_second(now + std::chrono::seconds(1), knobs), 1.0);
}

TEST_F(WindowPlanTest, AfterALongTimeWithoutOnlineWorkAllWorkersAreFilled) {
  plan(1);
  conditions_.idle = true;
  conditions_.may_shrink = true;
  workers_.front().online_sequences = 0;
  plan_light_workers(workers_, conditions_, knobs_);
  EXPECT_EQ(light(workers_), 0U);
}

TEST_F(WindowPlanTest, UnusableWorkersAreNotCounted) {
  workers_[0].usable = false;
  plan(0);
  EXPECT_FALSE(workers_[0].light);
  EXPECT_TRUE(workers_[1].light);
}

TEST_F(WindowPlanTest, BatchFillTradesLightWorkersForThroughput) {
  EXPECT_GE(online_per_light_worker(1.0, knobs_), online_per_light_worker(0.0, knobs_));
  WindowConditions conditions;
  conditions.max_sequences = 32;
  conditions.load_known = true;
  conditions.light = true;
  conditions.batch_fill = 0;
  const WindowLimits least = window_limits(conditions, knobs_, RoutingSafeguards{});
  conditions.batch_fill = 1;
  const WindowLimits most = window_limits(conditions, knobs_, RoutingSafeguards{});
  EXPECT_LT(least.sequences, most.sequences);
}

}  // namespace
}  // namespace chalkshed
