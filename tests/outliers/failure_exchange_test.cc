/** \file
 * Reports of failing workers between nodes. */

#include "chalkshed/failure_exchange.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr MonotonicTime kNow{seconds(100)};

failure_report full_report() {
    failure_report report;
    report.sender = 77;
    for (uint32_t index = 0; index < kMaxFailureEntries; ++index) {
        report.failures.push_back(
            {1000 + index, index, kNow - milliseconds(index), answer_fault::kTruncated});
    }
    for (uint32_t index = 0; index < kMaxStandingEntries; ++index) {
        worker_standing standing;
        standing.worker = index;
        standing.state = worker_state::kEjected;
        standing.since = kNow - seconds(80);
        standing.level = 2;
        standing.passed = 1;
        standing.needed = 3;
        standing.result_at = kNow - milliseconds(20);
        standing.successes = 12;
        report.workers.push_back(standing);
    }
    for (uint64_t index = 0; index < kMaxServiceEntries; ++index) {
        report.services.push_back({index, 40});
    }
    return report;
}

TEST(FailureMessage, IsReadAsItWasMeant) {
    const auto read = decode_failure_report(encode_failure_report(full_report(), kNow), kNow);
    ASSERT_TRUE(read);
    EXPECT_EQ(read->sender, 77U);
    ASSERT_EQ(read->failures.size(), kMaxFailureEntries);
    EXPECT_EQ(read->failures[3].content, 1003U);
    EXPECT_EQ(read->failures[3].worker, 3U);
    EXPECT_EQ(read->failures[3].at, kNow - milliseconds(3));
    EXPECT_EQ(read->failures[3].fault, answer_fault::kTruncated);
    ASSERT_EQ(read->workers.size(), kMaxStandingEntries);
    EXPECT_EQ(read->workers[5].state, worker_state::kEjected);
    EXPECT_EQ(read->workers[5].since, kNow - seconds(80));
    EXPECT_EQ(read->workers[5].level, 2U);
    EXPECT_EQ(read->workers[5].passed, 1U);
    EXPECT_EQ(read->workers[5].needed, 3U);
    EXPECT_EQ(read->workers[5].result_at, kNow - milliseconds(20));
    EXPECT_EQ(read->workers[5].probed, MonotonicTime{}) << "never";
    EXPECT_EQ(read->workers[5].successes, 12U);
    ASSERT_EQ(read->services.size(), kMaxServiceEntries);
    EXPECT_EQ(read->services[2].successes, 40U);
}

TEST(FailureMessage, FitsIntoADatagram) {
    EXPECT_LE(encode_failure_report(full_report(), kNow).size(), 1200U);
}

TEST(FailureMessage, IsRejectedIfMalformed) {
    const std::string whole = encode_failure_report(full_report(), kNow);
    EXPECT_FALSE(decode_failure_report("", kNow));
    EXPECT_FALSE(decode_failure_report(whole.substr(0, whole.size() / 2), kNow));
    EXPECT_FALSE(decode_failure_report(std::string(200, 'x'), kNow));
}

class CountedDatagrams : public DatagramTransport {
public:
    void send(const Address &, std::string_view datagram) override {
        sent.emplace_back(datagram);
    }
    void set_receiver(Receiver) override {}
    std::vector<std::string> sent;
};

class FailureExchange : public testing::Test {
protected:
    FailureExchange() {
        workers.set_failures(&failures);
        exchange.set_peers(
            {{"n1", "n1#1", "zone-a", {"10.0.0.1", 7}}, {"n2", "n2#1", "zone-a", {"10.0.0.2", 7}}});
        for (int number = 0; number < 9; ++number) {
            WorkerRecord record;
            record.incarnation = "i-" + std::to_string(number);
            record.service = "engines";
            workers.update(record);
        }
        clock.run_for(seconds(1));
    }
    void answer(int number, uint64_t content, answer_fault fault) {
        workers.note_answer(*workers.find("i-" + std::to_string(number)), content, fault,
                            clock.monotonic_now());
    }

    VirtualClock clock;
    VirtualDispatcher loop{clock};
    SeededRandomGenerator random{1};
    NullLogger logger;
    NullMetricsRegistry metrics;
    CountedDatagrams datagrams;
    WorkerSet workers{clock, random, "zone-a"};
    worker_failures failures{{}, 1, [this](uint32_t worker) { return workers.place_of(worker); }};
    failure_exchange exchange{clock,    loop,   random,  datagrams, workers,
                              failures, logger, metrics, 1};
};

