// Regression tests for bugs found by the simulator, each with a minimal scenario.
#include <gtest/gtest.h>

#include "sim/simulated_run.h"

namespace chalkshed {
namespace {

size_t violations(const RunResult& result, Guarantee guarantee) {
  return result.check[guarantee].violations.size();
}

TEST(Regression, PlannedStopWaitsForPendingSubmissions) {
  SimulatedRun run(1, RunKnobs());
  run.boot();
  run.cluster().platform().table_service().faults.slowness = 900;
  for (int job = 0; job < 9; ++job) {
    run.batch().submit_new(20);
  }
  run.cluster().run_for(std::chrono::milliseconds(100));
  for (const std::string& node : run.cluster().nodes()) {
    run.cluster().stop(node);
  }
  run.cluster().run_for(std::chrono::seconds(30));
  EXPECT_EQ(violations(run.check(), Guarantee::kPlannedStopCutsNothing), 0U);
}

// A node owned a chunk with some results but had no worker left for the remaining items.
TEST(Regression, AChunkWithResultsMovesOnWhenItsNodeHoldsNoWorker) {
  for (uint64_t seed = 1; seed <= 3; ++seed) {
    SimulatedRun run(seed, RunKnobs());
    run.boot();
    const std::vector<std::string> nodes = run.cluster().nodes();
    const std::vector<std::string> others(nodes.begin() + 1, nodes.end());
    for (const std::string& node : others) {
      run.cluster().kill(node, false);
    }
    run.cluster().run_for(std::chrono::seconds(10));
    run.batch().submit_new(3000);
    while (!run.batch().all_accepted()) {
      run.cluster().run_for(std::chrono::milliseconds(10));
    }
    run.cluster().run_for(std::chrono::milliseconds(250));
    for (const std::string& node : others) {
      run.cluster().start(node);
    }
    run.settle();
    EXPECT_EQ(violations(run.check(), Guarantee::kExactlyOnce), 0U);
  }
}

// Small clusters retransmitted gossip updates too rarely: one drain mark in four took over a
// second.
TEST(Regression, DrainMarksReachEveryNodeWithinASecond) {
  SimulatedRun run(1, RunKnobs());
  run.boot();
  run.start_workloads();
  run.cluster().run_for(std::chrono::seconds(4));
  for (size_t order = 0; order < run.cluster().nodes().size(); ++order) {
    const std::string& worker = run.cluster().workers()[order];
    run.cluster().node(run.cluster().nodes()[order])->roles().router().drain(worker);
    run.cluster().run_for(std::chrono::seconds(1));
    for (const std::string& node : run.cluster().nodes()) {
      EXPECT_TRUE(run.cluster().node(node)->roles().router().directory().find(worker)->leaving());
    }
  }
}

}  // namespace
}  // namespace chalkshed
