#include "src/batch/tenant_shares.h"

#include <gtest/gtest.h>

#include <map>
#include <nlohmann/json.hpp>

#include "tests/batch/batch_cluster.h"

namespace chalkshed {
namespace {

// Serves the tenant with the lowest tag `rounds` times at a cost of 1 each.
std::map<std::string, int> serve(TenantShares& shares, const std::map<std::string, double>& weights,
                                 int rounds) {
  std::map<std::string, int> served;
  for (int round = 0; round < rounds; ++round) {
    std::string next = weights.begin()->first;
    for (const auto& [tenant, weight] : weights) {
      next = shares.start_tag(tenant) < shares.start_tag(next) ? tenant : next;
    }
    shares.charge(next, 1, weights.at(next));
    ++served[next];
  }
  return served;
}

TEST(TenantSharesTest, ServiceFollowsTheWeights) {
  TenantShares shares;
  const auto served = serve(shares, {{"a", 1}, {"b", 3}}, 400);
  EXPECT_NEAR(served.at("a"), 100, 2);
  EXPECT_NEAR(served.at("b"), 300, 2);
}

TEST(TenantSharesTest, IdleTenantNeitherSavesUpNorStarves) {
  TenantShares shares;
  serve(shares, {{"a", 1}}, 1000);
  const auto served = serve(shares, {{"a", 1}, {"b", 1}}, 100);
  EXPECT_NEAR(served.at("a"), 50, 2);
  EXPECT_NEAR(served.at("b"), 50, 2);
}

// A small job of one tenant completes although a large job of another tenant was submitted earlier.
TEST(TenantSharesTest, SmallJobIsNotHeldUpByALargeOne) {
  BatchCluster cluster({});
  cluster.add_tenant("large", 1);
  cluster.add_tenant("small", 1);
  const HttpHeaders large = {{"Authorization", "Bearer key-large"}};
  const HttpHeaders small = {{"Authorization", "Bearer key-small"}};
  cluster.submit(0, job_lines("large", 20'000, 20), large);
  cluster.run_for(std::chrono::seconds(2));
  const std::string job = cluster.submit(1, job_lines("small", 48, 20), small);
  cluster.run_for(std::chrono::seconds(10));
  const auto answer = cluster.send(1, "GET", "/v1/batches/" + job, "", small);
  cluster.wait(*answer);
  EXPECT_EQ(nlohmann::json::parse(answer->body).at("status"), "completed");
  EXPECT_LT(cluster.worker_log().completions.size(), 20'000U);
}

// Among the jobs of one tenant, the one with the earlier deadline is run first.
TEST(TenantSharesTest, EarlierDeadlineGoesFirst) {
  BatchCluster cluster({});
  cluster.submit(0, job_lines("distant", 20'000, 20));
  cluster.run_for(std::chrono::seconds(2));
  const std::string urgent =
      cluster.submit(1, job_lines("urgent", 96, 20), {{"X-Chalkshed-Deadline-Ms", "60000"}});
  EXPECT_TRUE(cluster.run_until(1, urgent, "completed", std::chrono::seconds(20)));
  EXPECT_LT(cluster.worker_log().completions.size(), 20'000U);
}

}  // namespace
}  // namespace chalkshed
