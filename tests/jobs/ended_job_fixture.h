// A job in a serving cluster that is ended, and how many of its items begin at workers too late.
#pragma once

#include <algorithm>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

// The users' bound: from the acknowledged end of a job to the last item that begins at a worker.
inline constexpr Duration kCancelBound = seconds(3);

class EndedJobFixture : public testing::Test {
 protected:
  void submit(ServingCluster& cluster, const std::string& node, size_t items) {
    cluster.node(node).jobs().submit(
        cluster.job("j1", items),
        [&](const Expected<std::monostate>& told) { accepted_ = accepted_ || told.has_value(); });
  }

  // A job whose items run for a quarter of a second each, a few at a time, for over ten seconds.
  void begin_job(ServingCluster& cluster, size_t items = 200) {
    cluster.answer_all(5, milliseconds(50));
    submit(cluster, "n0", items);
    cluster.clock.run_for(milliseconds(600));
    ASSERT_TRUE(accepted_);
    ASSERT_GT(cluster.workers.calls.size(), 0U);
  }

  // Ends the job at that node. @return when the end was acknowledged.
  MonotonicTime end_job(ServingCluster& cluster, const std::string& node) {
    std::optional<MonotonicTime> acknowledged;
    cluster.node(node).jobs().end("j1", [&](const Expected<std::monostate>& told) {
      if (told) {
        acknowledged = cluster.clock.monotonic_now();
      }
    });
    for (int step = 0; step < 500 && !acknowledged; ++step) {
      cluster.clock.run_for(milliseconds(10));
    }
    EXPECT_TRUE(acknowledged) << "the end was not acknowledged";
    return acknowledged.value_or(cluster.clock.monotonic_now());
  }

  // How many items begin at workers from the bound on, within that time.
  size_t items_begun_beyond_bound(ServingCluster& cluster, MonotonicTime acknowledged,
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
