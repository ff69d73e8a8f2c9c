/** \file
 * The decision which workers are ejected, without a network. */

#include "chalkshed/worker_failures.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kService = 5;
constexpr uint64_t kPeer = 99;

class WorkerFailures : public testing::Test {
protected:
    void answer(uint32_t worker, uint64_t content, answer_fault fault) {
        failures.note({worker, kService, content, fault, now - milliseconds(1)}, now);
    }
    void fail(uint32_t worker, uint64_t content) {
        answer(worker, content, answer_fault::kStatus);
    }
    void succeed(uint32_t worker, int times) {
        for (int time = 0; time < times; ++time) {
            answer(worker, ++content_, answer_fault::kNone);
        }
    }
    void pass(Duration time) {
        constexpr Duration kStep = milliseconds(50);
        for (Duration passed{0}; passed < time; passed += kStep) {
            now += kStep;
            failures.review(now);
        }
    }
    /** Requests at all workers but the first, so that this node itself is beyond doubt. */
    void serve_elsewhere() {
        for (uint32_t worker = 2; worker <= workers; ++worker) {
            succeed(worker, 3);
        }
    }
    void eject_first() {
        serve_elsewhere();
        for (uint64_t content = 1; content <= 3; ++content) {
            fail(1, content);
            pass(content < 3 ? milliseconds(200) : milliseconds(50));
        }
        ASSERT_TRUE(failures.ejected(1, now));
    }
    void probe(uint64_t content, answer_fault fault) {
        failures.note_probe(1, now);
        now += milliseconds(5);
        answer(1, content, fault);
    }
    failure_report report_of(worker_failures &sender, uint32_t worker) {
        failure_report report;
        report.sender = kPeer;
        sender.add_to(report, worker, now);
        return report;
    }

    size_t workers = 12;
    MonotonicTime now{seconds(1000)};
    bool gone = false; // the first worker
    worker_failures failures{{}, 1, [this](uint32_t worker) {
                                 return gone && worker == 1
                                            ? std::nullopt
                                            : std::optional(worker_place{kService, workers});
                             }};

private:
    uint64_t content_ = 1'000'000;
};

TEST_F(WorkerFailures, EjectAWorkerAtWhichThreeContentsFail) {
    serve_elsewhere();
    fail(1, 1);
    fail(1, 2);
    pass(milliseconds(400));
    EXPECT_FALSE(failures.ejected(1, now));
    fail(1, 3);
    pass(milliseconds(50));
    EXPECT_TRUE(failures.ejected(1, now));
    EXPECT_FALSE(failures.ejected(2, now));
    EXPECT_EQ(failures.ejected_count(kService), 1U);
}

// One content that is sent again and again proves nothing.
TEST_F(WorkerFailures, CountAContentOnce) {
    serve_elsewhere();
    for (int run = 0; run < 10; ++run) {
        fail(1, 1);
        pass(milliseconds(100));
    }
    EXPECT_FALSE(failures.ejected(1, now));
}

// Batch items that fail everywhere must not get the workers ejected that they meet.
TEST_F(WorkerFailures, LeaveOutContentsThatFailElsewhereToo) {
    serve_elsewhere();
    for (uint64_t content = 1; content <= 6; ++content) {
        fail(static_cast<uint32_t>(1 + content % 6), content);
        fail(7, content);
        pass(milliseconds(50));
    }
    pass(milliseconds(500));
    for (uint32_t worker = 1; worker <= 7; ++worker) {
        EXPECT_FALSE(failures.ejected(worker, now)) << worker;
    }
}

// Two failing workers must not excuse each other by the requests that are sent from one to the
// other.
TEST_F(WorkerFailures, CountContentsThatFailedAtAnotherFailingWorker) {
    serve_elsewhere();
    for (uint64_t content = 1; content <= 5; ++content) {
        fail(1, content);
        fail(2, content + 100);
        pass(milliseconds(100));
    }
    for (uint64_t content = 201; content <= 204; ++content) {
        fail(1, content);
        fail(2, content);
        pass(milliseconds(100));
    }
    EXPECT_TRUE(failures.ejected(1, now));
    EXPECT_TRUE(failures.ejected(2, now));
}

