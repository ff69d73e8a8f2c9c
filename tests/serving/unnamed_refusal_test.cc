#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class UnnamedRefusalTest : public testing::Test {
 protected:
  // Without the id of a request: it may belong to an earlier one of the connection.
  void refuse_unnamed(ScriptedCall& call, int status) {
    call.callbacks->on_headers(status, {{platform::kNotExecuted, "1"}});
    call.end();
  }

  ServingCluster cluster{1, 2};
};

// Guards against what may run once running at a second worker while the first one has it.
TEST_F(UnnamedRefusalTest, DoesNotMakeARequestRunTwice) {
  for (const int status : {400, 408, 421, 429, 503}) {
    const size_t before = cluster.workers.calls.size();
    const SeenAnswerPtr seen = cluster.request("/once/x", "r" + std::to_string(status));
    refuse_unnamed(cluster.workers.calls.back(), status);
    cluster.clock.run_for(milliseconds(50));
    EXPECT_EQ(cluster.workers.calls.size(), before + 1) << status;
    EXPECT_FALSE(promises_not_run(seen->status)) << status;
  }
}

}  // namespace
}  // namespace chalkshed
