// Nodes that start together must not put several times more batch runs on the workers than there
// are free slots.
#include "chalkshed/batch_ramp.h"

#include <gtest/gtest.h>

#include <vector>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr Duration kLag = milliseconds(100);
constexpr Duration kStep = milliseconds(10);

struct RampNode {
  batch_ramp ramp;
  int started = 0;
};

// Nodes that see the runs of all others `kLag` late. @return the runs that they start in total.
int runs_started(size_t nodes, double room, Duration duration) {
  const MonotonicTime begin{seconds(1)};
  SeededRandomGenerator random(5);
  std::vector<RampNode> fleet(nodes, RampNode{batch_ramp(begin)});
  for (RampNode& node : fleet) {
    node.ramp.set_sharers(nodes, kLag, random.unit());
  }
  std::vector<int> history;  // total after each step
  int total = 0;
  for (MonotonicTime now = begin; now < begin + duration; now += kStep) {
    const size_t lag = kLag / kStep;
    const int seen = history.size() > lag ? history[history.size() - lag] : 0;
    for (RampNode& node : fleet) {
      while (room - seen >= 1 && node.ramp.may_start(room - seen, now)) {
        node.ramp.note_started();
        ++total;
      }
    }
    history.push_back(total);
  }
  return total;
}

// With four runs per node and burst, 100 nodes started 400 runs before they saw each other's.
TEST(BatchRampTest, ManyNodesTakeTheRoomTogetherWithoutExceedingItMuch) {
  for (const size_t nodes : {2U, 30U, 100U, 300U}) {
    const int started = runs_started(nodes, 200, seconds(3));
    EXPECT_GE(started, 150) << nodes;
    EXPECT_LE(started, 260) << nodes;
  }
}

TEST(BatchRampTest, ASingleOwnerIsNotLimited) {
  batch_ramp ramp(MonotonicTime{seconds(1)});
  for (int run = 0; run < 100; ++run) {
    EXPECT_TRUE(ramp.may_start(1, MonotonicTime{seconds(1)}));
    ramp.note_started();
  }
}

TEST(BatchRampTest, TheLimitEndsSomeSecondsAfterTheStart) {
  batch_ramp ramp(MonotonicTime{seconds(1)});
  ramp.set_sharers(300, kLag, 0.0);
  EXPECT_FALSE(ramp.may_start(100, MonotonicTime{seconds(1)}));
  EXPECT_TRUE(ramp.may_start(100, MonotonicTime{seconds(8)}));
}

// Items must not wait for peers that never return.
TEST(BatchRampTest, ItemsStartAlthoughPeersStaySilent) {
  ServingCluster cluster(4, 2);
  cluster.answer_all(3, milliseconds(20));
  for (const char* name : {"n0", "n1", "n2", "n3"}) {
    cluster.kill_node(name);
  }
  cluster.start_node("n0");
  cluster.clock.run_for(milliseconds(300));
  bool accepted = false;
  cluster.node().jobs().submit(cluster.job("j1", 3), [&](const Expected<std::monostate>& result) {
    accepted = result.has_value();
  });
  cluster.clock.run_for(milliseconds(500));
  EXPECT_TRUE(accepted);
  EXPECT_TRUE(cluster.workers.calls.empty());
  cluster.clock.run_for(milliseconds(1200));
  EXPECT_FALSE(cluster.workers.calls.empty());
}

TEST(BatchRampTest, ALoneNodeStartsItemsAtOnce) {
  ServingCluster cluster(1, 2);
  cluster.answer_all(3, milliseconds(20));
  cluster.node().jobs().submit(cluster.job("j1", 3), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(milliseconds(60));
  EXPECT_FALSE(cluster.workers.calls.empty());
}

}  // namespace
}  // namespace chalkshed
