#include "src/serving/worker_set.h"

#include <gtest/gtest.h>

#include <map>
#include <set>

#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

WorkerRecord record(const std::string& incarnation, uint32_t slots = 2) {
  WorkerRecord worker;
  worker.incarnation = incarnation;
  worker.service = "engines";
  worker.address = {"10.0.0.1", 80};
  worker.slots = slots;
  return worker;
}

class WorkerSetTest : public testing::Test {
 protected:
  WorkerSlotPtr take(bool even_if_full = false, WorkClass work = WorkClass::kOnline) {
    SlotRequest request;
    request.service = "engines";
    request.work = work;
    request.even_if_full = even_if_full;
    return workers.acquire_slot(request);
  }

  VirtualClock clock;
  SeededRandomGenerator random{7};
  WorkerSet workers{clock, random, "zone-a"};
};

TEST_F(WorkerSetTest, RequestsGoToTheWorkerWithTheFewestInFlight) {
  constexpr int kMoreThanTheOrderOffset = 20;
  workers.update(record("i-1", 100));
  workers.update(record("i-2", 100));
  for (const char* busy : {"i-1", "i-2"}) {
    const uint64_t hash = workers.find(busy)->hash;
    workers.add_peer_load(hash, kMoreThanTheOrderOffset, 0);
    EXPECT_NE(take()->worker().record.incarnation, busy);
    workers.add_peer_load(hash, -kMoreThanTheOrderOffset, 0);
  }
}

// All nodes see the same worker with one request fewer, which has no room for a request of each.
TEST_F(WorkerSetTest, ManyNodesWithTheSameViewSpreadOverNearlyEqualWorkers) {
  constexpr uint64_t kNodes = 60;
  constexpr int kWorkers = 10;
  std::map<std::string, int> chosen;
  for (uint64_t node = 0; node < kNodes; ++node) {
    SeededRandomGenerator chance{node};
    WorkerSet view{clock, chance, "zone-a"};
    for (int number = 0; number < kWorkers; ++number) {
      const std::string incarnation = "i-" + std::to_string(number);
      view.update(record(incarnation, 8));
      view.add_peer_load(view.find(incarnation)->hash, number == 0 ? 3 : 4, 0);
    }
    SlotRequest request;
    request.service = "engines";
    ++chosen[view.acquire_slot(request)->worker().record.incarnation];
  }
  EXPECT_LT(chosen["i-0"], 30);
  EXPECT_GE(chosen.size(), 8U);
}

TEST_F(WorkerSetTest, NoMoreSlotsAreGivenThanTheWorkerHas) {
  workers.update(record("i-1"));
  const WorkerSlotPtr first = take();
  WorkerSlotPtr second = take();
  EXPECT_EQ(take(), nullptr);
  second.reset();
  EXPECT_NE(take(), nullptr);
}

TEST_F(WorkerSetTest, RequestsOfOtherNodesOccupySlots) {
  workers.update(record("i-1"));
  const uint64_t hash = workers.find("i-1")->hash;
  workers.add_peer_load(hash, 1, 1);
  EXPECT_EQ(take(), nullptr);
  workers.add_peer_load(hash, -1, 0);
  EXPECT_NE(take(), nullptr);
}

TEST_F(WorkerSetTest, ADrainingWorkerGetsNoRequests) {
  workers.update(record("i-1"));
  WorkerRecord leaving = record("i-1");
  leaving.leaving = true;
  workers.update(leaving);
  EXPECT_EQ(take(true), nullptr);
}

TEST_F(WorkerSetTest, AnUnlistedWorkerGetsNoRequestsWhileAnotherIsListedEvenIfFull) {
  workers.update(record("i-1", 1));
  workers.update(record("i-2", 8));
  workers.remove("i-2");
  const WorkerSlotPtr first = take();
  EXPECT_EQ(first->worker().record.incarnation, "i-1");
  EXPECT_EQ(take(), nullptr);
  EXPECT_EQ(take(true)->worker().record.incarnation, "i-1");
}

TEST_F(WorkerSetTest, WhenAllRecordsDisappearTheLastKnownWorkersServeForAWhile) {
  workers.update(record("i-1"));
  workers.remove("i-1");
  EXPECT_NE(take(), nullptr);
  clock.run_for(std::chrono::seconds(11));
  workers.update(record("i-2"));
  EXPECT_EQ(workers.find("i-1"), nullptr);
}

