// Tenant limits over several nodes.
#include "tests/routing/routing_fixture.h"

namespace chalkshed {
namespace {

class TenantLimiterTest : public testing::Test {
 protected:
  void SetUp() override {
    for (const char* id : {"n1", "n2", "n3"}) {
      nodes_.push_back(std::make_unique<RoutingNode>(world_, id, RoutingKnobs{}, nodes_.size()));
    }
    for (auto& node : nodes_) {
      limiters_.push_back(std::make_unique<TenantLimiter>(node->identity, node->dependencies,
                                                          world_.configuration, world_.membership,
                                                          node->gossip));
    }
  }
  // Sends requests at the rate `per_second[i]` to each node. @return the total number admitted.
  int run(std::vector<int> per_second, Duration length) {
    int admitted = 0;
    constexpr Duration kStep = milliseconds(10);
    std::vector<double> due(per_second.size(), 0);
    for (Duration passed{0}; passed < length; passed += kStep) {
      for (size_t node = 0; node < per_second.size(); ++node) {
        for (due[node] += per_second[node] * 0.01; due[node] >= 1; due[node] -= 1) {
          admitted += limiters_[node]->admit("limited") ? 0 : 1;
        }
      }
      world_.clock.run_for(kStep);
    }
    return admitted;
  }

  World world_;
  std::vector<std::unique_ptr<RoutingNode>> nodes_;
  std::vector<std::unique_ptr<TenantLimiter>> limiters_;
};

TEST_F(TenantLimiterTest, UnknownAndUnlimitedTenantsPass) {
  EXPECT_FALSE(limiters_[0]->admit("nobody"));
}

TEST_F(TenantLimiterTest, DemandOnOneNodeGetsTheWholeLimit) {
  run({200, 0, 0}, seconds(10));
  const int admitted = run({200, 0, 0}, seconds(10));
  EXPECT_GE(admitted, 570);
  EXPECT_LE(admitted, 660);
}

TEST_F(TenantLimiterTest, SharesFollowDemand) {
  run({300, 100, 0}, seconds(10));
  EXPECT_GT(limiters_[0]->share("limited"), 0.6);
  EXPECT_GT(limiters_[1]->share("limited"), 0.2);
  EXPECT_LE(limiters_[0]->share("limited") + limiters_[1]->share("limited"), 1.001);
  const int admitted = run({300, 100, 0}, seconds(10));
  EXPECT_GE(admitted, 540);
  EXPECT_LE(admitted, 660);
}

TEST_F(TenantLimiterTest, MovingDemandStaysWithinTheDocumentedBound) {
  run({200, 0, 0}, seconds(10));
  // At most twice the limit during the settle time, then the limit; plus one bucket and one request
  // per node.
  const int admitted = run({200, 200, 200}, seconds(10));
  EXPECT_LE(admitted, 60 * 10 + 60 * 3 + 60 + 3);
}

TEST_F(TenantLimiterTest, StaleGossipFallsBackToEqualShares) {
  run({200, 200, 200}, seconds(10));
  world_.hub.cut = true;
  run({200, 0, 0}, seconds(12));
  EXPECT_NEAR(limiters_[0]->share("limited"), 1.0 / 3, 0.01);
  const int admitted = run({200, 200, 200}, seconds(10));
  EXPECT_LE(admitted, 660);
}

TEST_F(TenantLimiterTest, RejectionIsNotRunAndHasRetryAfter) {
  std::optional<Error> refusal;
  for (int asked = 0; asked < 200 && !refusal; ++asked) {
    refusal = limiters_[0]->admit("limited");
  }
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->kind, ErrorKind::kLimitExceeded);
  EXPECT_EQ(refusal->ran, Ran::kNo);
  EXPECT_GE(refusal->retry_after, seconds(1));
}

TEST_F(TenantLimiterTest, GossipStaysWithinAFewBytesPerSecond) {
  run({200, 0, 0}, seconds(20));
  EXPECT_LE(nodes_[0]->gossip.published, 21);
  EXPECT_LE(nodes_[0]->gossip.published_bytes / 20, 60);
  EXPECT_EQ(nodes_[1]->gossip.published, 0);
}

}  // namespace
}  // namespace chalkshed
