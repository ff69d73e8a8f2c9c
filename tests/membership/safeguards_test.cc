// Each guarantee is shown to fail when the mechanism it depends on is switched off.
#include <gtest/gtest.h>

#include <algorithm>
#include <functional>

#include "src/membership/gossip_store.h"
#include "tests/membership/virtual_cluster.h"
#include "tests/membership/virtual_node.h"

namespace chalkshed {
namespace {

using std::chrono::minutes;
using std::chrono::seconds;

constexpr size_t kNodes = 20;

MembershipKnobs without(const std::function<void(MembershipSafeguards&)>& switch_off) {
  MembershipKnobs knobs;
  switch_off(knobs.safeguards);
  return knobs;
}

// @return how often a running node was declared dead while one node received nothing for a second.
size_t false_deaths_of_one_way_loss(const MembershipKnobs& knobs) {
  VirtualCluster cluster(3, knobs);
  cluster.add_nodes(kNodes);
  EXPECT_TRUE(cluster.form());
  cluster.watch_false_deaths();
  cluster.faults().cut = [](const NodeIdentity&, const NodeIdentity& to) {
    return to.id == "node-3";
  };
  cluster.run_for(seconds(1));
  cluster.faults().cut = nullptr;
  cluster.run_for(seconds(10));
  return cluster.false_deaths();
}

TEST(MembershipSafeguardsTest, SuspicionPreventsFalseDeathsDuringAShortLoss) {
  EXPECT_EQ(false_deaths_of_one_way_loss({}), 0U);
  EXPECT_GT(false_deaths_of_one_way_loss(
                without([](MembershipSafeguards& off) { off.suspicion = false; })),
            0U);
}

TEST(MembershipSafeguardsTest, RefutationPreventsFalseDeathsDuringAShortLoss) {
  EXPECT_GT(false_deaths_of_one_way_loss(
                without([](MembershipSafeguards& off) { off.refutation = false; })),
            0U);
}

bool partition_heals(const MembershipKnobs& knobs) {
  VirtualCluster cluster(5, knobs);
  cluster.add_nodes(kNodes, 2);
  EXPECT_TRUE(cluster.form());
  cluster.faults().cut = [](const NodeIdentity& from, const NodeIdentity& to) {
    return from.region != to.region;
  };
  cluster.run_for(minutes(1));
  cluster.faults().cut = nullptr;
  return cluster.run_until([&] { return cluster.settled(); }, minutes(2));
}

TEST(MembershipSafeguardsTest, ContactingDeadMembersHealsPartitions) {
  EXPECT_TRUE(partition_heals({}));
  EXPECT_FALSE(partition_heals(without([](MembershipSafeguards& off) { off.retry_dead = false; })));
}

// @return the number of runs in which a node that was frozen while it suspected another node
// declared that node dead.
size_t false_deaths_after_a_freeze(const MembershipKnobs& knobs) {
  constexpr size_t kFrozen = 4;
  constexpr size_t kSilent = 9;
  size_t runs = 0;
  for (uint64_t seed = 1; seed <= 10; ++seed) {
    VirtualCluster cluster(seed, knobs);
    cluster.add_nodes(kNodes);
    EXPECT_TRUE(cluster.form());
    bool declared_dead = false;
    cluster.membership(kFrozen).subscribe([&] {
      const std::vector<Member> members = cluster.membership(kFrozen).members();
      declared_dead =
          declared_dead || std::none_of(members.begin(), members.end(), [](const Member& member) {
            return member.id == "node-" + std::to_string(kSilent);
          });
    });
    cluster.faults().cut = [](const NodeIdentity& from, const NodeIdentity&) {
      return from.id == "node-" + std::to_string(kSilent);
    };
    cluster.run_for(std::chrono::milliseconds(1800));
    cluster.node(kFrozen).dispatcher().freeze();
    // Datagrams sent meanwhile are lost, as if the socket buffer of the frozen process were full.
    cluster.faults().cut = [](const NodeIdentity&, const NodeIdentity& to) {
      return to.id == "node-" + std::to_string(kFrozen);
    };
    cluster.run_for(seconds(4));
    cluster.faults().cut = nullptr;
    cluster.node(kFrozen).dispatcher().thaw();
    cluster.run_for(seconds(10));
    runs += declared_dead ? 1 : 0;
  }
  return runs;
}

TEST(MembershipSafeguardsTest, FrozenNodeDiscardsItsOwnSuspicions) {
  EXPECT_EQ(false_deaths_after_a_freeze({}), 0U);
  EXPECT_GT(false_deaths_after_a_freeze(
                without([](MembershipSafeguards& off) { off.local_health = false; })),
            0U);
}

// @return the number of datagrams with one changed byte that are accepted.
size_t damaged_datagrams_accepted(bool check) {
  Datagram datagram;
  datagram.kind = DatagramKind::kGossip;
  datagram.sender = "node-1";
  datagram.entries.push_back({"configuration_head", "head", 41, "0123456789abcdef"});
  const std::string bytes = encode_datagram(datagram);
  size_t accepted = 0;
  for (size_t position = 0; position < bytes.size(); ++position) {
    std::string damaged = bytes;
    damaged[position] = static_cast<char>(damaged[position] ^ 0x10);
    accepted += decode_datagram(damaged, check) ? 1 : 0;
  }
  return accepted;
}

TEST(MembershipSafeguardsTest, ChecksumDropsCorruptDatagrams) {
  EXPECT_EQ(damaged_datagrams_accepted(true), 0U);
  EXPECT_GT(damaged_datagrams_accepted(false), 0U);
}

uint64_t version_after_an_old_entry(const MembershipKnobs& knobs) {
  GossipStore store(knobs);
  const MonotonicTime now{};
  store.merge({"configuration_head", "head", 8, "new"}, now);
  store.merge({"configuration_head", "head", 7, "old"}, now);
  return store.find({"configuration_head", "head"})->version;
}

TEST(MembershipSafeguardsTest, EntryVersionsNeverDecrease) {
  EXPECT_EQ(version_after_an_old_entry({}), 8U);
  EXPECT_EQ(version_after_an_old_entry(
                without([](MembershipSafeguards& off) { off.version_order = false; })),
            7U);
}

}  // namespace
}  // namespace chalkshed
