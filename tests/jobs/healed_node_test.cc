// Nodes that were cut off from all others and from the store, and are back.
#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class HealedNode : public testing::TestWithParam<int> {};

// Guards against: a node that was back took the others, which it had not heard, for dead.
TEST_P(HealedNode, LeavesTheJobsOfTheOthersToThem) {
  ServingCluster cluster(5, 4);
  cluster.answer_all(200, milliseconds(100));
  cluster.clock.run_for(seconds(3));
  for (const char* owner : {"n0", "n2", "n3", "n4"}) {
    cluster.node(owner).jobs().submit(cluster.job(std::string("j-") + owner, 2),
                                      [](const Expected<std::monostate>&) {});
  }
  cluster.clock.run_for(seconds(1));
  const Address cut = cluster.nodes.at("n1")->address;
  cluster.hub.cut.insert(cut);
  cluster.nodes.at("n1")->store.set_cut(true);
  cluster.clock.run_for(milliseconds(GetParam()));
  cluster.nodes.at("n1")->store.set_cut(false);
  for (int step = 0; step < 200; ++step) {
    // The store is reached again before the other nodes are.
    if (step == 20) {
      cluster.hub.cut.erase(cut);
    }
    cluster.clock.run_for(milliseconds(30));
    ASSERT_EQ(cluster.node("n1").jobs().owned_jobs(), 0U) << step;
  }
}

INSTANTIATE_TEST_SUITE_P(AfterMilliseconds, HealedNode,
                         testing::Values(2600, 3500, 4700, 6500, 9000));

}  // namespace
}  // namespace chalkshed
