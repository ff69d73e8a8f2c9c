// What a node does for the announcements of its peers must not grow with the square of their
// number.
#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

class ManyPeersTest : public testing::Test {
 protected:
  ManyPeersTest() {
    exchange.set_on_peers_changed([this](const std::vector<relay_candidate>& peers) {
      ++updates;
      copied += peers.size();
    });
    exchange.on_listed();
    updates = 0;
    copied = 0;
  }
  // They arrive as the pages of the table do: in one turn of the loop.
  void announce(size_t count) {
    for (size_t index = 0; index < count; ++index) {
      const std::string node = "n" + std::to_string(index);
      const nlohmann::json value = {
          {"session", node + "#1"}, {"zone", "zone-a"},    {"ip", node},
          {"port", 7660},           {"caller_port", 8144}, {"capacity", 0.5}};
      exchange.on_row({{kNodeTable, "", node}, value.dump(), index + 1, false});
    }
    clock.run_for(milliseconds(1));
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  SharedStore shared;
  MemoryWatchedStore store{shared, clock, dispatcher};
  StoreClock store_clock{clock};
  DatagramHub hub{dispatcher};
  HubDatagrams datagrams{hub, {"own", 7660}};
  SeededRandomGenerator random{3};
  WorkerSet workers{clock, random, "zone-a"};
  NullLogger logger;
  NullMetricsRegistry metrics;
  PeerExchange exchange{
      clock,       dispatcher, store,
      store_clock, datagrams,  workers,
      logger,      metrics,    {"own", "own#1", "zone-a", {"own", 7660}, kCallerPort}};
  size_t updates = 0;
  size_t copied = 0;  // entries of peers handed to the modules that keep them
};

// 986 x 986 entries were copied at the start of each of 986 nodes.
TEST_F(ManyPeersTest, APageOfAnnouncementsIsTakenInAtOnce) {
  announce(1000);
  EXPECT_EQ(updates, 1U);
  EXPECT_EQ(copied, 1000U);
  EXPECT_TRUE(exchange.relayed());
}

TEST_F(ManyPeersTest, TheRankAmongTheAnnouncedIsTheSameWhetherTheyLiveOrNot) {
  announce(100);
  const std::optional<size_t> rank = exchange.announced_rank("worker");
  ASSERT_TRUE(rank);
  clock.run_for(seconds(60));
  EXPECT_EQ(exchange.announced_rank("worker"), rank);
}

}  // namespace
}  // namespace chalkshed
