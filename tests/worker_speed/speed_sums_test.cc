#include "chalkshed/speed_sums.h"

#include <gtest/gtest.h>

#include <cmath>

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(100)};

worker_speed_entry entry_of(uint32_t worker, double speed, double weight) {
    worker_speed_entry entry;
    entry.worker = worker;
    entry.samples = {std::log(speed), weight};
    return entry;
}

TEST(SpeedSums, WeighNodesAndZonesByTheirSamples) {
    speed_sums sums;
    sums.add({entry_of(7, 1.0, 1)}, kNow);
    sums.add({entry_of(7, 1.6, 2)}, kNow);
    sums.replace("zone-b", {entry_of(7, 1.6, 3)}, kNow);
    const std::vector<worker_speed_entry> of_zone = sums.next_of_zone(8, kNow);
    ASSERT_EQ(of_zone.size(), 1U);
    EXPECT_DOUBLE_EQ(of_zone.front().samples.weight, 3);
    EXPECT_NEAR(of_zone.front().samples.log_speed, std::log(1.6) * 2 / 3, 1e-9);
    const std::vector<worker_speed_entry> of_all = sums.next_of_all(8, kNow);
    ASSERT_EQ(of_all.size(), 1U);
    EXPECT_DOUBLE_EQ(of_all.front().samples.weight, 6);
    EXPECT_NEAR(of_all.front().samples.log_speed, std::log(1.6) * 5 / 6, 1e-9);
}

// A repeated or late sum must not count twice.
TEST(SpeedSums, ASumOfAnotherZoneReplacesTheOneBefore) {
    speed_sums sums;
    sums.replace("zone-b", {entry_of(7, 1.6, 3)}, kNow);
    sums.replace("zone-b", {entry_of(7, 1.6, 4)}, kNow);
    EXPECT_DOUBLE_EQ(sums.next_of_all(8, kNow).front().samples.weight, 4);
    EXPECT_TRUE(sums.next_of_zone(8, kNow).empty());
}

TEST(SpeedSums, AllWorkersWithNewsAreToldInTurnAndThenAFewOthers) {
    speed_sums sums;
    constexpr uint32_t kWorkers = 20;
    for (uint32_t worker = 0; worker < kWorkers; ++worker) {
        sums.add({entry_of(worker, 1.0, 1)}, kNow);
    }
    std::vector<uint32_t> told;
    for (int round = 0; round < 3; ++round) {
        for (const worker_speed_entry &entry : sums.next_of_all(8, kNow)) {
            told.push_back(entry.worker);
        }
    }
    for (uint32_t worker = 0; worker < kWorkers; ++worker) {
        EXPECT_NE(std::find(told.begin(), told.end(), worker), told.end()) << worker;
    }
    // For nodes that have just started.
    EXPECT_EQ(sums.next_of_all(8, kNow).size(), 2U);
}

TEST(SpeedSums, SamplesFade) {
    speed_sums sums;
    sums.add({entry_of(7, 1.6, 8)}, kNow);
    const worker_speed_knobs knobs;
    EXPECT_NEAR(sums.next_of_all(8, kNow + knobs.half_life).front().samples.weight, 4, 1e-6);
}

TEST(SpeedSums, ASlowdownIsPassedOnWhileItIsRecent) {
    speed_sums sums;
    worker_speed_entry slow = entry_of(7, 1.0, 0);
    slow.slowdown = 2.5;
    slow.slowdown_age = milliseconds(20);
    sums.add({slow}, kNow);
    const worker_speed_entry told = sums.next_of_all(8, kNow + milliseconds(30)).front();
    EXPECT_EQ(told.slowdown, 2.5);
    EXPECT_EQ(told.slowdown_age, milliseconds(50));
    EXPECT_FALSE(sums.next_of_all(8, kNow + milliseconds(80)).front().slowdown);
}

// Zones would otherwise tell each other their own reports again.
TEST(SpeedSums, TheSlowdownOfAnotherZoneIsNotToldAsOneOfThisZone) {
    speed_sums sums;
    sums.add({entry_of(7, 1.0, 1)}, kNow);
    worker_speed_entry slow = entry_of(7, 1.0, 1);
    slow.slowdown = 2.5;
    sums.replace("zone-b", {slow}, kNow);
    EXPECT_FALSE(sums.next_of_zone(8, kNow).front().slowdown);
    EXPECT_TRUE(sums.next_of_all(8, kNow).front().slowdown);
}

} // namespace
} // namespace chalkshed
