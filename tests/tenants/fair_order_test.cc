// Fairness between tenants: the order itself, and its effect at a node whose workers are full.
#include "chalkshed/fair_order.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

TEST(FairOrderTest, RequestsOfATenantQueueBehindEachOther) {
  fair_order order;
  const double hot_1 = order.enter("hot");
  const double hot_2 = order.enter("hot");
  const double hot_3 = order.enter("hot");
  const double quiet = order.enter("quiet");
  EXPECT_LE(quiet, hot_1);
  EXPECT_LT(hot_1, hot_2);
  EXPECT_LT(hot_2, hot_3);
}

TEST(FairOrderTest, IdleTenantsGainNoCreditAndBusyOnesNoLastingDebt) {
  fair_order order;
  for (int count = 0; count < 100; ++count) {
    order.serve(order.enter("hot"));
  }
  const double quiet = order.enter("quiet");
  const double hot = order.enter("hot");
  EXPECT_LT(quiet, hot);
  EXPECT_LE(hot - quiet, 1.0);
  EXPECT_GE(quiet, 99.0) << "an idle tenant accumulates no credit";
}

class WaitingTenantsTest : public testing::Test {
 protected:
  void ask(const std::string& tenant, const std::string& id,
           std::optional<uint32_t> priority = std::nullopt) {
    HttpRequest message;
    message.method = "POST";
    message.path = "/fixed/x";
    message.headers = {{platform::kRequestId, id}, {platform::kDeadline, "8000"}};
    ServingRequest request = platform::read_request("a.example", std::move(message));
    request.tenant = tenant;
    request.priority = priority;
    const RouteTablePtr table = cluster.node().routes();
    answers.push_back(std::make_shared<SeenAnswer>());
    cluster.node().gateway().handle(table, *table->find("a.example", "/fixed/x"),
                                    std::move(request),
                                    std::make_unique<FakeWriter>(answers.back()));
  }
  // Finishes the oldest open call. @return the tenant whose call is sent next.
  std::string next_tenant() {
    const size_t before = cluster.workers.calls.size();
    for (ScriptedCall& call : cluster.workers.calls) {
      if (call.open()) {
        call.begin();
        call.event(1);
        call.end();
        break;
      }
    }
    cluster.clock.run_for(milliseconds(1));
    return cluster.workers.calls.size() == before
               ? ""
               : cluster.workers.calls.back().header(platform::kTenant);
  }

  ServingCluster cluster{1, 1};
  std::vector<SeenAnswerPtr> answers;
};

TEST_F(WaitingTenantsTest, ATenantThatSendsManyRequestsDelaysItsOwnFirst) {
  for (int count = 0; count < 12; ++count) {
    ask("hot", "h" + std::to_string(count));
  }
  ask("quiet", "q1");
  ask("calm", "c1");
  ASSERT_EQ(cluster.workers.calls.size(), 4U) << "all slots are taken";
  EXPECT_EQ(next_tenant(), "quiet");
  EXPECT_EQ(next_tenant(), "calm");
  EXPECT_EQ(next_tenant(), "hot");
}

TEST_F(WaitingTenantsTest, ATenantsPriorityOverridesItsRoutes) {
  for (int count = 0; count < 6; ++count) {
    ask("usual", "u" + std::to_string(count), 3);
  }
  ask("urgent", "x1", 1);
  EXPECT_EQ(next_tenant(), "urgent");
  EXPECT_EQ(next_tenant(), "usual");
}

}  // namespace
}  // namespace chalkshed
