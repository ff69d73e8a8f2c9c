// Store load of batch work, and its behaviour when the store's capacity is limited.
#include <gtest/gtest.h>

#include "tests/batch/batch_cluster.h"

namespace chalkshed {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

uint64_t operations(BatchCluster& cluster) {
  return cluster.platform().table_service().counters.served +
         cluster.platform().object_service().counters.served;
}

// 61,000 items in chunks of 256: 239 chunks. Includes operations for leases, polls and conflicts.
TEST(BatchStoreLoadTest, OperationsPerChunkStayFew) {
  BatchCluster::Options options;
  options.slots = 64;
  BatchCluster cluster(options);
  constexpr uint32_t kItems = 61'000;
  const std::string job = cluster.submit(0, job_lines("item", kItems, 4));
  const uint64_t accepted = operations(cluster);
  while (cluster.worker_log().completions.size() < kItems) {
    cluster.run_for(seconds(1));
  }
  cluster.run_for(seconds(3));
  const double chunks = 239;
  const double accepting = static_cast<double>(accepted) / chunks;
  const double working = static_cast<double>(operations(cluster) - accepted) / chunks;
  RecordProperty("accepting_per_chunk", std::to_string(accepting));
  RecordProperty("working_per_chunk", std::to_string(working));
  EXPECT_LE(accepting, 1.1);
  EXPECT_LE(working, 5.5);
  EXPECT_EQ(cluster.status(1, job), "completed");
}

// The store's rate limit is below the demand of the nodes.
TEST(BatchStoreLoadTest, RateLimitedStoreSlowsWorkAndLosesNothing) {
  BatchCluster cluster({});
  cluster.platform().table_service().faults.operations_per_second = 20;
  cluster.platform().table_service().faults.operation_burst = 20;
  const std::string job = cluster.submit(0, job_lines("item", 400, 20));
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(5)));
  expect_complete(cluster.output(1, job), "item", 400, 20);
}

// Unsaved results are buffered up to a limit; above it no new items are started.
TEST(BatchStoreLoadTest, UnsavedResultsAreBounded) {
  BatchCluster::Options options;
  options.nodes = 1;
  options.knobs.max_unsaved_result_bytes = 4096;
  options.knobs.max_chunk_items = 16;
  options.knobs.lease_duration = minutes(10);
  BatchCluster cluster(options);
  const std::string job = cluster.submit(0, job_lines("item", 2000, 4));
  cluster.run_for(std::chrono::milliseconds(100));
  cluster.platform().table_service().faults.outage = true;
  cluster.platform().object_service().faults.outage = true;
  cluster.run_for(seconds(30));
  const size_t started = cluster.worker_log().started.size();
  cluster.run_for(seconds(30));
  EXPECT_EQ(cluster.worker_log().started.size(), started);
  EXPECT_LT(started, 100U);
  cluster.platform().table_service().faults.outage = false;
  cluster.platform().object_service().faults.outage = false;
  EXPECT_TRUE(cluster.run_until(0, job, "completed", minutes(2)));
  expect_complete(cluster.output(0, job), "item", 2000, 4);
}

// The chunks of a lost node are taken over at the configured rate.
TEST(BatchStoreLoadTest, TakeoversArePaced) {
  BatchCluster::Options options;
  options.slots = 400;
  options.knobs.takeovers_per_second = 1;
  options.knobs.max_chunk_items = 16;
  BatchCluster cluster(options);
  cluster.set_slots(1, 0);
  cluster.set_slots(2, 0);
  const std::string job = cluster.submit(0, job_lines("item", 160, 2000));
  cluster.run_for(seconds(2));
  ASSERT_EQ(cluster.worker_log().started.size(), 160U);
  cluster.kill(0);
  cluster.set_slots(1, 400);
  cluster.set_slots(2, 400);
  cluster.run_for(seconds(17));
  while (cluster.worker_log().started.size() == 160U) {
    cluster.run_for(std::chrono::milliseconds(100));
  }
  // Ten chunks at one per second over both nodes.
  cluster.run_for(seconds(4));
  EXPECT_LE(cluster.worker_log().started.size(), 160U + 16 * 7);
  EXPECT_TRUE(cluster.run_until(1, job, "completed", minutes(2)));
  expect_complete(cluster.output(1, job), "item", 160, 2000);
}

}  // namespace
}  // namespace chalkshed
