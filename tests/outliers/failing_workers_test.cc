/** \file
 * A worker that fails requests is avoided by all nodes after few failures, and gets requests again
 * soon after it has recovered. */

#include "tests/outliers/failing_fleet.h"

namespace chalkshed {
namespace {

struct outcome {
    size_t lost = 0;        // failed calls until all nodes avoided the worker
    size_t lost_in_all = 0; // including probes
    size_t once_after = 0;  // of requests that may run once, after that
    bool avoided = false;   // by all nodes
    Duration until_avoided{0};
    Duration until_readmitted{0}; // by all nodes, after the end of the fault
};

/** Worker 7 has the fault for `length`. */
outcome play(failing_fleet &fleet, const failing_fleet::fault &fault, Duration length) {
    constexpr size_t kWorker = 7;
    outcome seen;
    const MonotonicTime begun = fleet.cluster.clock.monotonic_now();
    fleet.faults[kWorker] = fault;
    MonotonicTime avoided{};
    while (fleet.cluster.clock.monotonic_now() < begun + length) {
        fleet.run_for(milliseconds(10));
        if (!seen.avoided && fleet.avoided_by(kWorker) == fleet.nodes_up()) {
            seen.avoided = true;
            avoided = fleet.cluster.clock.monotonic_now();
            seen.until_avoided = avoided - begun;
            seen.lost = fleet.failed.size();
        }
    }
    seen.lost_in_all = fleet.failed.size();
    if (!seen.avoided) {
        seen.lost = seen.lost_in_all;
    }
    for (const failing_fleet::failed_call &call : fleet.failed) {
        seen.once_after += seen.avoided && call.at > avoided + milliseconds(10) && call.once;
    }
    fleet.faults.clear();
    const MonotonicTime ended = fleet.cluster.clock.monotonic_now();
    while (fleet.avoided_by(kWorker) > 0 &&
           fleet.cluster.clock.monotonic_now() < ended + seconds(20)) {
        fleet.run_for(milliseconds(10));
    }
    seen.until_readmitted = fleet.cluster.clock.monotonic_now() - ended;
    std::cout << "lost " << seen.lost << " in " << seen.until_avoided / milliseconds(1)
              << " ms, in all " << seen.lost_in_all << ", once " << seen.once_after
              << ", readmitted after " << seen.until_readmitted / milliseconds(1) << " ms\n";
    return seen;
}

TEST(FailingWorkers, LoseManyRequestsWithoutDetection) {
    failing_fleet::knobs knobs;
    knobs.detect = false;
    failing_fleet fleet(knobs);
    fleet.run_for(seconds(5));
    EXPECT_GT(play(fleet, answer_500, seconds(7)).lost, 100U);
}

outcome play_alone(const failing_fleet::fault &fault, Duration length = seconds(7)) {
    failing_fleet fleet;
    fleet.run_for(seconds(5));
    EXPECT_EQ(fleet.failed.size(), 0U);
    return play(fleet, fault, length);
}

void expect_ejected(const outcome &seen) {
    EXPECT_TRUE(seen.avoided);
    EXPECT_LE(seen.lost, 25U);
    EXPECT_EQ(seen.once_after, 0U);
    EXPECT_LE(seen.until_readmitted, seconds(1));
}

TEST(FailingWorkers, AreAvoidedWhenTheyAnswerWithStatus500) {
    expect_ejected(play_alone(answer_500));
}

TEST(FailingWorkers, AreAvoidedWhenTheyStaySilent) {
    expect_ejected(play_alone(stay_silent));
}

TEST(FailingWorkers, AreAvoidedWhenTheyFailSomeRequests) {
    expect_ejected(play_alone(fail_some));
}

// After such a failure a worker is also paused and then sent only repeatable requests, so that it
// may fail too few requests to be ejected.

TEST(FailingWorkers, AreAvoidedWhenTheirAnswersAreNotAuthentic) {
    EXPECT_LE(play_alone(answer_wrong).lost_in_all, 25U);
}

TEST(FailingWorkers, AreAvoidedWhenTheyResetConnections) {
    EXPECT_LE(play_alone(reset_connection).lost_in_all, 25U);
}

TEST(FailingWorkers, AreAvoidedWhenTheyTruncateAnswers) {
    EXPECT_LE(play_alone(truncate_answer).lost_in_all, 25U);
}

// Guards against a worker that passes its probes between two failures and loses requests each time.
TEST(FailingWorkers, LoseLittleWhenTheyFailByTurns) {
    EXPECT_LE(play_alone(fail_by_turns, seconds(20)).lost_in_all, 25U);
}

} // namespace
} // namespace chalkshed
