#include <gtest/gtest.h>

#include "tests/membership/virtual_cluster.h"
#include "tests/membership/virtual_node.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint64_t kSeed = 20261202;
constexpr Duration kDetectionLimit = seconds(5);

TEST(MembershipTest, NodesThatStartTogetherFormACluster) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(12, 3);
  EXPECT_TRUE(cluster.form());
}

TEST(MembershipTest, DeadNodeIsDetectedWithinFiveSeconds) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualCluster cluster(seed);
    cluster.add_nodes(20);
    ASSERT_TRUE(cluster.form());
    cluster.run_for(milliseconds(37 * seed));
    cluster.kill(7);
    EXPECT_TRUE(cluster.run_until([&] { return cluster.settled(); }, kDetectionLimit))
        << "seed " << seed;
  }
}

TEST(MembershipTest, OneSecondOfOneWayLossCausesNoFalseDeaths) {
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualCluster cluster(seed);
    cluster.add_nodes(20);
    ASSERT_TRUE(cluster.form());
    cluster.watch_false_deaths();
    const bool outgoing = seed % 2 == 0;
    cluster.faults().cut = [outgoing](const NodeIdentity& from, const NodeIdentity& to) {
      return (outgoing ? from.id : to.id) == "node-3";
    };
    cluster.run_for(seconds(1));
    cluster.faults().cut = nullptr;
    cluster.run_for(seconds(10));
    EXPECT_EQ(cluster.false_deaths(), 0U) << "seed " << seed;
    EXPECT_TRUE(cluster.settled());
  }
}

TEST(MembershipTest, SlowNodeIsNotDeclaredDead) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(20);
  ASSERT_TRUE(cluster.form());
  cluster.watch_false_deaths();
  // The node runs for 100 ms in every 700 ms.
  for (int stall = 0; stall < 40; ++stall) {
    cluster.node(5).dispatcher().freeze();
    cluster.run_for(milliseconds(600));
    cluster.node(5).dispatcher().thaw();
    cluster.run_for(milliseconds(100));
  }
  EXPECT_EQ(cluster.false_deaths(), 0U);
}

TEST(MembershipTest, FrozenNodeAccusesNobodyAndRefutesItsDeath) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(20);
  ASSERT_TRUE(cluster.form());
  const uint64_t before = cluster.membership(4).self().incarnation;
  cluster.node(4).dispatcher().freeze();
  cluster.run_for(seconds(20));
  EXPECT_EQ(cluster.believed_gone(4), cluster.size() - 1);
  cluster.watch_false_deaths();
  cluster.node(4).dispatcher().thaw();
  EXPECT_TRUE(cluster.run_until([&] { return cluster.settled(); }, seconds(5)));
  EXPECT_GT(cluster.membership(4).self().incarnation, before);
  cluster.run_for(seconds(10));
  EXPECT_TRUE(cluster.settled());
  for (size_t index = 0; index < cluster.size(); ++index) {
    if (index != 4) {
      EXPECT_EQ(cluster.believed_gone(index), 0U);
    }
  }
}

TEST(MembershipTest, RegionsCutForThreeMinutesHeal) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(24, 3);
  ASSERT_TRUE(cluster.form());
  cluster.faults().cut = [](const NodeIdentity& from, const NodeIdentity& to) {
    return (from.region == "region-1") != (to.region == "region-1");
  };
  cluster.run_for(minutes(3));
  for (size_t index = 0; index < cluster.size(); ++index) {
    EXPECT_EQ(cluster.membership(index).live_count(), index % 3 == 1 ? 8U : 16U);
  }
  cluster.faults().cut = nullptr;
  EXPECT_TRUE(cluster.run_until([&] { return cluster.settled(); }, seconds(15)));
}

TEST(MembershipTest, LostZoneIsDetectedAndTheOthersStay) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(24, 3);
  ASSERT_TRUE(cluster.form());
  cluster.watch_false_deaths();
  for (size_t index = 0; index < cluster.size(); ++index) {
    if (cluster.node(index).identity().zone == "region-0-zone-1") {
      cluster.kill(index);
    }
  }
  EXPECT_TRUE(cluster.run_until([&] { return cluster.settled(); }, seconds(10)));
  EXPECT_EQ(cluster.false_deaths(), 0U);
}

