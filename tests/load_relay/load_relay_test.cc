// Loads between many nodes of two zones, by way of relays.
#include "chalkshed/load_relay.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class LoadRelayTest : public testing::Test {
 protected:
  static constexpr int kNodesOfAZone = 30;

  LoadRelayTest() {
    for (int number = 0; number < kNodesOfAZone; ++number) {
      cluster.start_node(near_node(number), "zone-a");
      cluster.start_node(far_node(number), "zone-b");
    }
    cluster.clock.run_for(seconds(4));
  }
  static std::string near_node(int number) { return "a" + std::to_string(number); }
  static std::string far_node(int number) { return "b" + std::to_string(number); }

  // @return the worker that took a request of n0.
  std::string take_slot(const std::string& id = "r1") {
    cluster.request("/fixed/x", id);
    return cluster.workers.calls.back().header(platform::kExpectInstance);
  }
  int others_online(const std::string& node, const std::string& worker) {
    return cluster.node(node).workers().find(worker)->others_online;
  }
  // How many nodes other than n0 know of the one request at the worker.
  int knowing(const std::string& worker) {
    int count = 0;
    for (const auto& [name, node] : cluster.nodes) {
      count += node && name != "n0" && others_online(name, worker) == 1 ? 1 : 0;
    }
    return count;
  }
  // The nodes of that zone that have sent the most datagrams lately: its relays.
  std::vector<std::string> busiest(const std::string& prefix) {
    std::map<std::string, int> before = sums();
    cluster.clock.run_for(seconds(1));
    std::vector<std::pair<int, std::string>> ranked;
    for (const auto& [name, sent] : sums()) {
      if (name.starts_with(prefix)) {
        ranked.push_back({sent - before[name], name});
      }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    return {ranked.at(0).second, ranked.at(1).second};
  }
  std::map<std::string, int> sums() {
    std::map<std::string, int> sums;
    for (const auto& [pair, count] : cluster.hub.sent) {
      sums[pair.first] += count;
    }
    return sums;
  }
  bool alive(const std::string& observer, const std::string& session) {
    return cluster.node(observer).peers().alive(session, cluster.shared.rows.version());
  }

  // n0 is a node of zone-a too.
  ServingCluster cluster{1, 8};
};

TEST_F(LoadRelayTest, ALoadIsKnownToAllNodesOfAllZonesWithinAThirdOfASecond) {
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(320));
  EXPECT_EQ(knowing(worker), 2 * kNodesOfAZone);
  cluster.workers.calls.back().begin();
  cluster.workers.calls.back().end();
  cluster.clock.run_for(milliseconds(320));
  for (const auto& [name, node] : cluster.nodes) {
    EXPECT_EQ(others_online(name, worker), 0) << name;
  }
}

TEST_F(LoadRelayTest, ANodeSendsFewDatagramsHoweverManyNodesThereAre) {
  const int before = sums()["n0"];
  for (int count = 0; count < 20; ++count) {
    take_slot("r" + std::to_string(count));
    cluster.clock.run_for(milliseconds(25));
    cluster.workers.calls.back().begin();
    cluster.workers.calls.back().end();
    cluster.clock.run_for(milliseconds(25));
  }
  // To two relays on each change, and to the others to show that it lives; a mesh sends some 900.
  EXPECT_LE(sums()["n0"] - before, 140);
}

TEST_F(LoadRelayTest, ANodeAsksTheStoreSeldomHoweverManyJobsChange) {
  cluster.answer_all(2, milliseconds(20));
  const uint64_t before = cluster.shared.calls;
  constexpr int kSeconds = 20;
  for (int second = 0; second < kSeconds; ++second) {
    cluster.node(near_node(second))
        .jobs()
        .submit(cluster.job("j" + std::to_string(second), 1), [](const auto&) {});
    cluster.clock.run_for(seconds(1));
  }
  const double calls = static_cast<double>(cluster.shared.calls - before);
  EXPECT_LE(calls / (2 * kNodesOfAZone + 1) / kSeconds, 1.4);
}

