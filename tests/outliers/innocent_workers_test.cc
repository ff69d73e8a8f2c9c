/** \file
 * Workers that serve well keep getting requests, whatever fails around them. */

#include "tests/outliers/failing_fleet.h"

namespace chalkshed {
namespace {

Duration longest_ejection(const failing_fleet &fleet, size_t except = SIZE_MAX) {
    Duration longest{0};
    for (const auto &[worker, length] : fleet.longest_ejection) {
        longest = worker == except ? longest : std::max(longest, length);
    }
    return longest;
}

/** Submits contents that fail everywhere; each runs up to eight times within some seconds. */
void send_fatal_items(failing_fleet &fleet, int items, Duration interval) {
    for (int item = 0; item < items; ++item) {
        const std::string content = "fatal " + std::to_string(item);
        fleet.fatal.insert(content);
        constexpr int kSends = 4; // of two runs each
        for (int sent = 0; sent < kSends; ++sent) {
            call_after(
                fleet.cluster.loop, item * interval + sent * milliseconds(700),
                [&fleet, content] { fleet.send(fleet.random_node(), "/stream/x", content); });
        }
    }
}

class FatalItems : public testing::TestWithParam<uint64_t> {};

// A burst of batch items that always fail: several of them reach each worker within the window.
TEST_P(FatalItems, DoNotGetSoundWorkersEjected) {
    failing_fleet::knobs knobs;
    knobs.seed = GetParam();
    failing_fleet fleet(knobs);
    fleet.run_for(seconds(3));
    send_fatal_items(fleet, 60, milliseconds(250));
    fleet.run_for(seconds(20));
    EXPECT_GT(fleet.failed.size(), 250U);
    EXPECT_LE(longest_ejection(fleet), seconds(2));
    std::cout << "failed " << fleet.failed.size() << ", longest ejection "
              << longest_ejection(fleet) / milliseconds(1) << " ms, workers "
              << fleet.longest_ejection.size() << "\n";
}

INSTANTIATE_TEST_SUITE_P(Seeds, FatalItems, testing::Values(1, 2, 3));

// A burst of one second, as dense as the items of several jobs.
TEST(InnocentWorkers, OutlastManyFatalItemsAtOnce) {
    failing_fleet fleet;
    fleet.run_for(seconds(3));
    send_fatal_items(fleet, 40, milliseconds(25));
    fleet.run_for(seconds(8));
    std::cout << "failed " << fleet.failed.size() << ", longest ejection "
              << longest_ejection(fleet) / milliseconds(1) << " ms, workers "
              << fleet.longest_ejection.size() << "\n";
    EXPECT_LE(longest_ejection(fleet), seconds(2));
}

// With a broken release, avoiding some workers would only overload the others.
TEST(InnocentWorkers, AreNotEjectedWhenAllFailAlike) {
    failing_fleet fleet;
    fleet.run_for(seconds(3));
    for (size_t worker = 0; worker < 60; ++worker) {
        fleet.faults[worker] = answer_500;
    }
    fleet.run_for(seconds(4));
    size_t avoided = 0;
    for (size_t worker = 0; worker < 60; ++worker) {
        avoided += fleet.avoided_by(worker) > 0 ? 1 : 0;
    }
    EXPECT_EQ(avoided, 0U);
    EXPECT_LE(longest_ejection(fleet), seconds(2));
    std::cout << "longest ejection " << longest_ejection(fleet) / milliseconds(1) << " ms, workers "
              << fleet.longest_ejection.size() << "\n";
}

TEST(InnocentWorkers, AreNotEjectedWhenAllFailHalfOfTheirRequests) {
    failing_fleet fleet;
    fleet.run_for(seconds(3));
    for (size_t worker = 0; worker < 60; ++worker) {
        fleet.faults[worker] = fail_some;
    }
    fleet.run_for(seconds(6));
    std::cout << "longest ejection " << longest_ejection(fleet) / milliseconds(1) << " ms, workers "
              << fleet.longest_ejection.size() << "\n";
    EXPECT_LE(longest_ejection(fleet), seconds(2));
}

// The node is at fault, not the workers that it cannot reach.
TEST(InnocentWorkers, AreNotEjectedByANodeThatLosesAllConnections) {
    failing_fleet fleet;
    fleet.run_for(seconds(3));
    for (size_t worker = 0; worker < 60; ++worker) {
        fleet.faults[worker] = [](failing_fleet &own, ScriptedCall &call, size_t number) {
            return call.sender.starts_with("n0#") && answer_wrong(own, call, number);
        };
    }
    for (int sent = 0; sent < 200; ++sent) {
        call_after(fleet.cluster.loop, sent * milliseconds(25), [&fleet, sent] {
            fleet.send("n0", "/fixed/x", "extra " + std::to_string(sent));
        });
    }
    fleet.run_for(seconds(6));
    EXPECT_GT(fleet.failed.size(), 50U);
    EXPECT_EQ(fleet.longest_ejection.size(), 0U);
}

// A crash interrupts all requests of the worker at once and must not cost more than the pause after
// lost connections.
TEST(InnocentWorkers, AreNotEjectedForOneCrash) {
    failing_fleet fleet;
    fleet.run_for(seconds(5));
    size_t interrupted = 0;
    for (ScriptedCall &call : fleet.cluster.workers.calls) {
        if (call.open() && call.worker.ip == "10.1.0.7") {
            call.fail(Ran::kUnknown);
            ++interrupted;
        }
    }
    EXPECT_GE(interrupted, 3U);
    fleet.run_for(seconds(5));
    EXPECT_EQ(fleet.longest_ejection.size(), 0U);
}

} // namespace
} // namespace chalkshed