TEST_F(WorkerSetTest, BatchLeavesMoreFreeUntilTheNodeHasAHistoryOfBursts) {
  workers.update(record("i-1", 8));
  std::vector<WorkerSlotPtr> slots;
  for (WorkerSlotPtr slot = take(false, WorkClass::kBatch); slot;
       slot = take(false, WorkClass::kBatch)) {
    slots.push_back(std::move(slot));
  }
  EXPECT_EQ(slots.size(), 6U);
  clock.run_for(std::chrono::seconds(13));
  EXPECT_NE(take(false, WorkClass::kBatch), nullptr);
}

TEST_F(WorkerSetTest, BatchLeavesSlotsFree) {
  clock.run_for(std::chrono::seconds(13));
  workers.update(record("i-1", 4));
  std::vector<WorkerSlotPtr> slots;
  for (WorkerSlotPtr slot = take(false, WorkClass::kBatch); slot;
       slot = take(false, WorkClass::kBatch)) {
    slots.push_back(std::move(slot));
  }
  EXPECT_EQ(slots.size(), 3U);
  EXPECT_NE(take(), nullptr);
}

TEST_F(WorkerSetTest, BatchLeavesRoomForTheLastBurstUntilItIsForgotten) {
  clock.run_for(std::chrono::seconds(2));  // past the initial sync, whose growth is not counted
  workers.update(record("i-1", 8));
  constexpr int kBurst = 4;
  std::vector<WorkerSlotPtr> burst;
  burst.reserve(kBurst);
  for (int count = 0; count < kBurst; ++count) {
    burst.push_back(take());
  }
  burst.clear();
  clock.run_for(std::chrono::milliseconds(400));  // the burst no longer grows
  std::vector<WorkerSlotPtr> batch;
  for (int count = 0; count < 8; ++count) {
    if (WorkerSlotPtr slot = take(false, WorkClass::kBatch)) {
      batch.push_back(std::move(slot));
    }
  }
  EXPECT_EQ(batch.size(), 5U);
  clock.run_for(std::chrono::seconds(13));
  EXPECT_NE(take(false, WorkClass::kBatch), nullptr);
}

TEST_F(WorkerSetTest, BatchAlwaysGetsSomeSlotsHoweverLargeTheBurst) {
  workers.update(record("i-1", 8));
  constexpr int kBurst = 40;
  std::vector<WorkerSlotPtr> burst;
  burst.reserve(kBurst);
  for (int count = 0; count < kBurst; ++count) {
    burst.push_back(take(true));
  }
  burst.clear();
  EXPECT_NE(take(false, WorkClass::kBatch), nullptr);
}

TEST_F(WorkerSetTest, AFailedWorkerIsAvoidedButStillUsedAsALastResort) {
  workers.update(record("i-1", 8));
  workers.update(record("i-2", 8));
  workers.note_failure(*workers.find("i-1"), clock.monotonic_now());
  for (int count = 0; count < 4; ++count) {
    const WorkerSlotPtr slot = take();
    EXPECT_EQ(slot->worker().record.incarnation, "i-2");
  }
  workers.note_failure(*workers.find("i-2"), clock.monotonic_now());
  EXPECT_NE(take(), nullptr);
}

TEST_F(WorkerSetTest, ANonRepeatableRequestWaitsRatherThanGoToASuspectWorker) {
  workers.update(record("i-1", 1));
  workers.update(record("i-2", 8));
  workers.note_failure(*workers.find("i-2"), clock.monotonic_now());
  clock.run_for(std::chrono::seconds(1));  // its pause is over
  WorkerSlotPtr first = take();
  EXPECT_EQ(first->worker().record.incarnation, "i-1");
  EXPECT_EQ(take(), nullptr) << "it waits for the healthy worker";
  EXPECT_EQ(take(true)->worker().record.incarnation, "i-1");
  workers.note_success(*workers.find("i-2"));
  EXPECT_EQ(take()->worker().record.incarnation, "i-2");
}

TEST_F(WorkerSetTest, ARepeatableRequestMayGoToASuspectWorkerAfterItsPause) {
  workers.update(record("i-1", 8));
  workers.note_failure(*workers.find("i-1"), clock.monotonic_now());
  clock.run_for(std::chrono::seconds(1));
  SlotRequest request;
  request.service = "engines";
  request.work = WorkClass::kBatch;
  EXPECT_EQ(workers.acquire_slot(request), nullptr);
  request.repeatable = true;
  EXPECT_NE(workers.acquire_slot(request), nullptr);
}

