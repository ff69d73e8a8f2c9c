/** \file
 * The choice of a worker by its speed, at one node. */

#include <gtest/gtest.h>

#include <map>

#include "sim/virtual_time.h"
#include "src/serving/worker_set.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

WorkerRecord record(const std::string &incarnation, uint32_t slots = 8) {
    WorkerRecord worker;
    worker.incarnation = incarnation;
    worker.service = "engines";
    worker.address = {"10.0.0.1", 80};
    worker.zone = "zone-a";
    worker.slots = slots;
    return worker;
}

class WorkerChoice : public testing::Test {
protected:
    void learn(const std::string &incarnation, double speed, double slowdown = 1.0) {
        ServingWorker &worker = *workers.find(incarnation);
        const WorkerLoadReport load{1, 0, worker.record.slots, slowdown};
        workers.note_report(worker, load);
        const auto gap = std::chrono::duration_cast<Duration>(milliseconds(3) / speed);
        workers.note_pace(worker, {PaceKind::kEvents, gap, milliseconds(300), load});
    }
    void learn_all(int rounds = 60) {
        for (int round = 0; round < rounds; ++round) {
            learn("i-slow", 0.6);
            learn("i-usual", 1.0);
            learn("i-fast", 1.6);
        }
        clock.run_for(seconds(1)); // the reported loads have expired
    }
    WorkerSlotPtr take(bool even_if_full = false, uint32_t prompt_tokens = 0) {
        ServingRequest request;
        request.prompt_tokens = prompt_tokens;
        SlotRequest wanted;
        wanted.service = "engines";
        wanted.request = &request;
        wanted.even_if_full = even_if_full;
        return workers.acquire_slot(wanted);
    }
    double speed_of(const std::string &incarnation) {
        return workers.find(incarnation)->speed.speed();
    }

    VirtualClock clock;
    SeededRandomGenerator random{7};
    WorkerSet workers{clock, random, "zone-a"};
};

TEST_F(WorkerChoice, SpeedsAreLearnedRelativeToEachOther) {
    for (const char *name : {"i-slow", "i-usual", "i-fast"}) {
        workers.update(record(name));
    }
    learn_all();
    EXPECT_NEAR(speed_of("i-fast") / speed_of("i-usual"), 1.6, 0.15);
    EXPECT_NEAR(speed_of("i-slow") / speed_of("i-usual"), 0.6, 0.06);
    const auto spread = workers.speed_spread("engines");
    ASSERT_TRUE(spread);
    EXPECT_EQ(spread->lowest, speed_of("i-slow"));
    EXPECT_EQ(spread->median, speed_of("i-usual"));
    EXPECT_EQ(spread->highest, speed_of("i-fast"));
}

TEST_F(WorkerChoice, ASlowWorkerIsUsedWhenTheOthersAreFull) {
    for (const char *name : {"i-slow", "i-usual", "i-fast"}) {
        workers.update(record(name, 4));
    }
    learn_all();
    std::vector<WorkerSlotPtr> slots;
    std::map<std::string, int> chosen;
    for (int count = 0; count < 12; ++count) {
        slots.push_back(take());
        ASSERT_TRUE(slots.back());
        ++chosen[slots.back()->worker().record.incarnation];
    }
    EXPECT_EQ(chosen["i-slow"], 4);
    EXPECT_FALSE(take());
    // All are full: the queue of the fast worker is the shortest.
    EXPECT_EQ(take(true)->worker().record.incarnation, "i-fast");
}

// Each node has an order of its own, so the choices of many nodes are counted.
TEST_F(WorkerChoice, LongPromptsGoToSlowWorkersLessOften) {
    constexpr uint64_t kNodes = 300;
    constexpr uint32_t kLongPrompt = 6000;
    std::map<std::string, int> chosen;
    for (uint64_t node = 0; node < kNodes; ++node) {
        SeededRandomGenerator chance{node};
        WorkerSet view{clock, chance, "zone-a"};
        for (const auto &[name, log_speed] :
             std::map<std::string, double>{{"i-slow", -0.51}, {"i-usual", 0.0}, {"i-fast", 0.47}}) {
            view.update(record(name));
            worker_speed_entry told;
            told.worker = static_cast<uint32_t>(view.find(name)->hash);
            told.samples = {log_speed, 100};
            view.set_shared_speed(told);
        }
        ServingRequest request;
        request.prompt_tokens = kLongPrompt;
        SlotRequest wanted;
        wanted.service = "engines";
        wanted.request = &request;
        ++chosen[view.acquire_slot(wanted)->worker().record.incarnation];
    }
    EXPECT_LT(chosen["i-slow"], chosen["i-usual"]);
    EXPECT_LT(chosen["i-usual"], chosen["i-fast"]);
    EXPECT_GT(chosen["i-slow"], 0);
}

