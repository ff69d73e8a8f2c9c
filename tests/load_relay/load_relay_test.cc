// Exchange of loads between many nodes of two zones through relays.
#include "chalkshed/load_relay.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class LoadRelayTest : public testing::Test {
 protected:
  static constexpr int kNodesPerZone = 30;

  LoadRelayTest() {
    for (int number = 0; number < kNodesPerZone; ++number) {
      cluster.start_node(zone_a_node(number), "zone-a");
      cluster.start_node(zone_b_node(number), "zone-b");
    }
    cluster.clock.run_for(seconds(4));
  }
  static std::string zone_a_node(int number) { return "a" + std::to_string(number); }
  static std::string zone_b_node(int number) { return "b" + std::to_string(number); }

  // Sends a request from n0. @return the worker that took it.
  std::string take_slot(const std::string& id = "r1") {
    cluster.request("/fixed/x", id);
    return cluster.workers.calls.back().header(platform::kExpectInstance);
  }
  int others_online(const std::string& node, const std::string& worker) {
    return cluster.node(node).workers().find(worker)->others_online;
  }
  // Number of nodes other than n0 that know of the one request at the worker.
  int nodes_that_know(const std::string& worker) {
    int count = 0;
    for (const auto& [name, node] : cluster.nodes) {
      count += node && name != "n0" && others_online(name, worker) == 1 ? 1 : 0;
    }
    return count;
  }
  // The two nodes of that zone that sent the most datagrams in the last second: its relays.
  std::vector<std::string> busiest_nodes(const std::string& prefix) {
    std::map<std::string, int> before = datagrams_sent();
    cluster.clock.run_for(seconds(1));
    std::vector<std::pair<int, std::string>> ranked;
    for (const auto& [name, sent] : datagrams_sent()) {
      if (name.starts_with(prefix)) {
        ranked.push_back({sent - before[name], name});
      }
    }
    std::sort(ranked.rbegin(), ranked.rend());
    return {ranked.at(0).second, ranked.at(1).second};
  }
  std::map<std::string, int> datagrams_sent() {
    std::map<std::string, int> datagrams_sent;
    for (const auto& [pair, count] : cluster.hub.sent) {
      datagrams_sent[pair.first] += count;
    }
    return datagrams_sent;
  }
  bool alive(const std::string& observer, const std::string& session) {
    return cluster.node(observer).peers().alive(session, cluster.shared.rows.version());
  }

  // n0 belongs to zone-a too.
  ServingCluster cluster{1, 8};
};

TEST_F(LoadRelayTest, ALoadIsKnownToAllNodesOfAllZonesWithinAThirdOfASecond) {
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(320));
  EXPECT_EQ(nodes_that_know(worker), 2 * kNodesPerZone);
  cluster.workers.calls.back().begin();
  cluster.workers.calls.back().end();
  cluster.clock.run_for(milliseconds(320));
  for (const auto& [name, node] : cluster.nodes) {
    EXPECT_EQ(others_online(name, worker), 0) << name;
  }
}

TEST_F(LoadRelayTest, ANodeSendsFewDatagramsRegardlessOfTheNumberOfNodes) {
  const int before = datagrams_sent()["n0"];
  for (int count = 0; count < 20; ++count) {
    take_slot("r" + std::to_string(count));
    cluster.clock.run_for(milliseconds(25));
    cluster.workers.calls.back().begin();
    cluster.workers.calls.back().end();
    cluster.clock.run_for(milliseconds(25));
  }
  // To two relays on each change, and to the others as a sign of life; without relays, it would
  // send some 900.
  EXPECT_LE(datagrams_sent()["n0"] - before, 140);
}

