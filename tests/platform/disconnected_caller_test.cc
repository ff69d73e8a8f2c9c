// A job whose caller disconnects before its answer, tested from the connection down to the workers.
#include <gtest/gtest.h>

#include "platform/ingress.h"
#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed::platform {
namespace {

// Callers that get no answer in time disconnect and submit their job to other nodes. Guards against
// running a job that all of those refuse because the first node kept trying to store it after its
// caller had disconnected.
TEST(DisconnectedCallerTest, AJobIsNotStoredAfterItsCallerHasDisconnected) {
  ServingCluster cluster(2);
  Ingress ingress(cluster.node("n0"), request_wire());
  cluster.shared.trouble.down = true;
  HttpRequest submission;
  submission.method = "POST";
  submission.path = "/batch/j";
  submission.headers = {{"Host", "a.example"}, {kRequestId, "j1"}};
  submission.body = cluster.job("j1", 3).content;
  auto caller = std::make_shared<SeenAnswer>();
  ingress.handle(std::move(submission), std::make_unique<FakeWriter>(caller));
  cluster.clock.run_for(milliseconds(100));
  ASSERT_EQ(caller->status, 0) << "the node is still retrying";
  if (caller->on_closed) {
    caller->on_closed();
  }
  cluster.shared.trouble = StoreTrouble();
  cluster.clock.run_for(seconds(5));
  EXPECT_TRUE(cluster.workers.calls.empty());
  StoreTransaction probe;
  probe.conditions.push_back({stored_job_key("j1"), 0});
  EXPECT_TRUE(cluster.shared.rows.commit(probe).committed) << "the job was stored";
}

}  // namespace
}  // namespace chalkshed::platform
