#include "src/peers/peer_exchange.h"

#include <gtest/gtest.h>

#include <set>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class PeerExchangeTest : public testing::Test {
 protected:
  PeerExchangeTest() { cluster.clock.run_for(seconds(1)); }
  SessionView& view(const std::string& node) { return cluster.node(node).peers(); }
  std::string session(const std::string& node) { return view(node).own_session(); }
  bool alive(const std::string& observer, const std::string& of) {
    return view(observer).alive(of, cluster.shared.rows.version());
  }

  ServingCluster cluster{3, 2};
};

TEST_F(PeerExchangeTest, NodesSeeEachOther) {
  EXPECT_TRUE(alive("n0", session("n1")));
  EXPECT_TRUE(alive("n2", session("n0")));
  const size_t ranks = view("n0").rank("k") + view("n1").rank("k") + view("n2").rank("k");
  EXPECT_EQ(ranks, 0U + 1U + 2U);
}

TEST_F(PeerExchangeTest, ASilentNodeLapsesWithinSeconds) {
  const std::string dead = session("n1");
  cluster.kill_node("n1");
  cluster.clock.run_for(seconds(2));
  EXPECT_TRUE(alive("n0", dead));
  cluster.clock.run_for(seconds(1));
  EXPECT_FALSE(alive("n0", dead));
}

TEST_F(PeerExchangeTest, ARestartEndsThePreviousSessionAtOnce) {
  const std::string before = session("n1");
  const StoreVersion seen = cluster.shared.rows.version();
  cluster.kill_node("n1");
  cluster.start_node("n1");
  cluster.clock.run_for(milliseconds(100));
  EXPECT_FALSE(view("n0").alive(before, seen));
  EXPECT_TRUE(alive("n0", session("n1")));
}

// Guards against nodes that take each other for gone for good: the store carries out the
// announcement of a killed process after that of its successor.
TEST_F(PeerExchangeTest, AnAnnouncementOfAnEarlierProcessThatIsDoneLateIsReplaced) {
  const auto row_of = [this](const std::string& node) {
    return cluster.shared.rows.read({kNodeTable, "", node, node + "~", 1}).rows.at(0).value;
  };
  std::map<std::string, std::string> earlier;
  const std::string killed = session("n1");
  const StoreVersion seen = cluster.shared.rows.version();
  for (const char* node : {"n0", "n1", "n2"}) {
    earlier[node] = row_of(node);
    cluster.kill_node(node);
    cluster.start_node(node);
  }
  cluster.clock.run_for(seconds(2));
  for (int times = 0; times < 2; ++times) {
    for (const auto& [node, row] : earlier) {
      cluster.put(kNodeTable, node, row);
    }
    cluster.clock.run_for(milliseconds(100));
  }
  for (int step = 0; step < 60; ++step) {
    cluster.clock.run_for(milliseconds(100));
    ASSERT_TRUE(alive("n0", session("n1")));
    ASSERT_TRUE(alive("n1", session("n2")));
    ASSERT_TRUE(alive("n2", session("n0")));
  }
  EXPECT_NE(row_of("n1"), earlier["n1"]);
  EXPECT_FALSE(view("n0").alive(killed, seen));
}

