// A cluster of the target size in virtual time: deterministic, with its traffic counted.
#include <gtest/gtest.h>

#include <memory>

#include "tests/membership/virtual_cluster.h"
#include "tests/membership/virtual_node.h"

namespace chalkshed {
namespace {

using std::chrono::seconds;

constexpr uint64_t kSeed = 360;
constexpr size_t kNodes = 360;
constexpr size_t kRegions = 8;
constexpr double kIdleBytesPerSecond = 2000;   // sent and received, headers included
constexpr double kStormBytesPerSecond = 7000;  // the whole control budget, over the settling time

uint64_t wire_bytes(const KindTraffic& traffic) {
  const uint64_t messages = traffic.messages_sent + traffic.messages_received;
  return traffic.bytes_sent + traffic.bytes_received + messages * kDatagramOverheadBytes;
}

uint64_t total_bytes(VirtualCluster& cluster) {
  uint64_t sum = 0;
  for (size_t index = 0; index < cluster.size(); ++index) {
    if (cluster.running(index)) {
      sum += wire_bytes(cluster.membership(index).traffic().total());
    }
  }
  return sum;
}

// @return mean bytes per second of one running node while `cluster` runs for `duration`.
double bytes_per_second(VirtualCluster& cluster, size_t running, Duration duration) {
  const uint64_t before = total_bytes(cluster);
  cluster.run_for(duration);
  const double bytes = static_cast<double>(total_bytes(cluster) - before);
  return bytes / static_cast<double>(running) / std::chrono::duration<double>(duration).count();
}

double elapsed_seconds(VirtualCluster& cluster, MonotonicTime since) {
  return std::chrono::duration<double>(cluster.clock().monotonic_now() - since).count();
}

// All tests share one cluster, which is expensive to form; each test leaves it settled.
class ScaleTest : public testing::Test {
 protected:
  static void SetUpTestSuite() {
    shared_cluster = std::make_unique<VirtualCluster>(kSeed);
    shared_cluster->faults().loss = 0.001;
    shared_cluster->add_nodes(kNodes, kRegions);
    was_formed = shared_cluster->form();
    shared_cluster->run_for(seconds(15));  // until the rumours of the start have been sent
  }
  static void TearDownTestSuite() { shared_cluster.reset(); }

  void SetUp() override {
    ASSERT_TRUE(was_formed);
    ASSERT_TRUE(shared_cluster->settled());
  }
  VirtualCluster& cluster() { return *shared_cluster; }

  static std::unique_ptr<VirtualCluster> shared_cluster;
  static bool was_formed;
};
std::unique_ptr<VirtualCluster> ScaleTest::shared_cluster;
bool ScaleTest::was_formed = false;

TEST_F(ScaleTest, IdleClusterStaysFarUnderTheByteBudget) {
  EXPECT_LT(bytes_per_second(cluster(), kNodes, seconds(10)), kIdleBytesPerSecond);
  EXPECT_TRUE(cluster().settled());
}

TEST_F(ScaleTest, GossipEntryReachesEveryNode) {
  cluster().membership(0).publish({"configuration_head", "head", 7, "digest"});
  const auto everywhere = [&] {
    for (size_t index = 0; index < kNodes; ++index) {
      if (!cluster().membership(index).find("configuration_head", "head")) {
        return false;
      }
    }
    return true;
  };
  EXPECT_TRUE(cluster().run_until(everywhere, seconds(2)));
}

TEST_F(ScaleTest, LossOfOneTwentiethSettles) {
  constexpr size_t kLost = 18;
  for (size_t lost = 0; lost < kLost; ++lost) {
    cluster().kill(lost * kNodes / kLost);
  }
  cluster().watch_false_deaths();
  const MonotonicTime start = cluster().clock().monotonic_now();
  const uint64_t before = total_bytes(cluster());
  EXPECT_TRUE(cluster().run_until([&] { return cluster().settled(); }, seconds(7)));
  EXPECT_EQ(cluster().false_deaths(), 0U);
  const double bytes = static_cast<double>(total_bytes(cluster()) - before);
  const double rate = bytes / (kNodes - kLost) / elapsed_seconds(cluster(), start);
  EXPECT_LT(rate, kStormBytesPerSecond);
}

}  // namespace
}  // namespace chalkshed
