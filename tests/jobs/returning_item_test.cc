#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// Guards against a second copy of an earlier refusal or failure that is taken for the answer to a
// later send of the item, which then runs unseen.
TEST(ReturningItemTest, GoesToTheSameWorkerOverAConnectionThatHasNotCarriedIt) {
  ServingCluster cluster(1, 1);
  cluster.workers.on_call = [&](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(5), [&call] {
      if (call.open()) {
        call.refuse();
      }
    });
  };
  cluster.clock.run_for(seconds(4));
  cluster.node().jobs().submit(cluster.job("j1", 1), [](const Expected<std::monostate>&) {});
  cluster.clock.run_for(seconds(5));
  ASSERT_GE(cluster.workers.calls.size(), 2U);
  for (const ScriptedCall& call : cluster.workers.calls) {
    EXPECT_EQ(call.request_name, "j1-0");
    EXPECT_EQ(call.worker, cluster.workers.calls.front().worker);
  }
}

}  // namespace
}  // namespace chalkshed