TEST_F(WorkerSetTest, SuspectWorkersAreUsedWhenNoneIsHealthy) {
  workers.update(record("i-1", 8));
  workers.note_failure(*workers.find("i-1"), clock.monotonic_now());
  clock.run_for(std::chrono::seconds(1));
  EXPECT_NE(take(), nullptr);
}

class SharedPromptTest : public WorkerSetTest {
 protected:
  SharedPromptTest() {
    for (int number = 0; number < 8; ++number) {
      workers.update(record("i-" + std::to_string(number), 8));
    }
    request.prompt = {{"shared", 20000}, {"own", 100}};
    request.prompt_tokens = 20100;
    wanted.service = "engines";
    wanted.request = &request;
  }
  std::string next() {
    slots.push_back(workers.acquire_slot(wanted));
    return slots.back()->worker().record.incarnation;
  }

  ServingRequest request;
  SlotRequest wanted;
  std::vector<WorkerSlotPtr> slots;
};

TEST_F(SharedPromptTest, ReturnsToTheWorkerThatHasItCached) {
  const std::string first = next();
  for (int count = 0; count < 5; ++count) {
    clock.run_for(std::chrono::milliseconds(500));
    EXPECT_EQ(next(), first);
    slots.erase(slots.begin());
  }
}

// Requests for which the first worker has no room go to one other worker, which then caches the
// prompt too.
TEST_F(SharedPromptTest, OverflowsToTheSameSecondWorkerEachTime) {
  const std::string first = next();
  std::set<std::string> second;
  for (int count = 0; count < 5; ++count) {
    workers.add_prompt_tokens(workers.find(first)->hash, 60000);
    second.insert(next());
    clock.run_for(std::chrono::seconds(5));
    slots.clear();
  }
  EXPECT_EQ(second.size(), 1U);
  EXPECT_FALSE(second.contains(first));
}

TEST_F(SharedPromptTest, GoesElsewhereWhenPrefillThereIsSooner) {
  const std::string first = next();
  request.prompt[0].id = "another prompt that the worker must prefill";
  workers.add_prompt_tokens(workers.find(first)->hash, 60000);
  request.prompt[0].id = "shared";
  EXPECT_NE(next(), first);
}

TEST_F(SharedPromptTest, ShortPromptsAvoidAWorkerThatPrefillsALongOne) {
  const std::string busy = next();
  ServingRequest question;
  question.prompt_tokens = 500;
  wanted.request = &question;
  for (int count = 0; count < 7; ++count) {
    EXPECT_NE(next(), busy);
  }
}

// The incrementally maintained counts of a service equal the sums over its workers.
TEST_F(WorkerSetTest, CountsOfAServiceEqualTheSumsOverItsWorkers) {
  constexpr int kWorkers = 6;
  constexpr int kSteps = 3000;
  std::vector<WorkerSlotPtr> slots;
  std::map<std::string, std::shared_ptr<ServiceCounts>> counts;
  for (int step = 0; step < kSteps; ++step) {
    const std::string incarnation = "i-" + std::to_string(random.below(kWorkers));
    const WorkerPtr worker = workers.find(incarnation);
    switch (random.below(7)) {
      case 0: {
        WorkerRecord changed = record(incarnation, 8);
        changed.service = random.below(10) == 0 ? "others" : "engines";
        workers.update(changed);
        break;
      }
      case 1:
        workers.remove(incarnation);
        clock.run_for(std::chrono::seconds(random.below(3)));
        break;
      case 2:
      case 3:
        if (WorkerSlotPtr slot =
                take(true, random.below(2) == 0 ? WorkClass::kOnline : WorkClass::kBatch)) {
          slots.push_back(std::move(slot));
        }
        break;
      case 4:
        if (!slots.empty()) {
          slots.erase(slots.begin() + static_cast<ptrdiff_t>(random.below(slots.size())));
        }
        break;
      default:
        if (worker) {
          workers.add_peer_load(worker->hash, static_cast<int32_t>(random.below(7)) - 3,
                                static_cast<int32_t>(random.below(3)) - 1);
        }
    }
    std::map<std::string, ServiceCounts> sums;
    std::set<const ServingWorker*> seen;
    for (const auto& [name, known] : workers.workers()) {
      counts[known->record.service] = known->counts;
      sums[known->record.service].online += known->online_in_flight + known->online_of_others();
      sums[known->record.service].own_batch += known->batch_in_flight;
      seen.insert(known.get());
    }
    for (const WorkerSlotPtr& slot : slots) {  // at workers that were dropped
      const ServingWorker& forgotten = slot->worker();
      if (seen.insert(&forgotten).second) {
        sums[forgotten.record.service].online += forgotten.online_in_flight;
        sums[forgotten.record.service].own_batch += forgotten.batch_in_flight;
      }
    }
    for (const auto& [service, kept] : counts) {
      ASSERT_EQ(kept->online, sums[service].online) << service << " at step " << step;
      ASSERT_EQ(kept->own_batch, sums[service].own_batch) << service << " at step " << step;
    }
  }
}

