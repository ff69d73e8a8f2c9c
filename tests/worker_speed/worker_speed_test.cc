#include "chalkshed/worker_speed.h"

#include <gtest/gtest.h>

#include <cmath>

#include "sim/virtual_time.h"
#include "src/core/random.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr MonotonicTime kNow{seconds(100)};
const worker_speed_knobs kKnobs;

speed_samples one_sample(double speed) {
    return {std::log(speed), 1.0};
}

TEST(WorkerSpeed, IsOneWithoutSamples) {
    worker_speed speed;
    EXPECT_FALSE(speed.reports());
    EXPECT_EQ(speed.speed(), 1.0);
    EXPECT_EQ(speed.slowness(kNow, kKnobs), 1.0);
}

TEST(WorkerSpeed, IsLearnedFromSamples) {
    for (const double real : {0.6, 1.0, 1.6}) {
        worker_speed speed;
        for (int count = 0; count < 20; ++count) {
            speed.add(one_sample(real), kNow, kKnobs);
        }
        EXPECT_NEAR(speed.speed(), real, 0.1 * real);
    }
}

// Answers that waited in a queue, or whose prompt was cached, must not move the speed far.
TEST(WorkerSpeed, OutliersCountAsALimitedDifference) {
    worker_speed speed;
    for (int count = 0; count < 50; ++count) {
        const double sample = count % 10 == 9 ? 0.05 : 1.6;
        speed.add(one_sample(sample), kNow, kKnobs);
    }
    EXPECT_NEAR(speed.speed(), 1.6, 0.15);
}

TEST(WorkerSpeed, ALastingChangeIsLearnedWithinSomeSeconds) {
    worker_speed speed;
    MonotonicTime now = kNow;
    constexpr Duration kBetween = milliseconds(180); // of the samples of all nodes
    for (int count = 0; count < 200; ++count, now += kBetween) {
        speed.add(one_sample(1.6), now, kKnobs);
    }
    for (int count = 0; count < 200; ++count, now += kBetween) {
        speed.add(one_sample(0.8), now, kKnobs);
    }
    EXPECT_LT(speed.speed(), 1.0);
}

TEST(WorkerSpeed, AReportedSlowdownLosesItsWeightWithinATenthOfASecond) {
    worker_speed speed;
    speed.note_slowdown(2.5, kNow);
    EXPECT_DOUBLE_EQ(speed.slowdown(kNow, kKnobs), 2.5);
    EXPECT_NEAR(speed.slowdown(kNow + milliseconds(45), kKnobs), 1.75, 0.01);
    EXPECT_EQ(speed.slowdown(kNow + milliseconds(90), kKnobs), 1.0);
    EXPECT_EQ(speed.slowdown(kNow + seconds(20), kKnobs), 1.0);
}

// Datagrams arrive out of order.
TEST(WorkerSpeed, AnOlderReportDoesNotReplaceANewerOne) {
    worker_speed speed;
    speed.note_slowdown(1.0, kNow);
    speed.note_slowdown(2.5, kNow - milliseconds(30));
    EXPECT_EQ(speed.slowdown(kNow, kKnobs), 1.0);
}

// A relay that has just started would otherwise undo what all nodes have learned.
TEST(WorkerSpeed, ARelayThatKnowsLittleDoesNotReplaceOneThatKnewMore) {
    worker_speed speed;
    speed.set_shared({std::log(1.6), 100}, kNow, kKnobs);
    speed.set_shared({std::log(0.7), 2}, kNow, kKnobs);
    EXPECT_GT(speed.speed(), 1.5);
    speed.set_shared({std::log(0.7), 60}, kNow, kKnobs);
    EXPECT_LT(speed.speed(), 0.8);
}

TEST(WorkerSpeed, OperatorsAreToldOnceKnownAndAfterNotableChanges) {
    worker_speed speed;
    int told = 0;
    const auto add = [&](double sample) {
        speed.add(one_sample(sample), kNow, kKnobs);
        told += speed.take_notable_change(kNow, kKnobs) ? 1 : 0;
    };
    add(1.0);
    EXPECT_EQ(told, 0);
    for (int count = 0; count < 40; ++count) {
        add(count % 2 == 0 ? 1.1 : 0.9);
    }
    EXPECT_EQ(told, 1);
    for (int count = 0; count < 40; ++count) {
        add(1.6);
    }
    EXPECT_EQ(told, 2);
}

TEST(ServicePace, KnowsThatWorkTakesLongerBesideOtherWork) {
    service_pace pace;
    EXPECT_FALSE(pace.expected(3));
    SeededRandomGenerator random{5};
    for (int count = 0; count < 300; ++count) {
        const double running = static_cast<double>(random.below(8)) + 1;
        pace.add(running, std::log(3.0) + 0.1 * running + 0.2 * (random.unit() - 0.5));
    }
    EXPECT_NEAR(*pace.expected(1), std::log(3.0) + 0.1, 0.05);
    EXPECT_NEAR(*pace.expected(8), std::log(3.0) + 0.8, 0.05);
    EXPECT_GT(pace.confidence(), 0.9);
}

TEST(ServicePace, AFewSamplesSuggestNoLoadDependence) {
    service_pace pace;
    pace.add(1, std::log(3.0));
    pace.add(2, std::log(6.0));
    EXPECT_LT(*pace.expected(8) - *pace.expected(1), 0.7);
}

TEST(EventGaps, AreMeasuredFromTheFirstArrivalToTheLast) {
    event_gaps gaps;
    EXPECT_FALSE(gaps.mean());
    gaps.add(5, kNow);
    EXPECT_FALSE(gaps.mean());
    gaps.add(4, kNow + milliseconds(12));
    gaps.add(6, kNow + milliseconds(30));
    EXPECT_EQ(*gaps.mean(), milliseconds(3));
}

TEST(CountEvents, CountsBlankLines) {
    EXPECT_EQ(count_events(""), 0U);
    EXPECT_EQ(count_events("id: 1\ndata: a\n\nid: 2\ndata: b\n\n"), 2U);
    EXPECT_EQ(count_events("data: a\r\n\r\ndata: b\r\n\r\n"), 2U);
}

} // namespace
} // namespace chalkshed
