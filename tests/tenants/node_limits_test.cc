// Rate limits of tenants as seen by callers of complete nodes.
#include <gtest/gtest.h>

#include <algorithm>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class NodeLimitsTest : public testing::Test {
 protected:
  explicit NodeLimitsTest(size_t nodes = 1) : cluster(nodes, 1) {
    cluster.write_configuration(2, [](nlohmann::json& configuration) {
      configuration["tenants"] = {
          {{"name", "ann"}, {"api_keys", {"k1"}}, {"rate_per_s", 5}, {"burst", 5}},
          {{"name", "ben"}, {"api_keys", {"k2"}}}};
    });
    cluster.clock.run_for(seconds(3));
  }
  SeenAnswerPtr ask(const std::string& tenant, const std::string& node = "n0") {
    HttpRequest message;
    message.method = "POST";
    message.path = "/fixed/x";
    message.headers = {{platform::kRequestId, "r" + std::to_string(++asked_)},
                       {platform::kDeadline, "8000"}};
    ServingRequest request = platform::read_request("a.example", std::move(message));
    request.tenant = tenant;
    const RouteTablePtr table = cluster.node(node).routes();
    auto answer = std::make_shared<SeenAnswer>();
    cluster.node(node).gateway().handle(table, *table->find("a.example", "/fixed/x"),
                                        std::move(request), std::make_unique<FakeWriter>(answer));
    return answer;
  }

  ServingCluster cluster;

 private:
  int asked_ = 0;
};

TEST_F(NodeLimitsTest, BeyondTheLimitTheAnswerIs429AtOnceWithRetryAfter) {
  for (int count = 0; count < 5; ++count) {
    EXPECT_EQ(ask("ann")->status, 0) << "sent or waiting";
  }
  const SeenAnswerPtr refused = ask("ann");
  EXPECT_EQ(refused->status, 429);
  EXPECT_FALSE(refused->header("Retry-After").empty());
  EXPECT_EQ(ask("ben")->status, 0) << "another tenant has no limit";
  cluster.clock.run_for(milliseconds(500));
  EXPECT_EQ(ask("ann")->status, 0) << "the bucket refills at five per second";
}

TEST_F(NodeLimitsTest, ARequestClosedBeforeItIsSentIsNotCharged) {
  std::vector<SeenAnswerPtr> answers(5);
  std::generate(answers.begin(), answers.end(), [this] { return ask("ann"); });
  ASSERT_EQ(cluster.workers.calls.size(), 4U) << "the fifth waits for a slot";
  answers.back()->on_closed();
  EXPECT_EQ(ask("ann")->status, 0) << "uses the refunded request";
  cluster.workers.calls.front().begin();
  cluster.workers.calls.front().end();
  cluster.clock.run_for(milliseconds(10));
  EXPECT_EQ(cluster.workers.calls.back().header(platform::kRequestId), "r6");
}

TEST_F(NodeLimitsTest, AStartedRequestIsChargedEvenIfItsCallerDisconnects) {
  std::vector<SeenAnswerPtr> answers(5);
  std::generate(answers.begin(), answers.end(), [this] { return ask("ann"); });
  answers.front()->on_closed();
  EXPECT_EQ(ask("ann")->status, 429);
}

TEST_F(NodeLimitsTest, ARequestThatAllWorkersRefuseIsNotCharged) {
  cluster.workers.on_call = [this](ScriptedCall& call) {
    call_after(cluster.loop, milliseconds(1), [&call] { call.refuse(); });
  };
  for (int count = 0; count < 20; ++count) {
    const SeenAnswerPtr answer = ask("ann");
    cluster.clock.run_for(milliseconds(100));
    EXPECT_EQ(answer->status, 503) << count;
  }
}

class ClusterLimitsTest : public NodeLimitsTest {
 protected:
  ClusterLimitsTest() : NodeLimitsTest(4) {}
};

TEST_F(ClusterLimitsTest, AllNodesTogetherEnforceTheLimit) {
  int admitted = 0;
  for (int step = 0; step < 100; ++step) {
    admitted += ask("ann", "n" + std::to_string(step % 4))->status == 429 ? 0 : 1;
    cluster.clock.run_for(milliseconds(20));
  }
  // Two seconds at five per second, plus a burst of five.
  EXPECT_LE(admitted, 17);
  EXPECT_GE(admitted, 13);
}

}  // namespace
}  // namespace chalkshed
