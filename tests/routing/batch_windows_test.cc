// Batch windows: their holders, when they open, and that they shrink for online work.
#include "tests/routing/routing_fixture.h"

namespace chalkshed {
namespace {

constexpr uint32_t kPromptTokens = 100;

class BatchWindowsTest : public testing::Test {
 protected:
  void start(int workers, int nodes, RoutingKnobs knobs = {}) {
    world_.add_workers(workers);
    for (int index = 0; index < nodes; ++index) {
      nodes_.push_back(
          std::make_unique<RoutingNode>(world_, "n" + std::to_string(index), knobs, index + 1));
    }
    for (auto& node : nodes_) {
      node->router->start();
    }
    world_.clock.run_for(seconds(2));
  }
  RouterImpl& router(size_t node = 0) { return *nodes_[node]->router; }
  BatchSlotPtr acquire(size_t node = 0) { return router(node).try_acquire("lm", kPromptTokens); }
  EngineLoad load(uint32_t online, uint32_t batch) {
    EngineLoad result;
    result.incarnation = 1;
    result.running_online = online;
    result.running_batch = batch;
    result.step_number = ++step_;
    return result;
  }
  // Acquires slots, each up to its first token, until none is left.
  std::vector<BatchSlotPtr> fill(size_t node = 0) {
    std::vector<BatchSlotPtr> slots;
    while (BatchSlotPtr slot = acquire(node)) {
      slots.push_back(std::move(slot));
      slots.back()->report_first_token();
      slots.back()->report_load(load(0, static_cast<uint32_t>(slots.size())));
    }
    return slots;
  }

  World world_;
  std::vector<std::unique_ptr<RoutingNode>> nodes_;
  uint64_t step_ = 0;
};

TEST_F(BatchWindowsTest, EachWorkerHasExactlyOneHolder) {
  start(12, 3);
  for (const auto& [id, worker] : router(0).directory().all()) {
    int holders = 0;
    for (auto& node : nodes_) {
      holders += node->router->directory().find(id)->window.held ? 1 : 0;
    }
    EXPECT_EQ(holders, 1) << id;
  }
}

TEST_F(BatchWindowsTest, LosingANodeMovesOnlyItsWorkers) {
  start(12, 3);
  std::map<WorkerId, bool> held_before;
  for (const auto& [id, worker] : router(0).directory().all()) {
    held_before[id] = worker->window.held;
  }
  world_.membership.list.pop_back();
  world_.membership.changed();
  for (const auto& [id, worker] : router(0).directory().all()) {
    EXPECT_TRUE(worker->window.held || !held_before[id]) << id;
  }
}

TEST_F(BatchWindowsTest, AWorkerWithUnknownLoadIsProbedByOneSequenceThenOpensFully) {
  start(1, 1);
  BatchSlotPtr probe = acquire();
  ASSERT_NE(probe, nullptr);
  EXPECT_EQ(acquire(), nullptr);
  probe->report_first_token();
  probe->report_load(load(0, 1));
  EXPECT_GE(router().available("lm"), 8U);
  EXPECT_GE(fill().size(), 8U);
}

TEST_F(BatchWindowsTest, OwnOnlineArrivalShrinksTheWindowAtOnce) {
  start(1, 1);
  const auto slots = fill();
  const uint32_t before = router().directory().find("w100")->window.limits.sequences;
  const auto routed = nodes_[0]->route();
  ASSERT_TRUE(routed);
  EXPECT_LT(router().directory().find("w100")->window.limits.sequences, before);
  EXPECT_EQ(acquire(), nullptr);
}

TEST_F(BatchWindowsTest, OnlineWorkOfOtherNodesShrinksTheWindowWithTheNextChunk) {
  start(1, 1);
  const auto slots = fill();
  const uint32_t before = router().directory().find("w100")->window.limits.sequences;
  slots.front()->report_load(load(6, static_cast<uint32_t>(slots.size())));
  EXPECT_LE(router().directory().find("w100")->window.limits.sequences, before - 6);
  slots.front()->report_load(load(16, 0));
  EXPECT_EQ(router().directory().find("w100")->window.limits.sequences, 0U);
}

TEST_F(BatchWindowsTest, WithoutYieldingABurstLeavesTheWindowOpenToTheLastSlot) {
  RoutingKnobs knobs;
  knobs.safeguards.batch_yields = false;
  start(1, 1, knobs);
  BatchSlotPtr slot = acquire();
  ASSERT_NE(slot, nullptr);
  slot->report_load(load(10, 1));
  EXPECT_EQ(router().directory().find("w100")->window.limits.sequences, 6U);
}

TEST_F(BatchWindowsTest, RevokesTheLatestSequencesAboveTheLimit) {
  RoutingKnobs knobs;
  knobs.window.revoke = true;
  knobs.window.revoke_slack = 0;
  start(1, 1, knobs);
  auto slots = fill();
  size_t revoked = 0;
  for (size_t index = 0; index < slots.size(); ++index) {
    slots[index]->set_on_revoked([&slots, &revoked, index] {
      ++revoked;
      slots[index].reset();  // destroyed in its own callback
    });
  }
  const size_t held = slots.size();
  slots.front()->report_load(load(16, static_cast<uint32_t>(held)));
  world_.clock.run_for(milliseconds(1));
  EXPECT_EQ(revoked, held);
}

TEST_F(BatchWindowsTest, OnlineWorkOnOneWorkerLeavesTheOthersFull) {
  start(4, 1);
  const auto routed = nodes_[0]->route();
  ASSERT_TRUE(routed);
  size_t light = 0;
  for (const auto& [id, worker] : router().directory().all()) {
    light += worker->window.light ? 1 : 0;
  }
  EXPECT_EQ(light, 1U);
}

TEST_F(BatchWindowsTest, ABurstMakesMoreWorkersLightWithinItsFirstRequests) {
  start(4, 1);
  std::vector<RoutedRequestPtr> burst;
  for (int count = 0; count < 40; ++count) {
    auto routed = nodes_[0]->route();
    ASSERT_TRUE(routed);
    burst.push_back(std::move(*routed));
  }
  for (const auto& [id, worker] : router().directory().all()) {
    EXPECT_TRUE(worker->window.light) << id;
  }
}

TEST_F(BatchWindowsTest, LeavingWorkersGetNoBatchWork) {
  start(2, 1);
  router().drain("w100");
  const auto slots = fill();
  ASSERT_FALSE(slots.empty());
  for (const BatchSlotPtr& slot : slots) {
    EXPECT_EQ(slot->worker(), "w101");
  }
}

// A subscriber that tries to acquire slots on every notification must not cause an endless loop of
// notifications, neither while only the limit on prompt tokens stops it nor when it releases slots
// unused.
TEST_F(BatchWindowsTest, NotificationsDoNotTriggerThemselves) {
  start(2, 1);
  std::vector<BatchSlotPtr> slots;
  int notifications = 0;
  router().subscribe([&] {
    ++notifications;
    acquire().reset();
    while (BatchSlotPtr slot = router().try_acquire("lm", 5000)) {
      slots.push_back(std::move(slot));
    }
  });
  world_.clock.run_for(seconds(1));
  EXPECT_GE(notifications, 1);
  EXPECT_LE(notifications, 20);
}

}  // namespace
}  // namespace chalkshed
