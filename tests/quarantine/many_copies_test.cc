/** \file
 * Guards against the loss of many workers to concurrent copies of a fatal request: 28 workers
 * crashed within a second under three requests, 8 to 11 under each, although each request was
 * quarantined from then on.
 *
 * Copies of one request arrive at many nodes at once, each node sends its copy to a worker, and
 * each worker crashes 2 to 90 ms later. The node that lost the run retries it at the next worker
 * at once, while other nodes learn of the crash a tenth of a second later and send further copies
 * meanwhile. Each node decided by its own evidence: a lost run was reported only once it was
 * certain that no other run had been lost with it. Runs that one attempt had sent one after the
 * other, lost 9 to 50 ms apart, counted as a common loss, so that the retrying node counted none
 * ("workers_ended" was 0 or 1 in the logs of four attempts that went on to a third worker). With
 * early reports and turns, the same copies crash three to five workers.
 *
 * The bounds allow for the copies in progress before the first crash can be known, and for the
 * three crashes that quarantine a content. */

#include <gtest/gtest.h>

#include <algorithm>

#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

constexpr const char *kFatal = "ends its worker";

/** Copies of one fatal request among innocent ones, at random nodes; some workers crash for other
 * reasons. */
struct storm {
    uint64_t seed = 1;
    /** Interval between two copies. */
    Duration pause = milliseconds(33);
    /** Delay after which a second copy arrives at the same node; 0: no second copy. */
    Duration second_after{0};
    std::string path = "/stream/1";
    Duration soonest_end = milliseconds(2);
    Duration latest_end = milliseconds(90);
    Duration length = seconds(4);
};

struct storm_result {
    size_t ended = 0;
    std::set<uint64_t> quarantined_digests;
    /** Time from the loss of its worker to its retry, for each innocent request that was retried.
     */
    std::vector<Duration> delays;
    size_t innocent_unanswered = 0;
};

storm_result play(const storm &chosen, const ServingNodeKnobs &node = {}) {
    crashing_fleet::knobs knobs;
    knobs.nodes = 63;
    knobs.workers = 90;
    knobs.crash_after = chosen.soonest_end;
    knobs.crash_by = chosen.latest_end;
    knobs.seed = chosen.seed;
    knobs.node = node;
    crashing_fleet fleet(knobs);
    fleet.allow_attempts(3);
    fleet.fatal = {kFatal};
    storm_result result;
    std::vector<SeenAnswerPtr> innocent;
    constexpr Duration kStep = milliseconds(1);
    constexpr int kStepsBetweenInnocent = 4;
    Duration next_copy{0};
    Duration second_copy{0};
    std::string asked;
    constexpr int kStepsBetweenOtherEnds = 300;
    int step = 0;
    for (Duration passed{0}; passed < chosen.length; passed += kStep, ++step) {
        if (step % kStepsBetweenOtherEnds == 0) {
            fleet.stop_random_worker();
        }
        if (passed >= next_copy) {
            next_copy += chosen.pause;
            asked = fleet.random_node();
            fleet.send(asked, chosen.path, kFatal);
            second_copy = passed + chosen.second_after;
        }
        if (passed == second_copy && chosen.second_after > Duration(0)) {
            fleet.send(asked, chosen.path, kFatal);
        }
        if (step % kStepsBetweenInnocent == 0) {
            innocent.push_back(
                fleet.send(fleet.random_node(), "/stream/2", "other " + std::to_string(step)));
        }
        fleet.run_for(kStep, kStep);
    }
    fleet.run_for(seconds(2));
    result.ended = fleet.crashes[kFatal].size();
    result.quarantined_digests = fleet.quarantined_digests;
    result.delays = fleet.innocent_delays;
    for (const SeenAnswerPtr &answer : innocent) {
        result.innocent_unanswered += answer->status == 200 && !answer->aborted ? 0 : 1;
    }
    return result;
}

void expect_few_crashes(const storm &chosen, size_t most) {
    const storm_result result = play(chosen);
    SCOPED_TRACE(chosen.path + ", seed " + std::to_string(chosen.seed));
    EXPECT_GE(result.ended, 3U);
    EXPECT_LE(result.ended, most);
    EXPECT_EQ(result.quarantined_digests,
              std::set<uint64_t>{crashing_fleet::digest_of(chosen.path, kFatal)});
    constexpr Duration kLongestDelay = milliseconds(50);
    std::vector<Duration> delays = result.delays;
    std::sort(delays.begin(), delays.end());
    ASSERT_FALSE(delays.empty());
    EXPECT_EQ(delays[delays.size() / 2], Duration(0));
    EXPECT_LE(delays.back(), kLongestDelay);
    EXPECT_EQ(result.innocent_unanswered, 0U);
}

constexpr uint64_t kSeeds = 8;
const std::vector<std::string> kRoutes = {"/stream/1", "/fixed/1", "/plain/1"};

TEST(ManyCopies, ThirtyPerSecondCrashAtMostFiveWorkers) {
    for (const std::string &path : kRoutes) {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
            expect_few_crashes({.seed = seed, .pause = milliseconds(33), .path = path}, 5);
        }
    }
}

// Two copies at one node crash their workers within milliseconds of each other, which must not be
// taken for a failure of the node's network.
TEST(ManyCopies, FifteenPairsPerSecondCrashAtMostFiveWorkers) {
    for (const std::string &path : kRoutes) {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
            expect_few_crashes({.seed = seed,
                                .pause = milliseconds(66),
                                .second_after = milliseconds(20),
                                .path = path},
                               5);
        }
    }
}

TEST(ManyCopies, TenPerSecondCrashAtMostFourWorkers) {
    for (const std::string &path : kRoutes) {
        for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
            expect_few_crashes({.seed = seed, .pause = milliseconds(100), .path = path}, 4);
        }
    }
}

size_t most_ended(const ServingNodeKnobs &node) {
    size_t most = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        most = std::max(most, play({.seed = seed, .path = "/stream/1"}, node).ended);
    }
    return most;
}

TEST(ManyCopiesSafeguards, WithoutTurnsMoreWorkersCrash) {
    ServingNodeKnobs without;
    without.turns.keeper.turn_timeout = Duration(0);
    EXPECT_GT(most_ended(without), 5U);
}

TEST(ManyCopiesSafeguards, WithoutEarlyReportsMoreWorkersCrash) {
    ServingNodeKnobs without;
    without.quarantine.suspicion_delay = std::chrono::hours(1);
    EXPECT_GT(most_ended(without), 5U);
}

} // namespace
} // namespace chalkshed
