// Guards against requests that are sent to workers that have gone: the entries of all workers of a
// service disappear without an announcement, and the store is sound.

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class VanishedWorkersTest : public testing::Test {
 protected:
  VanishedWorkersTest() {
    cluster.answer_all(1, milliseconds(5));
    cluster.clock.run_for(seconds(30));
  }
  void remove_entries() {
    cluster.put("servers", "i-0", std::nullopt);
    cluster.put("servers", "i-1", std::nullopt);
  }
  // @return how many requests of the next seconds reach a worker.
  size_t sent_within(Duration length) {
    const size_t before = cluster.workers.calls.size();
    for (Duration passed{0}; passed < length; passed += milliseconds(100)) {
      ++requests_;
      cluster.request("/once/1", "r" + std::to_string(requests_),
                      "n" + std::to_string(requests_ % 3));
      cluster.clock.run_for(milliseconds(100));
    }
    return cluster.workers.calls.size() - before;
  }

  ServingCluster cluster{3, 2};

 private:
  size_t requests_ = 0;
};

TEST_F(VanishedWorkersTest, AreSentNothingWhileTheStoreIsSound) {
  EXPECT_EQ(sent_within(seconds(1)), 10U);
  remove_entries();
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(sent_within(seconds(12)), 0U);
}

TEST_F(VanishedWorkersTest, AreUsedAfterTheStoreHasFailed) {
  cluster.shared.trouble.silent = true;
  cluster.clock.run_for(seconds(6));
  cluster.shared.trouble.silent = false;
  remove_entries();  // they lapsed meanwhile
  cluster.clock.run_for(milliseconds(500));
  EXPECT_EQ(sent_within(seconds(2)), 20U);
}

TEST_F(VanishedWorkersTest, AreSentRequestsAgainOnceTheyAreBack) {
  remove_entries();
  cluster.clock.run_for(seconds(1));
  EXPECT_EQ(sent_within(seconds(1)), 0U);
  cluster.write_worker("i-0", 0, "ready");
  cluster.clock.run_for(milliseconds(500));
  EXPECT_EQ(sent_within(seconds(1)), 10U);
}

}  // namespace
}  // namespace chalkshed
