/** \file
 * What the store answers to a write from which a promise to the caller follows must be the answer
 * to that write. */

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

TEST(PromisedWrites, HaveConnectionsOfTheirOwn) {
  ServingCluster cluster(1);
  cluster.answer_all(3, milliseconds(50));
  const auto ignore = [](const Expected<std::monostate>&) {};
  const std::map<std::string, uint64_t>& own = cluster.shared.own_connections;
  cluster.node().jobs().submit(cluster.job("j1", 2), ignore);
  cluster.clock.run_for(milliseconds(30));
  EXPECT_EQ(own.at(kStoredJobTable), 1U);
  cluster.node().jobs().end("j1", ignore);
  cluster.clock.run_for(milliseconds(30));
  EXPECT_EQ(own.at(kStoredJobTable), 2U);
  cluster.node().jobs().end("unknown", ignore);
  cluster.clock.run_for(milliseconds(30));
  EXPECT_EQ(own.at(kStoredRefusalTable), 1U);
}

}  // namespace
}  // namespace chalkshed
