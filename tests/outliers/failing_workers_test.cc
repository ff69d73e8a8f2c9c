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

TEST(FailingWorkers, AreAvoidedWhenTheirAnswersAreNotAuthentic) {
    expect_ejected(play_alone(answer_wrong));
}

TEST(FailingWorkers, AreAvoidedWhenTheyResetConnections) {
    expect_ejected(play_alone(reset_connection));
}

// Such a worker has to complete an answer before it is readmitted, which takes 1.5 s here.
TEST(FailingWorkers, AreAvoidedWhenTheyTruncateAnswers) {
    const outcome seen = play_alone(truncate_answer);
    EXPECT_TRUE(seen.avoided);
    EXPECT_LE(seen.lost, 25U);
    EXPECT_EQ(seen.once_after, 0U);
    EXPECT_LE(seen.until_readmitted, milliseconds(2500));
}

// Such a worker may answer enough probes in a row to be readmitted before the end of the fault.
TEST(FailingWorkers, AreAvoidedWhenTheyFailSomeRequests) {
    const outcome seen = play_alone(fail_some);
    EXPECT_TRUE(seen.avoided);
    EXPECT_LE(seen.lost, 25U);
    EXPECT_LE(seen.lost_in_all, 25U);
}

// Guards against a worker that passes its probes between two failures and loses requests each time.
TEST(FailingWorkers, LoseLittleWhenTheyFailByTurns) {
    EXPECT_LE(play_alone(fail_by_turns, seconds(20)).lost_in_all, 25U);
}

// Several failing workers attract a large part of the requests.
TEST(FailingWorkers, AreAvoidedWhenSeveralFail) {
    failing_fleet fleet;
    fleet.run_for(seconds(5));
    for (const size_t worker : {3, 13, 23, 33, 43, 53}) {
        fleet.faults[worker] = answer_500;
    }
    fleet.run_for(seconds(7));
    std::cout << "lost in all " << fleet.failed.size() << "\n";
    EXPECT_LE(fleet.failed.size(), 150U);
}

// Guards against evidence that reaches only some nodes.
TEST(FailingWorkers, AreAvoidedWhenDatagramsAreLost) {
    failing_fleet fleet;
    fleet.cluster.hub.lose_every = 3;
    fleet.run_for(seconds(5));
    const outcome seen = play(fleet, answer_500, seconds(7));
    EXPECT_TRUE(seen.avoided);
    EXPECT_LE(seen.lost, 25U);
    EXPECT_EQ(seen.once_after, 0U);
    EXPECT_LE(seen.until_readmitted, milliseconds(1500));
}

// A node without datagrams decides by its own evidence, and readmits the worker by itself.
TEST(FailingWorkers, AreAvoidedByANodeThatIsCutOff) {
    failing_fleet fleet;
    fleet.run_for(seconds(3));
    ClusterNode &cut = *fleet.cluster.nodes.at("n0");
    fleet.cluster.hub.cut.insert(cut.address);
    for (int sent = 0; sent < 700; ++sent) {
        call_after(fleet.cluster.loop, sent * milliseconds(20), [&fleet, sent] {
            fleet.send("n0", sent % 4 == 0 ? "/stream/x" : "/fixed/x",
                       "extra " + std::to_string(sent));
        });
    }
    fleet.run_for(seconds(2));
    std::map<size_t, size_t> by_node;
    for (const ScriptedCall &call : fleet.cluster.workers.calls) {
        by_node[std::stoul(call.worker.ip.substr(call.worker.ip.rfind('.') + 1))] +=
            call.sender.starts_with("n0#") ? 1 : 0;
    }
    const size_t busiest =
        std::max_element(by_node.begin(), by_node.end(), [](const auto &a, const auto &b) {
            return a.second < b.second;
        })->first;
    fleet.faults[busiest] = answer_500;
    fleet.run_for(seconds(6));
    std::cout << "failed at " << busiest << ": " << fleet.failed.size() << ", at n0 "
              << std::count_if(fleet.failed.begin(), fleet.failed.end(),
                               [](const auto &call) { return call.node == "n0"; })
              << " of " << by_node[busiest] << "\n";
    EXPECT_TRUE(fleet.ejects(cut, busiest));
    EXPECT_LE(fleet.failed.size(), 50U);
    fleet.faults.clear();
    fleet.run_for(seconds(2));
    EXPECT_FALSE(fleet.ejects(cut, busiest));
}

// A node that has just started must not learn by its own losses what its peers know.
TEST(FailingWorkers, AreAvoidedByANodeThatHasJustStarted) {
    failing_fleet fleet;
    fleet.run_for(seconds(5));
    fleet.cluster.kill_node("n5");
    fleet.faults[7] = answer_500;
    fleet.run_for(seconds(5));
    ASSERT_EQ(fleet.avoided_by(7), 59U);
    ClusterNode &started = fleet.cluster.start_node("n5");
    Duration passed{0};
    while (!fleet.ejects(started, 7) && passed < seconds(5)) {
        fleet.run_for(milliseconds(10));
        passed += milliseconds(10);
    }
    std::cout << "learned after " << passed / milliseconds(1) << " ms\n";
    EXPECT_LE(passed, seconds(2));
}

// Probes cost requests, so all nodes together send only a few per second.
TEST(FailingWorkers, AreProbedAFewTimesPerSecond) {
    failing_fleet fleet;
    fleet.run_for(seconds(5));
    fleet.faults[7] = answer_500;
    fleet.run_for(seconds(5));
    ASSERT_EQ(fleet.avoided_by(7), 60U);
    const size_t before = fleet.failed.size();
    fleet.run_for(seconds(4));
    const size_t probes = fleet.failed.size() - before;
    EXPECT_GE(probes, 4U);
    EXPECT_LE(probes, 20U);
    for (size_t index = before; index < fleet.failed.size(); ++index) {
        EXPECT_FALSE(fleet.failed[index].once);
    }
}

} // namespace
} // namespace chalkshed
