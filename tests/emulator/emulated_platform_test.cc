#include "emulator/emulated_platform.h"

#include <gtest/gtest.h>

#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class EmulatedPlatformTest : public testing::Test {
 protected:
  static Transaction write(std::string key, std::string value) {
    Transaction transaction;
    transaction.writes.push_back(RowWrite{{"t", std::move(key)}, std::move(value)});
    return transaction;
  }
  void commit(EmulatedTableStore& store, Transaction transaction) {
    store.commit(std::move(transaction),
                 [this](Expected<CommitResult> result) { commits_.push_back(std::move(result)); });
  }

  VirtualClock clock_;
  VirtualDispatcher dispatcher_{clock_};
  VirtualDispatcher node_dispatcher_{clock_};
  SeededRandomGenerator random_{1};
  EmulatedPlatform platform_{clock_, dispatcher_, random_};
  std::vector<Expected<CommitResult>> commits_;
};

TEST_F(EmulatedPlatformTest, LostResponseKeepsTheChange) {
  EmulatedTableStore store(platform_, node_dispatcher_);
  platform_.table_service().faults.lost_answer_probability = 1;
  commit(store, write("a", "1"));
  clock_.run_for(milliseconds(100));
  EXPECT_TRUE(commits_.empty());
  EXPECT_EQ(platform_.table().read({"t", "a"})->value, "1");
  clock_.run_for(seconds(2));
  ASSERT_EQ(commits_.size(), 1U);
  EXPECT_EQ(commits_[0].error().kind, ErrorKind::kOutcomeUnknown);
}

TEST_F(EmulatedPlatformTest, OutageRefusesAndChangesNothing) {
  EmulatedTableStore store(platform_, node_dispatcher_);
  platform_.table_service().faults.outage = true;
  commit(store, write("a", "1"));
  clock_.run_for(milliseconds(100));
  ASSERT_EQ(commits_.size(), 1U);
  EXPECT_EQ(commits_[0].error().ran, Ran::kNo);
  EXPECT_EQ(platform_.table().size(), 0U);
}

TEST_F(EmulatedPlatformTest, RateLimitReturnsRetryAfter) {
  EmulatedTableStore store(platform_, node_dispatcher_);
  platform_.table_service().faults.operations_per_second = 10;
  platform_.table_service().faults.operation_burst = 1;
  commit(store, write("a", "1"));
  commit(store, write("b", "1"));
  clock_.run_for(milliseconds(50));
  ASSERT_EQ(commits_.size(), 2U);
  EXPECT_TRUE(commits_[0]);
  ASSERT_FALSE(commits_[1]);
  EXPECT_EQ(commits_[1].error().retry_after, milliseconds(100));
  clock_.run_for(milliseconds(100));
  commit(store, write("b", "1"));
  clock_.run_for(milliseconds(50));
  EXPECT_TRUE(commits_[2]);
}

TEST_F(EmulatedPlatformTest, PartitionAffectsOnlyItsNode) {
  EmulatedTableStore cut(platform_, node_dispatcher_);
  EmulatedTableStore other(platform_, node_dispatcher_);
  cut.set_reachable(false);
  commit(cut, write("a", "1"));
  commit(other, write("b", "1"));
  clock_.run_for(seconds(3));
  ASSERT_EQ(commits_.size(), 2U);
  EXPECT_TRUE(commits_[0]);
  EXPECT_EQ(commits_[1].error().ran, Ran::kNo);
  EXPECT_FALSE(platform_.table().read({"t", "a"}));
}

TEST_F(EmulatedPlatformTest, TimedOutCommitStillTakesEffectLater) {
  EmulatedTableStore store(platform_, node_dispatcher_);
  platform_.table_service().faults.slowness = 3000;  // 3 s one way
  commit(store, write("a", "1"));
  clock_.run_for(milliseconds(2500));
  ASSERT_EQ(commits_.size(), 1U);
  EXPECT_EQ(commits_[0].error().kind, ErrorKind::kOutcomeUnknown);
  EXPECT_FALSE(platform_.table().read({"t", "a"}));
  clock_.run_for(seconds(5));
  EXPECT_TRUE(platform_.table().read({"t", "a"}));
  EXPECT_EQ(commits_.size(), 1U);
}

TEST_F(EmulatedPlatformTest, RequestOfADestroyedClientStillTakesEffect) {
  auto store = std::make_unique<EmulatedTableStore>(platform_, node_dispatcher_);
  commit(*store, write("a", "1"));
  store.reset();
  clock_.run_for(seconds(3));
  EXPECT_TRUE(platform_.table().read({"t", "a"}));
  EXPECT_TRUE(commits_.empty());
}

TEST_F(EmulatedPlatformTest, ObjectsAreStoredAndRemoved) {
  EmulatedObjectStore store(platform_, node_dispatcher_);
  std::vector<std::string> seen;
  const auto note = [&](Expected<std::shared_ptr<const std::string>> object) {
    seen.push_back(object ? **object : std::string(error_kind_name(object.error().kind)));
  };
  store.put("a", std::make_shared<const std::string>("content"), [](auto) {});
  clock_.run_for(milliseconds(5));
  store.get("a", note);
  clock_.run_for(milliseconds(5));
  store.remove("a", [](auto) {});
  clock_.run_for(milliseconds(5));
  store.get("a", note);
  clock_.run_for(milliseconds(5));
  EXPECT_EQ(seen, (std::vector<std::string>{"content", "not_found"}));
}

TEST_F(EmulatedPlatformTest, MachineListLags) {
  EmulatedMachineList list(platform_, node_dispatcher_);
  platform_.set_machine_list_lag(seconds(5));
  clock_.run_for(seconds(10));
  Machine machine;
  machine.id = "w1";
  platform_.set_machines({machine});
  std::vector<size_t> sizes;
  const auto note = [&](Expected<MachineListSnapshot> snapshot) {
    sizes.push_back(snapshot->machines.size());
  };
  list.fetch(note);
  clock_.run_for(seconds(6));
  list.fetch(note);
  clock_.run_for(seconds(1));
  EXPECT_EQ(sizes, (std::vector<size_t>{0, 1}));
}

}  // namespace
}  // namespace chalkshed