// The process sends heartbeats; a build that doesn't announce itself again is not gone either.
TEST_F(PeerExchangeTest, ANodeThatIsHeardIsAliveWhateverTheStoreAnnounces) {
  cluster.nodes.at("n1")->store.set_cut(true);
  cluster.clock.run_for(milliseconds(100));
  cluster.put(kNodeTable, "n1", R"({"session": "n1#0", "ip": "n1", "port": 7660})");
  for (int step = 0; step < 30; ++step) {
    cluster.clock.run_for(milliseconds(100));
    ASSERT_TRUE(alive("n0", session("n1")));
  }
  const std::string dead = session("n1");
  cluster.kill_node("n1");
  cluster.clock.run_for(seconds(6));
  EXPECT_FALSE(alive("n0", dead));
}

TEST_F(PeerExchangeTest, ANodeThatLostTheStoreLapsesForNodesThatReachIt) {
  cluster.nodes.at("n1")->store.set_cut(true);
  cluster.clock.run_for(seconds(6));
  EXPECT_FALSE(alive("n0", session("n1")));
  EXPECT_TRUE(alive("n1", session("n0"))) << "the node that is cut off takes no peer for lapsed";
}

TEST_F(PeerExchangeTest, OnlyAPeerThatReachesTheStoreIsSelected) {
  cluster.nodes.at("n1")->store.set_cut(true);
  cluster.clock.run_for(seconds(6));
  for (uint64_t seed = 0; seed < 20; ++seed) {
    EXPECT_EQ(view("n0").peer_with_store(seed), (Address{"n2", kCallerPort}));
  }
  cluster.shared.trouble.silent = true;
  cluster.clock.run_for(seconds(6));
  EXPECT_EQ(view("n0").peer_with_store(0), std::nullopt);
}

TEST_F(PeerExchangeTest, AllPeersThatReachTheStoreAreSelected) {
  std::set<std::string> named;
  for (uint64_t seed = 0; seed < 40; ++seed) {
    named.insert(view("n0").peer_with_store(seed)->ip);
  }
  EXPECT_EQ(named, (std::set<std::string>{"n1", "n2"}));
}

TEST_F(PeerExchangeTest, NoNodeLapsesWhileTheStoreIsDownForAll) {
  cluster.shared.trouble.silent = true;
  cluster.clock.run_for(seconds(10));
  EXPECT_TRUE(alive("n0", session("n1")));
}

// After an outage for all nodes, the first node to reach the store again must not take the others
// for cut off because of their reports during the outage.
TEST_F(PeerExchangeTest, NoNodeLapsesWhenTheStoreRecoversForOneNodeFirst) {
  cluster.shared.trouble.silent = true;
  cluster.clock.run_for(seconds(6));
  cluster.nodes.at("n1")->store.set_cut(true);
  cluster.nodes.at("n2")->store.set_cut(true);
  cluster.shared.trouble.silent = false;
  const MonotonicTime regained = cluster.clock.monotonic_now();
  for (int step = 0; step < 200; ++step) {
    cluster.clock.run_for(milliseconds(20));
    if (cluster.clock.monotonic_now() - regained > milliseconds(1500)) {
      cluster.nodes.at("n1")->store.set_cut(false);
      cluster.nodes.at("n2")->store.set_cut(false);
    }
    for (const char* other : {"n1", "n2"}) {
      ASSERT_TRUE(alive("n0", session(other))) << other << " after " << step << " steps";
    }
  }
}

TEST_F(PeerExchangeTest, ASuspendedNodeTakesNoPeerForLapsed) {
  cluster.nodes.at("n0")->dispatcher.freeze();
  cluster.clock.run_for(seconds(6));
  cluster.nodes.at("n0")->dispatcher.thaw();
  EXPECT_TRUE(alive("n0", session("n1")));
  cluster.clock.run_for(milliseconds(300));
  EXPECT_TRUE(alive("n0", session("n1")));
}

// Nodes that were suspended together must not take over each other's jobs when they resume.
TEST_F(PeerExchangeTest, ASuspensionDoesNotCountAsStoreSilence) {
  for (const char* node : {"n0", "n1"}) {
    cluster.nodes.at(node)->dispatcher.freeze();
  }
  cluster.clock.run_for(seconds(6));
  for (const char* node : {"n0", "n1"}) {
    cluster.nodes.at(node)->dispatcher.thaw();
  }
  for (int step = 0; step < 100; ++step) {
    cluster.clock.run_for(milliseconds(10));
    ASSERT_TRUE(alive("n0", session("n1"))) << step;
    ASSERT_TRUE(alive("n1", session("n0"))) << step;
  }
  EXPECT_TRUE(alive("n2", session("n0")));
}

TEST_F(PeerExchangeTest, UsedSlotsAreKnownToOtherNodesWithinTensOfMilliseconds) {
  cluster.request("/stream/x");
  const std::string worker = cluster.workers.calls.back().header(platform::kExpectInstance);
  cluster.clock.run_for(milliseconds(50));
  EXPECT_EQ(cluster.node("n1").workers().find(worker)->others_online, 1);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(cluster.node("n1").workers().find(worker)->others_online, 0)
      << "the load ended with its node";
}

// A peer may use a new worker before the worker's record has arrived here.
TEST_F(PeerExchangeTest, ALoadThatIsReportedBeforeTheWorkerIsKnownCountsOnceItIs) {
  Heartbeat heartbeat;
  heartbeat.session = session("n0");
  heartbeat.loads = {{content_hash("i-new") & UINT32_MAX, 3, 0, 0}};
  const auto deliver = [&](uint64_t sequence) {
    heartbeat.sequence = sequence;
    cluster.hub.receivers.at({"n1", 7660})({"n0", 7660}, encode_heartbeat(heartbeat));
  };
  deliver(1000000);
  cluster.write_worker("i-new", 9, "ready");
  cluster.clock.run_for(milliseconds(100));
  deliver(1000001);
  const WorkerPtr worker = cluster.node("n1").workers().find("i-new");
  ASSERT_TRUE(worker);
  EXPECT_EQ(worker->others_online, 3);
  heartbeat.loads.clear();
  deliver(1000002);
  EXPECT_EQ(worker->others_online, 0);
}

TEST_F(PeerExchangeTest, AWorkerThatFailsAtOneNodeIsAvoidedByAll) {
  cluster.request("/once/x", "r1");
  ScriptedCall& call = cluster.workers.calls.back();
  const std::string failing = call.header(platform::kExpectInstance);
  call.fail(Ran::kUnknown);
  cluster.clock.run_for(milliseconds(80));
  const MonotonicTime now = cluster.clock.monotonic_now();
  EXPECT_TRUE(cluster.node("n1").workers().find(failing)->outcomes.paused(now));
  EXPECT_TRUE(cluster.node("n2").workers().find(failing)->outcomes.suspect(now));
  // A success at any node clears it for all.
  WorkerSet& workers = cluster.node("n2").workers();
  workers.note_success(*workers.find(failing));
  cluster.clock.run_for(milliseconds(600));
  EXPECT_FALSE(cluster.node("n1").workers().find(failing)->outcomes.suspect(now));
}

// A node with faulty links sees all workers fail; the other nodes must not adopt its outcomes.
TEST(PeerOutcomesTest, OutcomesOfANodeForWhichMostWorkersFailAreIgnored) {
  ServingCluster cluster(2, 8);
  cluster.clock.run_for(seconds(1));
  WorkerSet& ill = cluster.node("n0").workers();
  for (const auto& [incarnation, worker] : ill.workers()) {
    ill.note_failure(*worker, cluster.clock.monotonic_now());
  }
  cluster.clock.run_for(milliseconds(100));
  for (const auto& [incarnation, worker] : cluster.node("n1").workers().workers()) {
    EXPECT_FALSE(worker->outcomes.suspect(cluster.clock.monotonic_now()));
  }
}

// Two nodes, n0 and n1, in one zone, and many more in another.
class ZonesTest : public testing::Test {
 protected:
  static constexpr int kFarNodes = 40;
  ZonesTest() {
    for (int number = 0; number < kFarNodes; ++number) {
      cluster.start_node("far" + std::to_string(number), "zone-b");
    }
    cluster.clock.run_for(seconds(3));
  }
  int sent(const std::string& to) { return cluster.hub.sent[{"n0", to}]; }
  // Keeps the load of n0 changing for a second.
  void keep_busy() {
    for (int count = 0; count < 20; ++count) {
      cluster.request("/plain/x", "r" + std::to_string(count));
      cluster.clock.run_for(milliseconds(25));
      cluster.workers.calls.back().begin();
      cluster.workers.calls.back().end();
      cluster.clock.run_for(milliseconds(25));
    }
  }

  ServingCluster cluster{2, 8};
};

TEST_F(ZonesTest, LoadsAreReportedOftenInsideTheZoneAndRarelyOutside) {
  const int near_before = sent("n1");
  const int far_before = sent("far0");
  keep_busy();
  EXPECT_GE(sent("n1") - near_before, 14);
  EXPECT_LE(sent("far0") - far_before, 8);
  EXPECT_GE(sent("far0") - far_before, 2) << "far nodes must see that it is alive";
}

TEST_F(ZonesTest, AFailureIsReportedToAllZonesAtOnce) {
  cluster.clock.run_for(milliseconds(100));
  cluster.request("/once/x", "r1");
  ScriptedCall& call = cluster.workers.calls.back();
  const std::string failing = call.header(platform::kExpectInstance);
  call.fail(Ran::kUnknown);
  cluster.clock.run_for(milliseconds(150));
  EXPECT_TRUE(
      cluster.node("far7").workers().find(failing)->outcomes.paused(cluster.clock.monotonic_now()));
}

TEST_F(ZonesTest, NoNodeLapsesHoweverRarelyItSends) {
  cluster.clock.run_for(seconds(10));
  SessionView& view = cluster.node("far3").peers();
  EXPECT_TRUE(view.alive(cluster.node("n0").peers().own_session(), cluster.shared.rows.version()));
}

TEST(HeartbeatTest, CarriesJobRemainders) {
  Heartbeat heartbeat;
  heartbeat.session = "n1#1";
  heartbeat.remainders.push_back({1, 2, uint64_t{1} << 40U});
  const std::optional<Heartbeat> read = decode_heartbeat(encode_heartbeat(heartbeat));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->remainders.size(), 1U);
  EXPECT_EQ(read->remainders.front().job, 1U);
  EXPECT_EQ(read->remainders.front().queue, 2U);
  EXPECT_EQ(read->remainders.front().tokens, uint64_t{1} << 40U);
}

