// Ends a job in a serving cluster and counts the items that start at workers too late afterwards.
#pragma once

#include <algorithm>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

// The required bound from the acknowledged end of a job to the last item that starts at a worker.
inline constexpr Duration kCancelBound = seconds(3);

class EndedJobFixture : public testing::Test {
 protected:
  void submit(ServingCluster& cluster, const std::string& node, size_t items) {
    cluster.node(node).jobs().submit(cluster.job("j1", items),
                                     [&](const Expected<std::monostate>& result) {
                                       accepted_ = accepted_ || result.has_value();
                                     });
  }

  // Starts a job whose items run for a quarter of a second each, a few at a time, for over ten
  // seconds in total.
  void start_job(ServingCluster& cluster, size_t items = 200) {
    cluster.answer_all(5, milliseconds(50));
    submit(cluster, "n0", items);
    cluster.clock.run_for(milliseconds(600));
    ASSERT_TRUE(accepted_);
    ASSERT_GT(cluster.workers.calls.size(), 0U);
  }

  // Ends the job at that node. @return the time at which the end was acknowledged.
  MonotonicTime end_job(ServingCluster& cluster, const std::string& node) {
    std::optional<MonotonicTime> acknowledged;
    cluster.node(node).jobs().end("j1", [&](const Expected<std::monostate>& result) {
      if (result) {
        acknowledged = cluster.clock.monotonic_now();
      }
    });
    for (int step = 0; step < 500 && !acknowledged; ++step) {
      cluster.clock.run_for(milliseconds(10));
    }
    EXPECT_TRUE(acknowledged) << "the end was not acknowledged";
    return acknowledged.value_or(cluster.clock.monotonic_now());
  }

  // How many items start at workers after the bound, within the watched time.
  size_t items_started_after_bound(ServingCluster& cluster, MonotonicTime acknowledged,
                                   Duration watched = seconds(5)) {
    const Duration left = acknowledged + kCancelBound - cluster.clock.monotonic_now();
    cluster.clock.run_for(std::max(left, Duration(0)));
    const size_t before = cluster.workers.calls.size();
    cluster.clock.run_for(watched);
    return cluster.workers.calls.size() - before;
  }

  bool accepted_ = false;
};

}  // namespace chalkshed