TEST_F(WorkerSetTest, SlotsOfAFailingWorkerAreNotFree) {
  workers.update(record("i-1", 4));
  workers.update(record("i-2", 4));
  EXPECT_EQ(workers.free_slots("engines"), 8U);
  workers.note_failure(*workers.find("i-1"), clock.monotonic_now());
  EXPECT_EQ(workers.free_slots("engines"), 4U);
  clock.run_for(std::chrono::milliseconds(10));
  workers.note_success(*workers.find("i-1"));
  EXPECT_EQ(workers.free_slots("engines"), 8U);
}

TEST_F(WorkerSetTest, IfAllWorkersAreSuspectTheirSlotsCount) {
  workers.update(record("i-1", 4));
  workers.note_failure(*workers.find("i-1"), clock.monotonic_now());
  EXPECT_EQ(workers.free_slots("engines"), 4U);
}

TEST_F(WorkerSetTest, ARepeatableRequestWaitsForAHealthyWorkerRatherThanGoToAFailingOne) {
  workers.update(record("i-healthy", 1));
  workers.update(record("i-failing", 4));
  workers.note_failure(*workers.find("i-failing"), clock.monotonic_now());
  const WorkerSlotPtr taken = take();
  ASSERT_EQ(taken->worker().record.incarnation, "i-healthy");
  SlotRequest repeatable;
  repeatable.service = "engines";
  repeatable.repeatable = true;
  EXPECT_EQ(workers.acquire_slot(repeatable), nullptr);
  repeatable.even_if_full = true;
  EXPECT_EQ(workers.acquire_slot(repeatable)->worker().record.incarnation, "i-healthy");
}

TEST_F(WorkerSetTest, OnlyWorkersInUseOrWithUnreportedOutcomesAreActive) {
  constexpr int kWorkers = 1000;
  for (int number = 0; number < kWorkers; ++number) {
    workers.update(record("i-" + std::to_string(number)));
  }
  EXPECT_TRUE(workers.active_workers().empty());
  WorkerSlotPtr slot = take();
  ServingWorker& used = slot->worker();
  ASSERT_EQ(workers.active_workers().size(), 1U);
  EXPECT_EQ(workers.active_workers().begin()->second.get(), &used);
  workers.note_failure(used, clock.monotonic_now());
  slot.reset();
  EXPECT_EQ(workers.active_workers().size(), 1U) << "peers must be told of the failure";
  clock.run_for(std::chrono::minutes(1));
  EXPECT_TRUE(workers.active_workers().empty());
}

// A peer reports a failure that is older than a success of this node, which must be told to peers.
TEST_F(WorkerSetTest, ASuccessThatClearsAFailureReportedByAPeerIsTold) {
  workers.update(record("i-1"));
  const MonotonicTime failed = clock.monotonic_now();
  clock.run_for(std::chrono::milliseconds(10));
  WorkerSlotPtr slot = take();
  workers.note_success(slot->worker());
  const uint64_t hash = slot->worker().hash;
  slot.reset();
  EXPECT_TRUE(workers.active_workers().empty());
  outcome_times told;
  told.failed = failed;
  told.failures = 1;
  workers.add_peer_outcomes(hash, told);
  EXPECT_EQ(workers.active_workers().size(), 1U);
}

TEST_F(WorkerSetTest, AWorkerThatIsListedAgainIsNotDroppedForItsEarlierRemoval) {
  workers.update(record("i-1"));
  workers.remove("i-1");
  clock.run_for(std::chrono::seconds(6));
  workers.update(record("i-1"));
  clock.run_for(std::chrono::seconds(6));
  workers.update(record("i-2"));
  ASSERT_NE(workers.find("i-1"), nullptr);
  EXPECT_TRUE(workers.find("i-1")->listed);
  workers.remove("i-1");
  clock.run_for(std::chrono::seconds(11));
  workers.update(record("i-2"));
  EXPECT_EQ(workers.find("i-1"), nullptr);
}

}  // namespace
}  // namespace chalkshed