// Datagrams cost processor time, of which nodes have little.
TEST_F(FailureExchange, SendsNothingWhileNoWorkerFails) {
    for (uint64_t content = 0; content < 100; ++content) {
        answer(static_cast<int>(content % 9), content, answer_fault::kNone);
        clock.run_for(milliseconds(20));
    }
    EXPECT_EQ(datagrams.sent.size(), 0U);
}

TEST_F(FailureExchange, SendsAFailureToAllPeersWithinTwentyMilliseconds) {
    answer(1, 5, answer_fault::kWrong);
    answer(2, 6, answer_fault::kStatus);
    clock.run_for(milliseconds(20));
    ASSERT_EQ(datagrams.sent.size(), 2U) << "both failures in one datagram for each peer";
    const auto read = decode_failure_report(datagrams.sent[0], clock.monotonic_now());
    ASSERT_TRUE(read);
    EXPECT_EQ(read->failures.size(), 2U);
}

TEST_F(FailureExchange, StopsSendingAfterTheFailures) {
    for (uint64_t content = 0; content < 3; ++content) {
        answer(1, content, answer_fault::kNone);
        answer(2, 100 + content, answer_fault::kStatus);
        clock.run_for(milliseconds(100));
    }
    clock.run_for(milliseconds(500));
    EXPECT_TRUE(failures.any());
    EXPECT_GT(datagrams.sent.size(), 4U) << "counts are repeated";
    // The ejected worker leaves.
    workers.remove("i-2");
    clock.run_for(seconds(11));
    workers.remove("i-1"); // drops expired workers
    clock.run_for(seconds(6));
    const size_t sent = datagrams.sent.size();
    clock.run_for(seconds(10));
    EXPECT_EQ(datagrams.sent.size(), sent);
}

// Guards against a job whose items all fail at one worker within milliseconds.
TEST_F(FailureExchange, KeepsBatchItemsFromAWorkerThatFailsTwice) {
    answer(0, 1, answer_fault::kStatus);
    answer(0, 2, answer_fault::kStatus);
    const SlotRequest item{.service = "engines", .work = WorkClass::kBatch, .repeatable = true};
    std::vector<WorkerSlotPtr> held;
    while (WorkerSlotPtr slot = workers.acquire_slot(item)) {
        EXPECT_NE(slot->worker().record.incarnation, "i-0");
        held.push_back(std::move(slot));
    }
    EXPECT_GT(held.size(), 0U);
}

class EjectedWorker : public FailureExchange {
protected:
    EjectedWorker() {
        for (uint64_t content = 0; content < 3; ++content) {
            answer(0, content, answer_fault::kStatus);
            clock.run_for(milliseconds(200));
        }
        clock.run_for(milliseconds(300));
    }
    /** \return The worker of each slot that the requests get; they hold all slots. */
    std::vector<std::string> slots(const SlotRequest &request, int count) {
        std::vector<std::string> taken;
        for (int index = 0; index < count; ++index) {
            held_.push_back(workers.acquire_slot(request));
            taken.push_back(held_.back() ? held_.back()->worker().record.incarnation : "");
        }
        return taken;
    }

private:
    std::vector<WorkerSlotPtr> held_;
};

// A failed probe would lose a request that may run once.
TEST_F(EjectedWorker, GetsNoRequestThatMayRunOnce) {
    const std::vector<std::string> taken = slots({.service = "engines"}, 10);
    EXPECT_EQ(std::count(taken.begin(), taken.end(), "i-0"), 0);
    EXPECT_EQ(std::count(taken.begin(), taken.end(), ""), 2) << "eight workers have one slot each";
}

TEST_F(EjectedWorker, GetsOneRepeatableRequestAsAProbe) {
    const std::vector<std::string> taken = slots({.service = "engines", .repeatable = true}, 5);
    EXPECT_EQ(taken[0], "i-0");
    EXPECT_EQ(std::count(taken.begin(), taken.end(), "i-0"), 1);
}

// A request that may crash its worker would make a sound worker look as if it still failed.
TEST_F(EjectedWorker, IsNotProbedWithASuspectContent) {
    const std::vector<std::string> taken =
        slots({.service = "engines", .repeatable = true, .alone = true}, 5);
    EXPECT_EQ(std::count(taken.begin(), taken.end(), "i-0"), 0);
}

TEST_F(EjectedWorker, IsProbedByBatchItemsOnlyLater) {
    SlotRequest item{.service = "engines", .work = WorkClass::kBatch, .repeatable = true};
    EXPECT_NE(slots(item, 1)[0], "i-0");
    clock.run_for(milliseconds(600));
    EXPECT_EQ(slots(item, 1)[0], "i-0");
}

} // namespace
} // namespace chalkshed
