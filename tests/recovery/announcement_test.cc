// The announcements of nodes that start together, at a store that limits the writes of a partition.
#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

size_t announced(const ServingCluster& cluster) {
  RangeRead range;
  range.table = kNodeTable;
  return cluster.shared.rows.read(range).rows.size();
}

// When all refused nodes retried after the same delay, the store admitted 20 of them at a time: 100
// nodes took two seconds, 300 nodes more than six.
TEST(AnnouncementTest, RefusedNodesDoNotRetryTogether) {
  ServingCluster cluster(0, 2);
  cluster.shared.limited.limits.partition_writes_per_second = 200;
  for (int node = 0; node < 150; ++node) {
    cluster.start_node("n" + std::to_string(node));
  }
  cluster.clock.run_for(milliseconds(1800));
  EXPECT_EQ(announced(cluster), 150U);
  const CallCount calls = cluster.shared.limited.counts().at("commit node");
  EXPECT_EQ(calls.answered, 150U);
  EXPECT_LE(calls.refused, 300U);
}

// An announcement whose outcome is unknown is repeated as well.
TEST(AnnouncementTest, ALostAnswerIsRepeated) {
  ServingCluster cluster(0, 2);
  cluster.shared.trouble.down = true;
  cluster.start_node("n0");
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(announced(cluster), 0U);
  cluster.shared.trouble.down = false;
  cluster.clock.run_for(milliseconds(600));
  EXPECT_EQ(announced(cluster), 1U);
}

}  // namespace
}  // namespace chalkshed