TEST_F(LoadRelayTest, OwnLoadIsNotCountedTwice) {
  const std::string worker = take_slot();
  for (int step = 0; step < 10; ++step) {
    cluster.clock.run_for(milliseconds(100));
    EXPECT_EQ(others_online("n0", worker), 0) << step;
  }
}

TEST_F(LoadRelayTest, TheLossOfARelayLeavesNoGap) {
  const std::string first = busiest("a").front();
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(400));
  cluster.kill_node(first);
  cluster.workers.calls.back().begin();
  cluster.workers.calls.back().end();
  cluster.clock.run_for(milliseconds(900));
  for (const auto& [name, node] : cluster.nodes) {
    if (node) {
      EXPECT_EQ(others_online(name, worker), 0) << name;
    }
  }
}

TEST_F(LoadRelayTest, AfterTheLossOfBothRelaysOthersRelay) {
  for (const std::string& relay : busiest("a")) {
    cluster.kill_node(relay);
  }
  cluster.clock.run_for(seconds(5));
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(320));
  EXPECT_EQ(knowing(worker), 2 * kNodesOfAZone - 2);
}

TEST_F(LoadRelayTest, NodesThatStartTogetherHearEachOtherSoon) {
  for (int number = 0; number < kNodesOfAZone; ++number) {
    cluster.kill_node(near_node(number));
    cluster.kill_node(far_node(number));
  }
  cluster.clock.run_for(seconds(1));
  for (int number = 0; number < kNodesOfAZone; ++number) {
    cluster.start_node(near_node(number), "zone-a");
    cluster.start_node(far_node(number), "zone-b");
    cluster.clock.run_for(milliseconds(5));
  }
  cluster.clock.run_for(milliseconds(400));
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(320));
  EXPECT_EQ(knowing(worker), 2 * kNodesOfAZone);
}

TEST_F(LoadRelayTest, AStoreThatIsDownForAllChangesNoRelay) {
  const std::vector<std::string> before = busiest("a");
  int number = 0;
  for (auto& [name, node] : cluster.nodes) {
    call_after(cluster.loop, milliseconds(40) * number++,
               [&store = node->store] { store.set_cut(true); });
  }
  std::set<std::string> relays;
  for (int step = 0; step < 60; ++step) {
    const std::map<std::string, int> sent = sums();
    cluster.clock.run_for(milliseconds(100));
    for (const auto& [name, count] : sums()) {
      // A relay sends its digests some thirty times to thirty nodes a second, others little.
      constexpr int kOfARelay = 60;
      if (name.starts_with("a") && count - sent.at(name) > kOfARelay) {
        relays.insert(name);
      }
    }
  }
  EXPECT_EQ(relays, std::set<std::string>{before.front()});
}

TEST_F(LoadRelayTest, LoadsOfALostNodeAreForgotten) {
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(400));
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(5));
  for (const auto& [name, node] : cluster.nodes) {
    if (node) {
      EXPECT_EQ(others_online(name, worker), 0) << name;
    }
  }
}

TEST_F(LoadRelayTest, ASilentNodeLapsesEverywhereSoonThoughFewHearItDirectly) {
  const std::string dead = cluster.node("n0").peers().own_session();
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(1));
  EXPECT_TRUE(alive(far_node(3), dead));
  cluster.clock.run_for(milliseconds(2500));
  for (const auto& [name, node] : cluster.nodes) {
    if (node) {
      EXPECT_FALSE(alive(name, dead)) << name;
    }
  }
}

// A node that relays in its own eyes alone hears the others seldom, and must not take them for
// gone.
TEST_F(LoadRelayTest, NobodyLapsesWhenRelaysChange) {
  for (int round = 0; round < 3; ++round) {
    for (const std::string& relay : busiest("a")) {
      cluster.kill_node(relay);
      cluster.start_node(relay, "zone-a");
    }
    for (int step = 0; step < 60; ++step) {
      cluster.clock.run_for(milliseconds(100));
      for (const char* observer : {"a3", "a11", "b4"}) {
        ASSERT_TRUE(alive(observer, cluster.node("n0").peers().own_session())) << round << step;
        ASSERT_TRUE(alive(observer, cluster.node("a20").peers().own_session())) << round << step;
        ASSERT_TRUE(alive(observer, cluster.node("b9").peers().own_session())) << round << step;
      }
    }
  }
}