TEST(MembershipTest, RestartAtTheSameAddressIsAliveAtOnce) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(12);
  ASSERT_TRUE(cluster.form());
  cluster.kill(2);
  cluster.run_for(seconds(8));
  EXPECT_EQ(cluster.believed_gone(2), cluster.size() - 1);
  cluster.restart(2, 2000);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.settled(); }, seconds(5)));
  EXPECT_GE(cluster.membership(2).self().incarnation, 2000U);
}

TEST(MembershipTest, RestartWithAnOlderClockStillOverridesItsTombstone) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(12);
  ASSERT_TRUE(cluster.form());
  cluster.kill(2);
  cluster.run_for(seconds(8));
  cluster.restart(2, 10);
  EXPECT_TRUE(cluster.run_until([&] { return cluster.settled(); }, seconds(10)));
}

TEST(MembershipTest, ListIsOnlyAHint) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(12);
  // The list names a machine that never existed, and leaves out half of those that do.
  Machine stale = cluster.machines()[0];
  stale.id = "node-gone";
  stale.peer_address.ip = "10.9.9.9";
  cluster.machines().push_back(stale);
  cluster.machines().erase(cluster.machines().begin() + 6, cluster.machines().begin() + 12);
  EXPECT_TRUE(cluster.form());
  cluster.machines().clear();
  cluster.run_for(minutes(3));
  EXPECT_TRUE(cluster.settled());
}

TEST(MembershipTest, AddressReusedByAnotherNodeMakesTheOldOneDead) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(8);
  ASSERT_TRUE(cluster.form());
  cluster.kill(3);
  cluster.node(3).identity().id = "node-new";
  cluster.machines()[3].id = "node-new";
  cluster.restart(3, 5000);
  const auto replaced = [&] {
    const std::vector<Member> members = cluster.membership(0).members();
    return members.size() == 8 && members.back().id == "node-new";
  };
  EXPECT_TRUE(cluster.run_until(replaced, seconds(10)));
}

TEST(MembershipTest, LeavingIsKnownEverywhereWhenDone) {
  VirtualCluster cluster(kSeed);
  cluster.add_nodes(20);
  ASSERT_TRUE(cluster.form());
  bool done = false;
  cluster.membership(6).leave([&] { done = true; });
  ASSERT_TRUE(cluster.run_until([&] { return done; }, seconds(3)));
  for (size_t index = 0; index < cluster.size(); ++index) {
    for (const Member& member : cluster.membership(index).members()) {
      const bool leaving = member.id == "node-6";
      EXPECT_EQ(member.state, leaving ? MemberState::kLeaving : MemberState::kAlive);
    }
  }
}

TEST(MembershipTest, RestartedNodeKnowsAllEntriesOnceItHasCaughtUp) {
  constexpr int kEntries = 200;  // several pages
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualCluster cluster(seed);
    cluster.add_nodes(9);
    ASSERT_TRUE(cluster.form());
    for (int entry = 0; entry < kEntries; ++entry) {
      cluster.membership(0).publish({"drain_mark", "worker-" + std::to_string(entry), 1, "mark"});
    }
    cluster.run_for(seconds(30));
    cluster.faults().loss = 0.2;
    cluster.faults().duplication = 0.2;
    cluster.kill(4);
    cluster.restart(4, 2000);
    EXPECT_FALSE(cluster.membership(4).caught_up());
    ASSERT_TRUE(cluster.run_until([&] { return cluster.membership(4).caught_up(); }, seconds(10)));
    EXPECT_EQ(cluster.membership(4).entries("drain_mark").size(), kEntries) << "seed " << seed;
  }
}

TEST(MembershipTest, LossDuplicationReorderingAndCorruptionAreSurvived) {
  VirtualCluster cluster(kSeed);
  cluster.faults().loss = 0.05;
  cluster.faults().duplication = 0.1;
  cluster.faults().corruption = 0.1;
  cluster.faults().latency_spread = milliseconds(80);
  cluster.add_nodes(20);
  ASSERT_TRUE(cluster.form());
  cluster.watch_false_deaths();
  cluster.run_for(minutes(2));
  EXPECT_EQ(cluster.false_deaths(), 0U);
  EXPECT_GT(cluster.membership(0).traffic().datagrams_dropped, 0U);
}

}  // namespace
}  // namespace chalkshed
