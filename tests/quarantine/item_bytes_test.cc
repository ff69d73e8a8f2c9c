/** \file
 * Guards against items of jobs that run, or are returned or listed, with other bytes than the
 * submitted ones. Items that crash their workers take all the paths on which a copy of an item is
 * made: they are retried, resumed, wait for their probe, are loaded from the store by the next
 * owner of their job, and run again once a new version of the workers survives them. */

#include <gtest/gtest.h>

#include "tests/jobs/cluster_faults.h"
#include "tests/quarantine/submitted_items.h"

namespace chalkshed {
namespace {

constexpr size_t kItems = 10;
constexpr size_t kCrashing = 4;

class ItemBytesTest : public testing::Test {
protected:
    /** \param seed Of the crash times. */
    void begin(uint64_t seed = 1) {
        crashing_fleet::knobs knobs;
        knobs.seed = seed;
        knobs.crash_after = milliseconds(5);
        knobs.crash_by = milliseconds(90);
        knobs.events_before_crash = 1;
        fleet = std::make_unique<crashing_fleet>(knobs);
        fleet->cluster.write_configuration(2, [](nlohmann::json &configuration) {
            for (nlohmann::json &route : configuration["routes"]) {
                if (route["kind"] == "batch") {
                    route["retention_s"] = 1200;
                    route["run_target_ms"] = 200'000;
                }
            }
        });
        fleet->cluster.clock.run_for(milliseconds(500));
        job = std::make_unique<submitted_items>(*fleet, "job1", kItems, kCrashing);
        ASSERT_EQ(job->submit("n0"), 202);
    }
    /** Reads at all nodes once a second. */
    void run_for(Duration length) {
        const MonotonicTime end = fleet->cluster.clock.monotonic_now() + length;
        while (fleet->cluster.clock.monotonic_now() < end) {
            job->read_everywhere();
            fleet->cluster.clock.run_for(seconds(1));
        }
    }
    /** The crashing items begin to succeed, and the job is read until it is listed: after the next
     * probe of each, or once the evidence against it has expired. */
    void recover() {
        fleet->fatal.clear();
        constexpr int kMostRounds = 70;
        for (int round = 0; round < kMostRounds && job->listed().size() < kItems; ++round) {
            fleet->cluster.clock.run_for(seconds(10));
            job->read_everywhere();
        }
        EXPECT_EQ(job->listed().size(), kItems);
        EXPECT_EQ(job->listed_errored(), 0U);
        job->compare_runs();
    }
    size_t crashes() const {
        size_t sum = 0;
        for (const auto &[content, times] : fleet->crashes) {
            sum += times.size();
        }
        return sum;
    }

    std::unique_ptr<crashing_fleet> fleet;
    std::unique_ptr<submitted_items> job;
};

TEST_F(ItemBytesTest, RetriedAndResumedRunsCarryTheSubmittedBytes) {
    begin();
    run_for(seconds(10));
    EXPECT_GE(crashes(), 3 * kCrashing);
    recover();
    const submitted_items::tally seen = job->totals();
    EXPECT_EQ(seen.first_runs, kItems);
    EXPECT_GE(seen.retried_runs, 3 * kCrashing);
    EXPECT_GE(seen.resumed_runs, kCrashing);
    EXPECT_GE(seen.bodies_read, 100U);
    EXPECT_GE(seen.results_read, 3 * kItems);
}

TEST_F(ItemBytesTest, AProbeCarriesTheSubmittedBytes) {
    begin();
    run_for(seconds(10));
    job->compare_runs();
    const size_t before = job->totals().retried_runs;
    const size_t crashed = crashes();
    run_for(seconds(18));
    EXPECT_GT(crashes(), crashed); // the first probes
    recover();
    EXPECT_GT(job->totals().retried_runs, before);
}

TEST_F(ItemBytesTest, RunsByTheNextOwnerCarryTheSubmittedBytes) {
    begin();
    run_for(seconds(1));
    fleet->cluster.kill_node("n0");
    run_for(seconds(25));
    recover();
    EXPECT_GE(job->totals().senders.size(), 2U);
}

TEST_F(ItemBytesTest, RunsAfterAPlannedStopOfTheOwnerCarryTheSubmittedBytes) {
    begin();
    run_for(seconds(3));
    fleet->cluster.node("n0").begin_drain([this] {
        call_after(fleet->cluster.loop, milliseconds(1),
                   [this] { fleet->cluster.kill_node("n0"); });
    });
    run_for(seconds(25));
    recover();
    EXPECT_GE(job->totals().senders.size(), 2U);
}

TEST_F(ItemBytesTest, RunsAfterARestartOfAllNodesCarryTheSubmittedBytes) {
    begin();
    run_for(seconds(3));
    for (size_t number = 0; number < kNodes; ++number) {
        fleet->cluster.kill_node("n" + std::to_string(number));
    }
    for (size_t number = 0; number < kNodes; ++number) {
        fleet->cluster.start_node("n" + std::to_string(number));
    }
    run_for(seconds(25));
    recover();
    EXPECT_GE(job->totals().senders.size(), 2U);
}

// Nodes are killed, stopped, frozen and cut off, and the store loses answers, while the items crash
// their workers.
TEST_F(ItemBytesTest, RunsDuringRandomFaultsCarryTheSubmittedBytes) {
    constexpr uint64_t kSeeds = 6;
    size_t owners = 0;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        SCOPED_TRACE("seed " + std::to_string(seed));
        begin(seed);
        SeededRandomGenerator random(seed);
        ClusterFaults faults(fleet->cluster, milliseconds(300));
        for (int step = 0; step < 20; ++step) {
            faults.take({static_cast<Event>(random.below(static_cast<uint64_t>(Event::kLast))),
                         random.below(kNodes), Duration(0)});
            run_for(milliseconds(1 + static_cast<int64_t>(random.below(2000))));
        }
        faults.heal();
        run_for(seconds(25));
        recover();
        owners += job->totals().senders.size();
    }
    EXPECT_GE(owners, 2 * kSeeds);
}

} // namespace
} // namespace chalkshed