TEST_F(LoadRelayTest, NobodyLapsesWhileAllLive) {
  for (int second = 0; second < 20; ++second) {
    cluster.clock.run_for(seconds(1));
    EXPECT_TRUE(alive(far_node(3), cluster.node("n0").peers().own_session())) << second;
    EXPECT_TRUE(alive("n0", cluster.node(far_node(7)).peers().own_session())) << second;
  }
}

// Failures at workers are told to all nodes at once, far more often than a node shows that it
// lives. A receiver that took this for the usual rate held the sender for dead once it grew quiet:
// on 295 nodes hundreds of sessions lapsed together, and jobs went from owner to owner.
TEST_F(LoadRelayTest, NobodyLapsesWhenANodeHasNoMoreFailuresToTell) {
  constexpr int kMoreFarNodes = 70;  // the farther half hears n0 each five seconds
  for (int number = 0; number < kMoreFarNodes; ++number) {
    cluster.start_node(far_node(kNodesOfAZone + number), "zone-b");
  }
  cluster.clock.run_for(seconds(6));
  for (int count = 0; count < 30; ++count) {
    cluster.request("/once/x", "r" + std::to_string(count));
    cluster.clock.run_for(milliseconds(50));
    cluster.workers.calls.back().fail(Ran::kUnknown);
    cluster.clock.run_for(milliseconds(50));
  }
  const std::string quiet = cluster.node("n0").peers().own_session();
  for (int step = 0; step < 100; ++step) {
    cluster.clock.run_for(milliseconds(100));
    for (const char* observer : {"b3", "b77", "a11"}) {
      ASSERT_TRUE(alive(observer, quiet)) << observer << " after " << step << " steps";
    }
  }
}

TEST_F(LoadRelayTest, AFailureAtAWorkerIsKnownEverywhereAtOnce) {
  cluster.request("/once/x", "r1");
  ScriptedCall& call = cluster.workers.calls.back();
  const std::string failing = call.header(platform::kExpectInstance);
  call.fail(Ran::kUnknown);
  cluster.clock.run_for(milliseconds(150));
  EXPECT_TRUE(cluster.node(far_node(7))
                  .workers()
                  .find(failing)
                  ->outcomes.paused(cluster.clock.monotonic_now()));
}

TEST_F(LoadRelayTest, LostDatagramsHealWithTheNextDigest) {
  cluster.hub.lose_every = 3;
  const std::string worker = take_slot();
  cluster.clock.run_for(seconds(2));
  cluster.hub.lose_every = 0;
  cluster.clock.run_for(milliseconds(400));
  EXPECT_EQ(knowing(worker), 2 * kNodesOfAZone);
}

// What comes from a session that is over, is older, or names no session, changes nothing.
TEST_F(LoadRelayTest, DigestsOfUnknownOrPastSessionsChangeNothing) {
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(400));
  const std::string relay = busiest("a").front();
  const std::string member = relay == near_node(1) ? near_node(2) : near_node(1);
  const auto deliver = [&](const std::string& session, uint64_t sequence) {
    load_digest forged;
    forged.session = session;
    forged.sequence = sequence;
    forged.entries.push_back(
        {static_cast<uint32_t>(cluster.node(member).workers().find(worker)->hash), 7, 7, 7});
    cluster.hub.receivers.at({member, 7660})({relay, 7660}, encode_load_digest(forged));
  };
  deliver("nobody#1", 1000000);
  deliver(relay + "#0", 1000000);
  deliver(cluster.node(relay).peers().own_session(), 1);
  EXPECT_EQ(others_online(member, worker), 1);
}

}  // namespace
}  // namespace chalkshed
