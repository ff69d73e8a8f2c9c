// A job whose caller leaves before its answer, from the connection down to the workers.
#include <gtest/gtest.h>

#include "platform/ingress.h"
#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed::platform {
namespace {

// Callers that get no answer in time leave and send their job to other nodes. When each of those
// refused it, the job ran all the same: the first node went on trying after its caller had left.
TEST(DesertedJobTest, IsNotStoredAfterItsCallerHasLeft) {
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
  ASSERT_EQ(caller->status, 0) << "the node still tries";
  if (caller->on_closed) {
    caller->on_closed();
  }
  cluster.shared.trouble = StoreTrouble();
  cluster.clock.run_for(seconds(5));
  EXPECT_TRUE(cluster.workers.calls.empty());
  StoreTransaction question;
  question.conditions.push_back({stored_job_key("j1"), 0});
  EXPECT_TRUE(cluster.shared.rows.commit(question).committed) << "it is not stored";
}

}  // namespace
}  // namespace chalkshed::platform
