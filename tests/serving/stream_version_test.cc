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

TEST_F(StreamVersionTest, AStreamEndsIfNoOtherWorkerRunsTheVersionThatBeganIt) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  const std::string first = last().header(platform::kExpectInstance);
  last().begin();
  last().event(1);
  add_newer();
  write("old-0", 0, "1", "draining");
  write("old-1", 1, "1", "draining");
  cluster.clock.run_for(milliseconds(300));
  last().fail(Ran::kUnknown);
  EXPECT_EQ(sends(), 1U);
  EXPECT_TRUE(seen->aborted);
}

// Until its first event, any version may take a stream.
TEST_F(StreamVersionTest, AStreamWithoutAnEventIsSentToAnyVersion) {
  cluster.request("/stream/x");
  last().begin();
  add_newer();
  write("old-0", 0, "1", "draining");
  write("old-1", 1, "1", "draining");
  cluster.clock.run_for(milliseconds(300));
  last().fail(Ran::kUnknown);
  ASSERT_EQ(sends(), 2U);
  EXPECT_FALSE(is_old(last()));
}

TEST_F(StreamVersionTest, AStreamOfAWorkerWithoutAVersionGoesOnNowhereElse) {
  for (const char* worker : {"old-0", "old-1"}) {
    cluster.put("servers", worker, std::nullopt);
  }
  write("unnamed-0", 20, "");
  write("unnamed-1", 21, "");
  cluster.clock.run_for(milliseconds(300));
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  last().begin();
  last().event(1);
  last().fail(Ran::kUnknown);
  EXPECT_EQ(sends(), 1U);
  EXPECT_TRUE(seen->aborted);
}

// The record may name the new version while the stream's worker was of the old one.
TEST_F(StreamVersionTest, AStreamDoesNotGoOnAtAWorkerThatRestartedAsAnotherVersion) {
  const SeenAnswerPtr seen = cluster.request("/stream/x");
  const std::string first = last().header(platform::kExpectInstance);
  const std::string other = first == "old-0" ? "old-1" : "old-0";
  last().begin();
  last().event(1);
  write(other, 5, "2");
  cluster.clock.run_for(milliseconds(300));
  last().fail(Ran::kUnknown);
  EXPECT_EQ(sends(), 1U);
  EXPECT_TRUE(seen->aborted);
}

// Few slots of the older version are left; what goes on comes before what begins there.
TEST_F(StreamVersionTest, NewStreamsAvoidAVersionWithFewSlots) {
  add_newer();
  write("new-6", 16, "2");
  write("new-7", 17, "2");
  cluster.clock.run_for(milliseconds(300));
  constexpr int kStreams = 16;
  for (int number = 0; number < kStreams; ++number) {
    cluster.request("/stream/x", "r" + std::to_string(number));
  }
  const auto at_old = std::count_if(cluster.workers.calls.begin(), cluster.workers.calls.end(),
                                    [](const ScriptedCall& call) { return is_old(call); });
  EXPECT_LE(at_old, 2);
}

}  // namespace
}  // namespace chalkshed
