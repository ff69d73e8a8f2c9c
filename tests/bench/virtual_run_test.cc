#include "bench/virtual_run.h"

#include <gtest/gtest.h>

#include "bench/cluster_run.h"
#include "bench/informed_filler.h"
#include "bench/upper_bound.h"

namespace chalkshed::bench {
namespace {

Deployment small_deployment() {
  Deployment deployment = throughput_deployment();
  deployment.workers = 3;
  deployment.requests_per_second = 15;
  deployment.burst_requests = 40;
  deployment.heap_items = 500;
  return deployment;
}

TraceKnobs short_trace() {
  TraceKnobs knobs;
  knobs.length = std::chrono::seconds(6);
  knobs.bursts = 1;
  return knobs;
}

class VirtualRunTest : public testing::Test {
 protected:
  RunRecord run(bool batch) {
    RunSettings settings;
    settings.batch = batch;
    return run_virtually(deployment_, trace_, settings);
  }

  Deployment deployment_ = small_deployment();
  Trace trace_ = make_trace(deployment_, short_trace(), 5);
};

TEST_F(VirtualRunTest, TheSameSeedGivesTheSameRun) {
  const Trace again = make_trace(deployment_, short_trace(), 5);
  ASSERT_EQ(again.online.size(), trace_.online.size());
  EXPECT_EQ(again.online.back().prompt, trace_.online.back().prompt);
  EXPECT_EQ(run(true).first_token_ms, run(true).first_token_ms);
}

TEST_F(VirtualRunTest, EveryOnlineRequestIsMeasured) {
  for (const bool batch : {false, true}) {
    const RunRecord record = run(batch);
    EXPECT_EQ(record.online_completed, trace_.online.size());
    EXPECT_EQ(record.first_token_ms.size(), trace_.online.size());
    EXPECT_EQ(record.batch_completed > 0, batch);
  }
}

TEST_F(VirtualRunTest, ClusterRunIsDeterministicAndServesEveryRequest) {
  RunSettings settings;
  const RunRecord record = run_on_cluster(deployment_, trace_, settings);
  EXPECT_EQ(record.online_completed, trace_.online.size());
  EXPECT_EQ(record.first_token_ms.size(), trace_.online.size());
  EXPECT_GT(record.batch_completed, 0U);
  EXPECT_EQ(record.batch_failed, 0U);
  EXPECT_EQ(record.first_token_ms, run_on_cluster(deployment_, trace_, settings).first_token_ms);
}

TEST_F(VirtualRunTest, NoRunExceedsTheCapacityBound) {
  const double bound = capacity_bound(deployment_, trace_, run(false), EngineSettings());
  RunSettings greedy;
  greedy.routing.window.policy = BatchPolicy::kGreedy;
  const RunRecord record = run_virtually(deployment_, trace_, greedy);
  EXPECT_LE(static_cast<double>(record.batch_completed), bound);
  EXPECT_GT(static_cast<double>(record.batch_completed), 0.5 * bound);
}

TEST_F(VirtualRunTest, InformedFillerKeepsTheBoundAndTheCapacity) {
  const RunRecord online_only = run(false);
  const InformedFill fill = fill_informed(deployment_, trace_, online_only, EngineSettings());
  const double bound_ms = deployment_.tail_bound * percentile(online_only.first_token_ms, 0.99);
  EXPECT_LE(fill.first_token_p99_ms, bound_ms);
  EXPECT_LE(fill.items, capacity_bound(deployment_, trace_, online_only, EngineSettings()));
  EXPECT_GT(fill.items, 0);
}

TEST_F(VirtualRunTest, EveryArrivalRecordsItsWorker) {
  std::set<uint32_t> workers;
  for (const EngineArrival& arrival : run(false).arrivals) {
    workers.insert(arrival.worker);
    EXPECT_GT(arrival.first_token_us, arrival.path_us);
  }
  EXPECT_EQ(workers.size(), deployment_.workers);
}

TEST(PercentileTest, NearestRank) {
  EXPECT_EQ(percentile({5, 1, 4, 2, 3}, 0.5), 3);
  EXPECT_EQ(percentile({5, 1, 4, 2, 3}, 0.99), 5);
  EXPECT_EQ(percentile({}, 0.5), 0);
}

}  // namespace
}  // namespace chalkshed::bench