TEST_F(WorkerChoice, OneOnlineRequestMayWaitAtAWorkerThatIsNotSlow) {
    workers.update(record("i-slow", 2));
    workers.update(record("i-usual", 2));
    workers.update(record("i-fast", 2));
    learn_all();
    constexpr uint32_t kPrompt = 100;
    std::vector<WorkerSlotPtr> slots;
    std::map<std::string, int> chosen;
    for (WorkerSlotPtr slot = take(false, kPrompt); slot; slot = take(false, kPrompt)) {
        ++chosen[slot->worker().record.incarnation];
        slots.push_back(std::move(slot));
    }
    EXPECT_EQ(chosen["i-slow"], 2);
    EXPECT_EQ(chosen["i-usual"], 3);
    EXPECT_EQ(chosen["i-fast"], 3);
}

// Batch must never wait where online requests would wait behind it, and plain workers refuse what
// they have no slot for.
TEST_F(WorkerChoice, BatchAndRequestsWithoutTokensNeverWaitAtAWorker) {
    workers.update(record("i-slow", 2));
    workers.update(record("i-usual", 2));
    workers.update(record("i-fast", 2));
    learn_all();
    std::vector<WorkerSlotPtr> slots;
    for (int count = 0; count < 6; ++count) {
        slots.push_back(take());
        ASSERT_TRUE(slots.back());
    }
    EXPECT_FALSE(take());
    ServingRequest item;
    item.prompt_tokens = 100;
    SlotRequest batch;
    batch.service = "engines";
    batch.request = &item;
    batch.work = WorkClass::kBatch;
    EXPECT_FALSE(workers.acquire_slot(batch));
}

TEST_F(WorkerChoice, ARestartedWorkerIsLearnedAnew) {
    workers.update(record("i-slow"));
    workers.update(record("i-usual"));
    workers.update(record("i-fast"));
    learn_all();
    ASSERT_LT(speed_of("i-slow"), 0.8);
    WorkerRecord restarted = record("i-slow");
    restarted.started = WallTime(seconds(5));
    workers.update(restarted);
    EXPECT_EQ(speed_of("i-slow"), 1.0);
    EXPECT_FALSE(workers.find("i-slow")->speed.reports());
}

// Workers that report three figures: the sequence of choices is the same as without any report of
// durations, whatever the durations are.
TEST_F(WorkerChoice, WithoutTheFourthFigureNothingChanges) {
    const auto choices = [](bool with_durations) {
        VirtualClock time;
        SeededRandomGenerator chance{11};
        WorkerSet view(time, chance, "zone-a");
        for (int number = 0; number < 10; ++number) {
            view.update(record("i-" + std::to_string(number)));
        }
        std::vector<std::string> chosen;
        std::vector<WorkerSlotPtr> slots;
        for (int count = 0; count < 60; ++count) {
            ServingRequest request;
            request.prompt_tokens = 500 * static_cast<uint32_t>(count % 7);
            SlotRequest wanted;
            wanted.service = "engines";
            wanted.request = &request;
            slots.push_back(view.acquire_slot(wanted));
            ServingWorker &worker = slots.back()->worker();
            chosen.push_back(worker.record.incarnation);
            const WorkerLoadReport load{1, 0, 8};
            if (with_durations) {
                view.note_pace(worker,
                               {PaceKind::kEvents, milliseconds(1 + count % 9), seconds(1), load});
                EXPECT_EQ(worker.speed.speed(), 1.0);
            }
            time.run_for(milliseconds(7));
        }
        EXPECT_TRUE(view.take_speed_updates(100).empty());
        return chosen;
    };
    EXPECT_EQ(choices(true), choices(false));
}

TEST_F(WorkerChoice, OnlyWorkersWithNewSamplesAreTold) {
    for (const char *name : {"i-slow", "i-usual", "i-fast"}) {
        workers.update(record(name));
    }
    learn_all(2);
    EXPECT_EQ(workers.take_speed_updates(2).size(), 2U);
    EXPECT_EQ(workers.take_speed_updates(2).size(), 1U);
    EXPECT_TRUE(workers.take_speed_updates(2).empty());
    learn("i-fast", 1.6);
    ASSERT_EQ(workers.take_speed_updates(2).size(), 1U);
}

TEST_F(WorkerChoice, ASlowdownIsToldAtOnceAndSamplesOfPeersCount) {
    workers.update(record("i-0"));
    workers.note_report(*workers.find("i-0"), {1, 0, 8, 2.5});
    const std::vector<worker_speed_entry> news = workers.take_speed_updates(8);
    ASSERT_EQ(news.size(), 1U);
    EXPECT_EQ(news.front().slowdown, 2.5);
    EXPECT_EQ(news.front().samples.weight, 0);

    SeededRandomGenerator chance{3};
    WorkerSet peer(clock, chance, "zone-b");
    peer.update(record("i-0"));
    worker_speed_entry told = news.front();
    told.samples = {0.47, 30};
    peer.add_peer_speed(told);
    EXPECT_NEAR(peer.find("i-0")->speed.speed(), 1.58, 0.05);
    EXPECT_EQ(peer.find("i-0")->speed.slowdown(clock.monotonic_now(), {}), 2.5);
    EXPECT_TRUE(peer.take_speed_updates(8).empty()) << "samples of others must not be told as own";
}

} // namespace
} // namespace chalkshed
