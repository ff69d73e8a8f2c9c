#include "chalkshed/batch_room.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};
/** A time when a batch_room created at kStart has a full history of bursts. */
constexpr MonotonicTime kKnown = kStart + seconds(20);

service_load load_of(uint32_t free, uint32_t batch = 0, uint32_t own_batch = 0) {
    return {100, free, batch, own_batch};
}

/** A burst that adds `height` online requests within 100 ms. */
void play_burst(batch_room &room, uint32_t before, uint32_t height, MonotonicTime at) {
    room.observe_online(before, at);
    room.observe_online(before + height, at + milliseconds(100));
}

TEST(RecentGrowthTest, IsTheLargestGrowthWithinTheWindow) {
    recent_growth growth(milliseconds(150), seconds(12));
    growth.observe(10, kStart - seconds(20));
    growth.observe(40, kStart + milliseconds(100));
    EXPECT_EQ(growth.value(kStart + milliseconds(100)), 30U);
    growth.observe(60, kStart + milliseconds(2000));
    EXPECT_EQ(growth.value(kStart + milliseconds(2000)), 30U);
}

TEST(RecentGrowthTest, SlowGrowthIsNotABurst) {
    recent_growth growth(milliseconds(150), seconds(12));
    for (uint32_t step = 0; step < 50; ++step) {
        growth.observe(step, kStart + step * milliseconds(100));
    }
    EXPECT_LE(growth.value(kStart + seconds(5)), 3U);
}

TEST(RecentGrowthTest, ExpiresWithoutFurtherObservations) {
    recent_growth growth(milliseconds(150), seconds(12));
    growth.observe(0, kStart);
    growth.observe(40, kStart + milliseconds(50));
    EXPECT_EQ(growth.value(kStart + seconds(13)), 0U);
}

TEST(BatchRoomTest, LeavesHeadroomForTheOnsetOfABurst) {
    batch_room room(kStart);
    EXPECT_TRUE(room.may_start(load_of(4), batch_urgency::kNormal, kKnown));
    play_burst(room, 0, 30, kKnown);
    EXPECT_FALSE(room.may_start(load_of(18), batch_urgency::kNormal, kKnown + milliseconds(400)));
    EXPECT_TRUE(room.may_start(load_of(20), batch_urgency::kNormal, kKnown + milliseconds(400)));
}

TEST(BatchRoomTest, UrgentRunsLeaveLessHeadroom) {
    batch_room room(kStart);
    play_burst(room, 0, 30, kKnown);
    const MonotonicTime now = kKnown + milliseconds(400);
    EXPECT_FALSE(room.may_start(load_of(14), batch_urgency::kNormal, now));
    EXPECT_TRUE(room.may_start(load_of(14), batch_urgency::kUrgent, now));
}

TEST(BatchRoomTest, AHighLevelOfOnlineRequestsIsNotABurst) {
    batch_room room(kStart);
    for (int step = 0; step < 200; ++step) {
        room.observe_online(70 + step % 2, kStart + step * milliseconds(100));
    }
    EXPECT_TRUE(room.may_start(load_of(6), batch_urgency::kNormal, kKnown));
}

TEST(BatchRoomTest, KeepsMoreHeadroomUntilItHasAHistoryOfBursts) {
    batch_room room(kStart);
    EXPECT_FALSE(room.may_start(load_of(15), batch_urgency::kNormal, kStart + seconds(1)));
    EXPECT_TRUE(room.may_start(load_of(15), batch_urgency::kNormal, kKnown));
}

TEST(BatchRoomTest, LoadsReportedByPeersAfterAStartAreNotABurst) {
    batch_room room(kStart);
    play_burst(room, 0, 80, kStart + milliseconds(200));
    EXPECT_FALSE(room.may_start(load_of(18), batch_urgency::kNormal, kStart + seconds(2)));
    EXPECT_TRUE(room.may_start(load_of(20), batch_urgency::kNormal, kStart + seconds(2)));
}

TEST(BatchRoomTest, AllNodesTogetherStopAsManyRunsAsSlotsAreMissing) {
    batch_room room(kStart);
    play_burst(room, 0, 40, kKnown);
    const MonotonicTime now = kKnown + milliseconds(400);
    const double one = room.runs_to_stop(load_of(2, 30, 10), now);
    const double other = room.runs_to_stop(load_of(2, 30, 20), now);
    EXPECT_NEAR(one + other, 8.0, 0.01);
    EXPECT_NEAR(other, 2 * one, 0.01);
}

TEST(BatchRoomTest, NoRunIsStoppedWithEnoughHeadroomOrWithoutOwnRuns) {
    batch_room room(kStart);
    play_burst(room, 0, 40, kKnown);
    const MonotonicTime now = kKnown + milliseconds(400);
    EXPECT_EQ(room.runs_to_stop(load_of(12, 30, 10), now), 0.0);
    EXPECT_EQ(room.runs_to_stop(load_of(0, 30, 0), now), 0.0);
}

TEST(BatchRoomTest, ARunIsNotStoppedRightAfterItsStart) {
    batch_room room(kStart);
    play_burst(room, 0, 30, kKnown);
    const MonotonicTime now = kKnown + milliseconds(100);
    for (uint32_t free = 0; free < 100; ++free) {
        if (room.may_start(load_of(free, 50, 50), batch_urgency::kUrgent, now)) {
            EXPECT_EQ(room.runs_to_stop(load_of(free - 1, 51, 51), now), 0.0) << free;
        }
    }
}

TEST(BatchRoomTest, WhileABurstGrowsRunsAreStoppedAheadOfIt) {
    batch_room room(kStart);
    play_burst(room, 0, 40, kKnown);
    const MonotonicTime growing = kKnown + milliseconds(100);
    const MonotonicTime grown = kKnown + milliseconds(400);
    // Ten slots are kept free after the burst has grown, and 28 more while it grows.
    EXPECT_NEAR(room.runs_to_stop(load_of(12, 30, 30), growing), 26.0, 0.01);
    EXPECT_FALSE(room.may_start(load_of(40), batch_urgency::kNormal, growing));
    EXPECT_EQ(room.runs_to_stop(load_of(12, 30, 30), grown), 0.0);
    EXPECT_TRUE(room.may_start(load_of(40), batch_urgency::kNormal, grown));
}

} // namespace
} // namespace chalkshed
