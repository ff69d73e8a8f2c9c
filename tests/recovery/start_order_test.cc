// The order in which a starting node lists the tables of the store.
#include "chalkshed/start_order.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

start_progress after(Duration elapsed) {
  start_progress progress;
  progress.elapsed = elapsed;
  return progress;
}

// Otherwise the configuration and the workers compete with the other tables for the read rate.
TEST(StartOrderTest, ServingComesFirst) {
  const start_order order;
  start_progress progress = after(milliseconds(5));
  EXPECT_FALSE(order.list_nodes(progress));
  EXPECT_FALSE(order.list_others(progress));
  progress.configuration_listed = true;
  EXPECT_TRUE(order.list_nodes(progress));
  progress.ready = true;
  EXPECT_FALSE(order.list_others(progress));
  progress.nodes_listed = true;
  EXPECT_TRUE(order.list_others(progress));
}

// A table that the store does not return must not hold up the others for good: the copy of a large
// worker table needs the list of nodes, and jobs have deadlines.
TEST(StartOrderTest, AMissingTableDelaysTheOthersForALimitedTime) {
  const start_order order;
  EXPECT_TRUE(order.list_nodes(after(order.knobs().nodes_at_latest)));
  EXPECT_FALSE(order.list_others(after(order.knobs().nodes_at_latest)));
  EXPECT_TRUE(order.list_others(after(order.knobs().others_at_latest)));
}

TEST(StartOrderTest, OnlyLargeFleetsSpreadTheOtherTables) {
  const start_order order;
  EXPECT_EQ(order.others_delay(30, 0.99), Duration(0));
  EXPECT_EQ(order.others_delay(300, 0.0), Duration(0));
  EXPECT_LT(order.others_delay(100, 0.99), milliseconds(200));
  EXPECT_GT(order.others_delay(300, 0.99), milliseconds(500));
}

// The jobs of a node whose store call for the configuration is lost are still listed.
TEST(StartOrderTest, ANodeWithoutConfigurationStillListsTheOtherTables) {
  ServingCluster cluster(0, 2);
  cluster.put("op", "config", std::nullopt);
  cluster.start_node("n0");
  cluster.clock.run_for(milliseconds(100));
  EXPECT_TRUE(cluster.node().start_steps().at(start_step::kNodes));
  EXPECT_FALSE(cluster.node().start_steps().at(start_step::kJobs));
  cluster.clock.run_for(milliseconds(2100));
  EXPECT_TRUE(cluster.node().start_steps().at(start_step::kJobs));
  EXPECT_FALSE(cluster.node().start_steps().at(start_step::kReady));
}

TEST(StartOrderTest, ASmallFleetStartsWithinAFewCalls) {
  ServingCluster cluster(6, 2);
  for (const auto& [name, node] : cluster.nodes) {
    const auto ready = node->node.start_steps().at(start_step::kReady);
    const auto jobs = node->node.start_steps().at(start_step::kJobs);
    ASSERT_TRUE(ready && jobs) << name;
    EXPECT_LE(*ready, milliseconds(5));
    EXPECT_LE(*jobs, milliseconds(50));
  }
}

}  // namespace
}  // namespace chalkshed
