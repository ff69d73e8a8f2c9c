/** \file
 * Innocent requests at workers that crash or whose connections fail must not be quarantined. */

#include <gtest/gtest.h>

#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

/** Starts a job whose items have distinct contents. */
void start_job(crashing_fleet &fleet, const std::string &id, size_t items) {
    fleet.cluster.node().jobs().submit(fleet.cluster.job(id, items),
                                       [](const Expected<std::monostate> &) {});
}

TEST(InnocentRequests, AnItemIsNotQuarantinedWhenItsNodeRepeatedlyLosesAllConnections) {
    crashing_fleet fleet;
    start_job(fleet, "j1", 8);
    for (int reset = 0; reset < 6; ++reset) {
        fleet.run_for(milliseconds(300));
        fleet.reset_connections("n0");
    }
    fleet.run_for(seconds(12));
    EXPECT_TRUE(fleet.quarantined_digests.empty());
}

TEST(InnocentRequests, AnItemThatLosesWorkersInSuccessionIsNotQuarantinedForLong) {
    crashing_fleet fleet;
    start_job(fleet, "j1", 1);
    for (int end = 0; end < 3; ++end) {
        fleet.run_for(milliseconds(200));
        for (const ScriptedCall &call : fleet.cluster.workers.calls) {
            if (call.open()) {
                fleet.stop_worker_at(call.worker);
                break;
            }
        }
    }
    fleet.run_for(seconds(17));
    const auto &evidence = fleet.cluster.node().quarantine().evidence();
    EXPECT_TRUE(evidence.all_quarantined().empty());
    EXPECT_FALSE(fleet.cluster.node().jobs().owns_open_jobs());
}

TEST(InnocentRequests, AStatusCallInProgressAtEveryCrashIsNotQuarantined) {
    crashing_fleet fleet;
    fleet.fatal = {"fatal"};
    for (int step = 0; step < 500; ++step) {
        fleet.send(fleet.next_node(), "/plain/status", "status");
        if (step % 20 == 0) {
            fleet.send(fleet.next_node(), "/fixed/1", "fatal");
        }
        fleet.run_for(milliseconds(20));
    }
    EXPECT_EQ(fleet.quarantined_digests.size(), 1U);
    EXPECT_TRUE(fleet.quarantined_digests.contains(fleet.digest_of("/fixed/1", "fatal")));
}

// A rack of five workers fails every four seconds, workers are replaced one after the other, and a
// fatal request arrives all the time; callers whose answer was interrupted retry once.
TEST(InnocentRequests, NoneIsQuarantinedDuringRackLossesAReleaseAndAFatalRequest) {
    crashing_fleet::knobs knobs;
    knobs.workers = 30;
    crashing_fleet fleet(knobs);
    fleet.fatal = {"fatal"};
    std::map<std::string, SeenAnswerPtr> first_tries;
    size_t tried_again = 0;
    for (int step = 0; step < 1000; ++step) {
        const std::string content = "other " + std::to_string(step);
        first_tries[content] = fleet.send(fleet.next_node(), "/fixed/1", content);
        if (step % 12 == 0) {
            fleet.send(fleet.next_node(), "/fixed/1", "fatal");
        }
        if (step % 200 == 100) {
            for (size_t number = 5; number < 10; ++number) {
                fleet.stop_worker(number);
            }
        }
        if (step % 50 == 0) {
            fleet.replace_worker(10 + static_cast<size_t>(step / 50) % 20);
        }
        fleet.run_for(milliseconds(20));
        for (auto &[broken, answer] : first_tries) {
            if (answer && (answer->aborted || answer->status >= 500)) {
                answer = nullptr;
                ++tried_again;
                fleet.send(fleet.next_node(), "/fixed/1", broken);
            }
        }
    }
    EXPECT_GE(tried_again, 20U);
    EXPECT_EQ(fleet.quarantined_digests,
              (std::set<uint64_t>{fleet.digest_of("/fixed/1", "fatal")}));
    constexpr size_t kMostLateRuns = 3;
    EXPECT_LE(fleet.late_runs("fatal"), kMostLateRuns);
}

TEST(InnocentRequests, EqualCallsThatLoseTheirWorkerAreAllRetried) {
    crashing_fleet fleet;
    constexpr size_t kCalls = 20;
    std::vector<SeenAnswerPtr> answers;
    answers.reserve(kCalls);
    while (answers.size() < kCalls) {
        answers.push_back(fleet.send("n0", "/plain/status", "status"));
    }
    fleet.run_for(milliseconds(100));
    fleet.stop_worker_at(fleet.cluster.workers.calls.front().worker);
    fleet.run_for(seconds(2));
    for (const SeenAnswerPtr &answer : answers) {
        EXPECT_EQ(answer->status, 200);
    }
    EXPECT_TRUE(fleet.quarantined_digests.empty());
}

TEST(InnocentRequests, ARequestWhoseWorkersShutDownAsPlannedIsNotQuarantined) {
    crashing_fleet fleet;
    for (size_t number = 0; number < 6; ++number) {
        fleet.send("n0", "/fixed/1", "long");
        fleet.cluster.clock.run_for(milliseconds(100));
        for (const ScriptedCall &call : fleet.cluster.workers.calls) {
            if (call.open()) {
                fleet.announce_leaving(call.worker);
                fleet.run_for(milliseconds(100));
                fleet.stop_worker_at(call.worker);
                break;
            }
        }
    }
    fleet.run_for(seconds(1));
    EXPECT_TRUE(fleet.quarantined_digests.empty());
}

} // namespace
} // namespace chalkshed