TEST(HeartbeatTest, RoundTripsAndRejectsMalformedBytes) {
  Heartbeat heartbeat;
  heartbeat.session = "n#1";
  heartbeat.sequence = 7;
  heartbeat.draining = true;
  heartbeat.store_silence = milliseconds(1500);
  heartbeat.store_version = 99;
  heartbeat.loads = {{42, 3, 1, 12345}};
  heartbeat.outcomes = {{43, milliseconds(120), std::nullopt, 4}};
  const std::string datagram = encode_heartbeat(heartbeat);
  const std::optional<Heartbeat> read = decode_heartbeat(datagram);
  ASSERT_TRUE(read);
  EXPECT_EQ(read->session, "n#1");
  EXPECT_EQ(read->sequence, 7U);
  EXPECT_TRUE(read->draining);
  EXPECT_EQ(read->store_silence, milliseconds(1500));
  EXPECT_EQ(read->store_version, 99U);
  ASSERT_EQ(read->loads.size(), 1U);
  EXPECT_EQ(read->loads[0].prompt_tokens, 12345U);
  ASSERT_EQ(read->outcomes.size(), 1U);
  EXPECT_EQ(read->outcomes[0].worker, 43U);
  EXPECT_EQ(read->outcomes[0].failed_ago, milliseconds(120));
  EXPECT_EQ(read->outcomes[0].succeeded_ago, std::nullopt);
  EXPECT_EQ(read->outcomes[0].failures, 4U);
  for (size_t size = 0; size < datagram.size(); size += 3) {
    decode_heartbeat(std::string_view(datagram).substr(0, size));  // must not crash
  }
  EXPECT_FALSE(decode_heartbeat("noise"));
}

}  // namespace
}  // namespace chalkshed