TEST_F(LoadRelayTest, ANodeQueriesTheStoreRarelyRegardlessOfTheNumberOfJobChanges) {
  cluster.answer_all(2, milliseconds(20));
  const uint64_t before = cluster.shared.calls;
  constexpr int kSeconds = 20;
  for (int second = 0; second < kSeconds; ++second) {
    cluster.node(zone_a_node(second))
        .jobs()
        .submit(cluster.job("j" + std::to_string(second), 1), [](const auto&) {});
    cluster.clock.run_for(seconds(1));
  }
  const double calls = static_cast<double>(cluster.shared.calls - before);
  EXPECT_LE(calls / (2 * kNodesPerZone + 1) / kSeconds, 1.4);
}

TEST_F(LoadRelayTest, OwnLoadIsNotCountedTwice) {
  const std::string worker = take_slot();
  for (int step = 0; step < 10; ++step) {
    cluster.clock.run_for(milliseconds(100));
    EXPECT_EQ(others_online("n0", worker), 0) << step;
  }
}

TEST_F(LoadRelayTest, TheLossOfARelayLeavesNoGap) {
  const std::string first = busiest_nodes("a").front();
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

TEST_F(LoadRelayTest, AfterTheLossOfBothRelaysOtherNodesTakeOver) {
  for (const std::string& relay : busiest_nodes("a")) {
    cluster.kill_node(relay);
  }
  cluster.clock.run_for(seconds(5));
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(320));
  EXPECT_EQ(nodes_that_know(worker), 2 * kNodesPerZone - 2);
}

TEST_F(LoadRelayTest, NodesThatStartTogetherExchangeLoadsSoon) {
  for (int number = 0; number < kNodesPerZone; ++number) {
    cluster.kill_node(zone_a_node(number));
    cluster.kill_node(zone_b_node(number));
  }
  cluster.clock.run_for(seconds(1));
  for (int number = 0; number < kNodesPerZone; ++number) {
    cluster.start_node(zone_a_node(number), "zone-a");
    cluster.start_node(zone_b_node(number), "zone-b");
    cluster.clock.run_for(milliseconds(5));
  }
  cluster.clock.run_for(milliseconds(400));
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(320));
  EXPECT_EQ(nodes_that_know(worker), 2 * kNodesPerZone);
}

TEST_F(LoadRelayTest, AStoreOutageForAllNodesChangesNoRelay) {
  const std::vector<std::string> before = busiest_nodes("a");
  int number = 0;
  for (auto& [name, node] : cluster.nodes) {
    call_after(cluster.loop, milliseconds(40) * number++,
               [&store = node->store] { store.set_cut(true); });
  }
  std::set<std::string> relays;
  for (int step = 0; step < 60; ++step) {
    const std::map<std::string, int> sent = datagrams_sent();
    cluster.clock.run_for(milliseconds(100));
    for (const auto& [name, count] : datagrams_sent()) {
      // A relay sends about thirty digests per second to thirty nodes; other nodes send few
      // datagrams.
      constexpr int kMinSentByRelay = 60;
      if (name.starts_with("a") && count - sent.at(name) > kMinSentByRelay) {
        relays.insert(name);
      }
    }
  }
  EXPECT_EQ(relays, std::set<std::string>{before.front()});
}

TEST_F(LoadRelayTest, LoadsOfALostNodeAreDropped) {
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

TEST_F(LoadRelayTest, ASilentNodeLapsesEverywhereSoonAlthoughFewHearItDirectly) {
  const std::string dead = cluster.node("n0").peers().own_session();
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(1));
  EXPECT_TRUE(alive(zone_b_node(3), dead));
  cluster.clock.run_for(milliseconds(2500));
  for (const auto& [name, node] : cluster.nodes) {
    if (node) {
      EXPECT_FALSE(alive(name, dead)) << name;
    }
  }
}