TEST_F(WorkerFailures, KeepAWorkerThatMostlySucceeds) {
    serve_elsewhere();
    for (uint64_t content = 1; content <= 5; ++content) {
        succeed(1, 4);
        fail(1, content);
        pass(milliseconds(300));
    }
    EXPECT_FALSE(failures.ejected(1, now));
}

// Guards against a judgement by the failures of all nodes and the successes of one.
TEST_F(WorkerFailures, CountTheSuccessesOfPeers) {
    serve_elsewhere();
    failure_report report;
    report.sender = kPeer;
    worker_standing standing;
    standing.worker = 1;
    standing.successes = 30;
    standing.succeeded = now + milliseconds(900);
    report.workers = {standing};
    failures.merge(report, now);
    for (uint64_t content = 1; content <= 4; ++content) {
        fail(1, content);
        pass(milliseconds(200));
    }
    EXPECT_FALSE(failures.ejected(1, now));
}

TEST_F(WorkerFailures, EjectByTheFailuresOfPeers) {
    serve_elsewhere();
    for (uint64_t sender = 2; sender <= 4; ++sender) {
        failure_report report;
        report.sender = sender;
        report.failures = {{sender, 1, now, answer_fault::kWrong}};
        failures.merge(report, now);
        pass(milliseconds(150));
    }
    EXPECT_TRUE(failures.ejected(1, now));
}

// A node that sees most workers fail is itself at fault.
TEST_F(WorkerFailures, IgnoreAPeerAtWhichMostWorkersFail) {
    serve_elsewhere();
    for (int round = 0; round < 4; ++round) {
        failure_report report;
        report.sender = kPeer;
        for (uint32_t worker = 1; worker <= 8; ++worker) {
            report.failures.push_back(
                {static_cast<uint64_t>(100 * round) + worker, worker, now, answer_fault::kReset});
        }
        report.services = {{kService, 2}};
        failures.merge(report, now);
        pass(milliseconds(150));
    }
    EXPECT_EQ(failures.ejected_count(kService), 0U);
}

TEST_F(WorkerFailures, EjectAThirdOfTheWorkersAtMost) {
    workers = 3;
    serve_elsewhere();
    for (uint64_t content = 1; content <= 6; ++content) {
        fail(1, content);
        fail(2, 100 + content);
        succeed(3, 5);
        pass(milliseconds(200));
    }
    EXPECT_EQ(failures.ejected_count(kService), 1U);
}

TEST_F(WorkerFailures, EjectNoneIfAllFailAlike) {
    for (uint64_t content = 1; content <= 6; ++content) {
        for (uint32_t worker = 1; worker <= workers; ++worker) {
            fail(worker, 1000 * worker + content);
        }
        pass(milliseconds(200));
    }
    EXPECT_EQ(failures.ejected_count(kService), 0U);
}

// The requests that a crash interrupts have one cause.
TEST_F(WorkerFailures, CountConnectionsLostTogetherOnce) {
    serve_elsewhere();
    for (uint64_t content = 1; content <= 8; ++content) {
        answer(1, content, answer_fault::kReset);
        now += milliseconds(3);
    }
    pass(seconds(1));
    EXPECT_FALSE(failures.ejected(1, now));
}

TEST_F(WorkerFailures, AddToTheCostOfAWorkerBeforeItsEjection) {
    EXPECT_EQ(failures.cost(1, now), 0);
    serve_elsewhere();
    fail(1, 1);
    const double one = failures.cost(1, now);
    fail(1, 2);
    EXPECT_GT(one, 0);
    EXPECT_GT(failures.cost(1, now), one);
    EXPECT_EQ(failures.cost(2, now), 0);
    pass(seconds(5));
    EXPECT_EQ(failures.cost(1, now), 0);
    EXPECT_FALSE(failures.any());
}

// Guards against overloading the rest of a service while many of its workers lose a few
// connections.
TEST_F(WorkerFailures, AddNoCostForLostConnections) {
    serve_elsewhere();
    answer(1, 1, answer_fault::kReset);
    answer(1, 2, answer_fault::kTruncated);
    answer(1, 3, answer_fault::kSilent);
    EXPECT_EQ(failures.cost(1, now), 0);
    EXPECT_FALSE(failures.pauses_batch(1, now));
}

