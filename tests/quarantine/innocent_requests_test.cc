/** \file
 * Requests that were at workers which ended, or whose connections broke, and are not the cause.
 * None of them may be held. */

#include <gtest/gtest.h>

#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

/** Starts a job whose items all have contents of their own. */
void start_job(ending_fleet &fleet, const std::string &id, size_t items) {
    fleet.cluster.node().jobs().submit(fleet.cluster.job(id, items),
                                       [](const Expected<std::monostate> &) {});
}

TEST(InnocentRequests, AnItemWhoseNodeLosesAllConnectionsAgainAndAgainIsNotHeld) {
    ending_fleet fleet;
    start_job(fleet, "j1", 8);
    for (int reset = 0; reset < 6; ++reset) {
        fleet.run_for(milliseconds(300));
        fleet.reset_connections("n0");
    }
    fleet.run_for(seconds(12));
    EXPECT_TRUE(fleet.held.empty());
}

TEST(InnocentRequests, AnItemThatMeetsOneEndAfterTheOtherIsNotHeldForLong) {
    ending_fleet fleet;
    start_job(fleet, "j1", 1);
    for (int end = 0; end < 3; ++end) {
        fleet.run_for(milliseconds(200));
        for (const ScriptedCall &call : fleet.cluster.workers.calls) {
            if (call.open()) {
                fleet.end_worker_at(call.worker);
                break;
            }
        }
    }
    fleet.run_for(seconds(17));
    const auto &evidence = fleet.cluster.node().quarantine().evidence();
    EXPECT_TRUE(evidence.all_quarantined().empty());
    EXPECT_FALSE(fleet.cluster.node().jobs().owns_open_jobs());
}

TEST(InnocentRequests, AStatusCallThatIsNearEveryEndIsNotHeld) {
    ending_fleet fleet;
    fleet.fatal = {"fatal"};
    for (int step = 0; step < 500; ++step) {
        fleet.send(fleet.any_node(), "/plain/status", "status");
        if (step % 20 == 0) {
            fleet.send(fleet.any_node(), "/fixed/1", "fatal");
        }
        fleet.run_for(milliseconds(20));
    }
    EXPECT_EQ(fleet.held.size(), 1U);
    EXPECT_TRUE(fleet.held.contains(fleet.digest_of("/fixed/1", "fatal")));
}

// A rack of five workers is lost every four seconds, one worker after the other is replaced, and a
// fatal request comes all the while; callers whose answer broke off come again once.
TEST(InnocentRequests, NoneIsHeldAmongRacksLostAReleaseAndAFatalRequest) {
    ending_fleet::knobs knobs;
    knobs.workers = 30;
    ending_fleet fleet(knobs);
    fleet.fatal = {"fatal"};
    std::map<std::string, SeenAnswerPtr> first_tries;
    size_t tried_again = 0;
    for (int step = 0; step < 1000; ++step) {
        const std::string content = "other " + std::to_string(step);
        first_tries[content] = fleet.send(fleet.any_node(), "/fixed/1", content);
        if (step % 12 == 0) {
            fleet.send(fleet.any_node(), "/fixed/1", "fatal");
        }
        if (step % 200 == 100) {
            for (size_t number = 5; number < 10; ++number) {
                fleet.end_worker(number);
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
                fleet.send(fleet.any_node(), "/fixed/1", broken);
            }
        }
    }
    EXPECT_GE(tried_again, 20U);
    EXPECT_EQ(fleet.held, (std::set<uint64_t>{fleet.digest_of("/fixed/1", "fatal")}));
    constexpr size_t kMostLateRuns = 3;
    EXPECT_LE(fleet.late_runs("fatal"), kMostLateRuns);
}

TEST(InnocentRequests, EqualCallsThatLoseTheirWorkerAreAllSentAgain) {
    ending_fleet fleet;
    constexpr size_t kCalls = 20;
    std::vector<SeenAnswerPtr> answers;
    answers.reserve(kCalls);
    while (answers.size() < kCalls) {
        answers.push_back(fleet.send("n0", "/plain/status", "status"));
    }
    fleet.run_for(milliseconds(100));
    fleet.end_worker_at(fleet.cluster.workers.calls.front().worker);
    fleet.run_for(seconds(2));
    for (const SeenAnswerPtr &answer : answers) {
        EXPECT_EQ(answer->status, 200);
    }
    EXPECT_TRUE(fleet.held.empty());
}

TEST(InnocentRequests, ARequestWhoseWorkersLeaveAsPlannedIsNotHeld) {
    ending_fleet fleet;
    for (size_t number = 0; number < 6; ++number) {
        fleet.send("n0", "/fixed/1", "long");
        fleet.cluster.clock.run_for(milliseconds(100));
        for (const ScriptedCall &call : fleet.cluster.workers.calls) {
            if (call.open()) {
                fleet.announce_leaving(call.worker);
                fleet.run_for(milliseconds(100));
                fleet.end_worker_at(call.worker);
                break;
            }
        }
    }
    fleet.run_for(seconds(1));
    EXPECT_TRUE(fleet.held.empty());
}

} // namespace
} // namespace chalkshed