// A node that considers itself a relay while others don't hears from the others rarely, and must
// not consider them lapsed.
TEST_F(LoadRelayTest, NoSessionLapsesWhenRelaysChange) {
  for (int round = 0; round < 3; ++round) {
    for (const std::string& relay : busiest_nodes("a")) {
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

TEST_F(LoadRelayTest, NoSessionLapsesWhileAllNodesAreAlive) {
  for (int second = 0; second < 20; ++second) {
    cluster.clock.run_for(seconds(1));
    EXPECT_TRUE(alive(zone_b_node(3), cluster.node("n0").peers().own_session())) << second;
    EXPECT_TRUE(alive("n0", cluster.node(zone_b_node(7)).peers().own_session())) << second;
  }
}

// Regression test: failures at workers are reported to all nodes at once, far more often than plain
// heartbeats. A receiver that took this for the usual rate considered the sender dead once it
// became quiet: with 295 nodes, hundreds of sessions lapsed together and jobs moved from owner to
// owner.
TEST_F(LoadRelayTest, NoSessionLapsesWhenANodeStopsReportingFailures) {
  constexpr int kMoreZoneBNodes = 70;  // the farther half gets a heartbeat of n0 every five seconds
  for (int number = 0; number < kMoreZoneBNodes; ++number) {
    cluster.start_node(zone_b_node(kNodesPerZone + number), "zone-b");
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

TEST_F(LoadRelayTest, AFailureAtAWorkerReachesAllNodesAtOnce) {
  cluster.request("/once/x", "r1");
  ScriptedCall& call = cluster.workers.calls.back();
  const std::string failing = call.header(platform::kExpectInstance);
  call.fail(Ran::kUnknown);
  cluster.clock.run_for(milliseconds(150));
  EXPECT_TRUE(cluster.node(zone_b_node(7))
                  .workers()
                  .find(failing)
                  ->outcomes.paused(cluster.clock.monotonic_now()));
}

TEST_F(LoadRelayTest, TheNextDigestMakesUpForLostDatagrams) {
  cluster.hub.lose_every = 3;
  const std::string worker = take_slot();
  cluster.clock.run_for(seconds(2));
  cluster.hub.lose_every = 0;
  cluster.clock.run_for(milliseconds(400));
  EXPECT_EQ(nodes_that_know(worker), 2 * kNodesPerZone);
}

// The node with the samples is in zone-a; half of the others learn them from the relay of zone-b.
TEST_F(LoadRelayTest, SamplesOfAWorkersSpeedReachAllNodesAndSurviveTheLossOfBothRelays) {
  WorkerSet& own = cluster.node("n0").workers();
  const auto learn = [&](const std::string& name, double speed) {
    ServingWorker& worker = *own.find(name);
    const WorkerLoadReport load{1, 0, 4, 1.0};
    own.note_report(worker, load);
    own.note_pace(
        worker, {PaceKind::kEvents, std::chrono::duration_cast<Duration>(milliseconds(10) / speed),
                 milliseconds(300), load});
  };
  for (int round = 0; round < 30; ++round) {
    learn("i-0", 0.6);
    learn("i-1", 1.6);
  }
  take_slot();
  const auto expect_known = [&](const char* when) {
    for (const auto& [name, node] : cluster.nodes) {
      if (node) {
        WorkerSet& workers = node->node.workers();
        EXPECT_NEAR(workers.find("i-1")->speed.speed() / workers.find("i-0")->speed.speed(),
                    1.6 / 0.6, 0.3)
            << name << " " << when;
      }
    }
  };
  cluster.clock.run_for(milliseconds(500));
  expect_known("after half a second");
  for (const std::string& relay : busiest_nodes("a")) {
    cluster.kill_node(relay);
  }
  learn("i-0", 0.6);
  learn("i-1", 1.6);
  cluster.clock.run_for(seconds(5));
  expect_known("after the loss of both relays");
}

// Digests from ended or unknown sessions, and outdated digests, are ignored.
TEST_F(LoadRelayTest, DigestsOfUnknownOrEndedSessionsAreIgnored) {
  const std::string worker = take_slot();
  cluster.clock.run_for(milliseconds(400));
  const std::string relay = busiest_nodes("a").front();
  const std::string member = relay == zone_a_node(1) ? zone_a_node(2) : zone_a_node(1);
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