// A job starts many items at once; they must not all fail before the peers' successes are known.
TEST_F(WorkerFailures, PauseBatchAfterTheSecondFailure) {
    serve_elsewhere();
    fail(1, 1);
    EXPECT_FALSE(failures.pauses_batch(1, now));
    fail(1, 2);
    EXPECT_TRUE(failures.pauses_batch(1, now));
    EXPECT_FALSE(failures.pauses_batch(2, now));
    pass(milliseconds(300));
    EXPECT_FALSE(failures.pauses_batch(1, now));
}

TEST_F(WorkerFailures, ReadmitAWorkerThatAnswersTwoProbes) {
    eject_first();
    EXPECT_FALSE(failures.may_probe(1, false, now));
    pass(milliseconds(200));
    EXPECT_TRUE(failures.may_probe(1, false, now));
    EXPECT_FALSE(failures.may_probe(1, true, now)) << "a failed run counts against a batch item";
    probe(50, answer_fault::kNone);
    EXPECT_TRUE(failures.ejected(1, now));
    pass(milliseconds(100));
    EXPECT_TRUE(failures.may_probe(1, false, now));
    probe(51, answer_fault::kNone);
    EXPECT_FALSE(failures.ejected(1, now));
    EXPECT_EQ(failures.cost(1, now), 0);
}

TEST_F(WorkerFailures, ProbeAgainLaterAfterAFailedProbe) {
    eject_first();
    pass(milliseconds(200));
    probe(50, answer_fault::kNone);
    pass(milliseconds(100));
    probe(51, answer_fault::kStatus);
    EXPECT_FALSE(failures.may_probe(1, false, now + milliseconds(100)));
    EXPECT_TRUE(failures.may_probe(1, false, now + milliseconds(350)));
    pass(milliseconds(350));
    probe(52, answer_fault::kNone);
    EXPECT_TRUE(failures.ejected(1, now)) << "the failed probe ended the series";
}

// An answer to a request that was sent before the ejection says nothing about the time since.
TEST_F(WorkerFailures, TakeOnlyRequestsSentSinceTheEjectionForProbes) {
    eject_first();
    for (uint64_t content = 60; content < 70; ++content) {
        failures.note({1, kService, content, answer_fault::kNone, now - seconds(2)}, now);
    }
    EXPECT_TRUE(failures.ejected(1, now));
}

// A worker that is up and down by turns must not cost requests at each turn.
TEST_F(WorkerFailures, EjectForLongerAfterEachRelapse) {
    eject_first();
    Duration last{0};
    for (int relapse = 0; relapse < 4; ++relapse) {
        const MonotonicTime ejected = now;
        while (failures.ejected(1, now) && now - ejected < seconds(30)) {
            pass(milliseconds(50));
            if (failures.may_probe(1, false, now)) {
                probe(static_cast<uint64_t>(now.time_since_epoch().count()), answer_fault::kNone);
            }
        }
        EXPECT_GT(now - ejected, last);
        last = now - ejected;
        serve_elsewhere();
        for (uint64_t content = 1; content <= 3; ++content) {
            now += milliseconds(1);
            fail(1, 10'000 * static_cast<uint64_t>(relapse + 1) + content);
            pass(milliseconds(200));
        }
        ASSERT_TRUE(failures.ejected(1, now));
    }
    EXPECT_LE(last, seconds(10));
}

TEST_F(WorkerFailures, TellANodeThatHasJustStarted) {
    eject_first();
    worker_failures started({}, 2, [this](uint32_t) { return worker_place{kService, workers}; });
    started.merge(report_of(failures, 1), now);
    EXPECT_TRUE(started.ejected(1, now));
    // A node that hears of the ejection late must not undo a readmission.
    const failure_report late = report_of(failures, 1);
    pass(milliseconds(300));
    probe(50, answer_fault::kNone);
    pass(milliseconds(100));
    probe(51, answer_fault::kNone);
    ASSERT_FALSE(failures.ejected(1, now));
    started.merge(report_of(failures, 1), now);
    EXPECT_FALSE(started.ejected(1, now));
    started.merge(late, now);
    EXPECT_FALSE(started.ejected(1, now));
}

// Restarted workers have another hash; the old one must not stay ejected for ever.
TEST_F(WorkerFailures, ForgetAWorkerThatIsGone) {
    eject_first();
    gone = true;
    pass(milliseconds(100));
    EXPECT_FALSE(failures.ejected(1, now));
    EXPECT_EQ(failures.ejected_count(kService), 0U);
}

} // namespace
} // namespace chalkshed
