// Shares that give a tenant or a priority more or less than max-min fairness does.
#include "chalkshed/fair_share.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <algorithm>

namespace chalkshed {
namespace {

TEST(FairShareTest, NobodyIsLimitedWithinTheCapacity) {
  const auto shares = fair_shares({{0, 10}, {0, 20}, {2, 5}}, 35);
  ASSERT_EQ(shares.size(), 2);
  EXPECT_EQ(shares[0].level, kNoLevel);
  EXPECT_EQ(shares[1].level, kNoLevel);
  EXPECT_DOUBLE_EQ(shares[0].granted, 30);
}

TEST(FairShareTest, ATenantAboveTheOthersGetsWhatTheyLeave) {
  const auto shares = fair_shares({{0, 700}, {0, 10}, {0, 20}}, 100);
  ASSERT_EQ(shares.size(), 1);
  EXPECT_DOUBLE_EQ(shares[0].level, 70);
  EXPECT_DOUBLE_EQ(shares[0].granted, 100);
}

TEST(FairShareTest, EqualDemandsGetEqualShares) {
  EXPECT_DOUBLE_EQ(fair_shares({{0, 50}, {0, 50}, {0, 50}}, 60)[0].level, 20);
}

TEST(FairShareTest, LowerPrioritiesGetWhatHigherOnesLeave) {
  const auto shares = fair_shares({{5, 40}, {1, 80}, {9, 10}}, 100);
  ASSERT_EQ(shares.size(), 3);
  EXPECT_EQ(shares[0].level, kNoLevel);
  EXPECT_DOUBLE_EQ(shares[1].level, 20);
  EXPECT_DOUBLE_EQ(shares[2].level, 0);
}

TEST(FairShareTest, WithoutCapacityNothingIsGranted) {
  EXPECT_DOUBLE_EQ(fair_shares({{0, 1}}, -5)[0].level, 0);
  EXPECT_TRUE(fair_shares({}, 5).empty());
}

// The sum of the shares is the capacity or the demand, a limited priority leaves nothing to lower
// ones, and the level limits only tenants above it.
RC_GTEST_PROP(FairShareProperty, UsesTheWholeCapacityAndNoMore, ()) {
  std::vector<share_demand> demands;
  const auto count = *rc::gen::inRange(1, 60);
  double total = 0;
  for (int index = 0; index < count; ++index) {
    demands.push_back({*rc::gen::inRange<uint32_t>(0, 4), *rc::gen::inRange(0, 1000) / 10.0});
    total += demands.back().demand;
  }
  const double capacity = *rc::gen::inRange(0, 20000) / 10.0;
  const auto shares = fair_shares(demands, capacity);
  double given = 0;
  bool limited = false;
  for (const priority_share& share : shares) {
    double of_priority = 0;
    for (const share_demand& each : demands) {
      of_priority += each.priority == share.priority ? std::min(each.demand, share.level) : 0;
    }
    RC_ASSERT(std::abs(of_priority - share.granted) < 1e-6);
    RC_ASSERT(!limited || share.granted < 1e-6);
    limited = limited || share.level != kNoLevel;
    given += of_priority;
  }
  RC_ASSERT(std::abs(given - std::min(total, capacity)) < 1e-6);
}

}  // namespace
}  // namespace chalkshed
