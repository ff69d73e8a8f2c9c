#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

// Two workers of version 1 beside six of version 2; streams begin at version 1.
class StreamVersionTest : public testing::Test {
 protected:
  StreamVersionTest() {
    constexpr size_t kNewer = 6;
    write("old-0", 0, "1");
    write("old-1", 1, "1");
    cluster.clock.run_for(seconds(1));
    cluster.start_node("n0");
    cluster.clock.run_for(seconds(1));
    for (size_t number = 0; number < kNewer; ++number) {
      newer.push_back("new-" + std::to_string(number));
    }
  }
  void write(const std::string& id, size_t number, const std::string& version,
             const std::string& state = "ready") {
    cluster.write_worker(id, number, state, 4, version);
  }
  // A release: workers of version 2 join.
  void add_newer() {
    for (size_t number = 0; number < newer.size(); ++number) {
      write(newer[number], 10 + number, "2");
    }
    cluster.clock.run_for(milliseconds(300));
  }
  ScriptedCall& last() { return cluster.workers.calls.back(); }
  size_t sends() const { return cluster.workers.calls.size(); }
  // @return whether the call went to a worker of version 1.
  static bool is_old(const ScriptedCall& call) {
    return call.header(platform::kExpectInstance).starts_with("old");
  }

  ServingCluster cluster{0, 0};
  std::vector<std::string> newer;
};

// Guards against: an answer went on at another software version after its worker had crashed.
TEST_F(StreamVersionTest, AStreamWhoseWorkerCrashesGoesOnAtTheVersionThatBeganIt) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  last().begin();
  last().event(1);
  add_newer();
  last().fail(Ran::kUnknown);
  ASSERT_EQ(sends(), 2U);
  EXPECT_TRUE(is_old(last()));
  EXPECT_EQ(last().header(platform::kLastEventId), "1");
  last().begin();
  last().event(2);
  last().end();
  EXPECT_TRUE(seen->finished);
}

}  // namespace
}  // namespace chalkshed
