// Nodes that the store does not answer get configurations and workers from their peers.
#include "chalkshed/row_handover.h"

#include <gtest/gtest.h>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

uint64_t version_at(ServingCluster& cluster, const std::string& node) {
  return cluster.node(node).routes()->version();
}

TEST(RowHandoverTest, ANodeThatLostTheStoreLearnsANewConfigurationFromAPeerWithinASecond) {
  ServingCluster cluster(4);
  cluster.clock.run_for(seconds(3));
  for (const char* node : {"n2", "n3"}) {
    cluster.nodes.at(node)->store.set_cut(true);
  }
  cluster.clock.run_for(seconds(1));
  cluster.write_configuration(2);
  cluster.clock.run_for(seconds(1));
  for (const char* node : {"n0", "n1", "n2", "n3"}) {
    EXPECT_EQ(version_at(cluster, node), 2U) << node;
  }
}

TEST(RowHandoverTest, ManyNodesThatLostTheStoreLearnANewConfigurationFromPeers) {
  ServingCluster cluster(1);
  for (int number = 0; number < 30; ++number) {
    cluster.start_node("a" + std::to_string(number), "zone-a");
    cluster.start_node("b" + std::to_string(number), "zone-b");
  }
  cluster.clock.run_for(seconds(5));
  for (int number = 0; number < 30; number += 3) {
    cluster.nodes.at("a" + std::to_string(number))->store.set_cut(true);
    cluster.nodes.at("b" + std::to_string(number))->store.set_cut(true);
  }
  cluster.clock.run_for(seconds(1));
  cluster.write_configuration(2);
  cluster.clock.run_for(milliseconds(1500));
  for (const auto& [name, node] : cluster.nodes) {
    EXPECT_EQ(version_at(cluster, name), 2U) << name;
  }
}

TEST(RowHandoverTest, AddedAndRemovedWorkersAreLearnedFromPeers) {
  ServingCluster cluster(3);
  cluster.clock.run_for(seconds(3));
  cluster.nodes.at("n2")->store.set_cut(true);
  cluster.write_worker("i-9", 9, "ready");
  cluster.write_worker("i-0", 0, "draining");
  cluster.put("servers", "i-1", std::nullopt);
  cluster.clock.run_for(milliseconds(1500));
  WorkerSet& workers = cluster.node("n2").workers();
  ASSERT_NE(workers.find("i-9"), nullptr);
  EXPECT_TRUE(workers.find("i-0")->record.leaving);
  EXPECT_FALSE(workers.find("i-1")->listed);
}

TEST(RowHandoverTest, TheConfigurationVersionNeverDecreases) {
  ServingCluster cluster(2);
  cluster.clock.run_for(seconds(3));
  cluster.nodes.at("n1")->store.set_cut(true);
  cluster.write_configuration(2);
  cluster.clock.run_for(seconds(1));
  ASSERT_EQ(version_at(cluster, "n1"), 2U);
  cluster.nodes.at("n1")->store.set_cut(false);
  cluster.write_configuration(3);
  for (int step = 0; step < 100; ++step) {
    const uint64_t before = version_at(cluster, "n1");
    cluster.clock.run_for(milliseconds(50));
    EXPECT_GE(version_at(cluster, "n1"), before);
  }
  EXPECT_EQ(version_at(cluster, "n1"), 3U);
}

TEST(RowHandoverTest, WhileTheStoreAnswersNoPeerIsAsked) {
  ServingCluster cluster(4);
  cluster.clock.run_for(seconds(2));
  for (uint64_t version = 2; version < 30; ++version) {
    cluster.write_configuration(version);
    cluster.write_worker("i-" + std::to_string(version), version, "ready");
    cluster.clock.run_for(milliseconds(250));
  }
  EXPECT_EQ(cluster.handed_pages, 0);
}

// The serving peer has never had the worker's record: it listed the table after the removal.
TEST(RowHandoverTest, ARemovalIsLearnedAlsoFromANodeThatListedTheTableLater) {
  ServingCluster cluster(1);
  ServingCluster* const one = &cluster;
  const auto watch = [one](MemoryWatchedStore& store, TableObserver& observer) {
    static NullLogger logger;
    return std::make_unique<TableWatcher>(one->clock, one->loop, store, logger, "servers",
                                          std::vector<std::string>{""}, observer,
                                          TableWatcherKnobs{.pace = {}, .keep_values = true});
  };
  class Keys : public TableObserver {
   public:
    void on_row(const StoredRow& row) override {
      row.removed ? keys.erase(row.key.key) : keys.insert(row.key.key).second;
    }
    std::set<std::string> keys;
  };
  MemoryWatchedStore early_store(cluster.shared, cluster.clock, cluster.loop);
  MemoryWatchedStore late_store(cluster.shared, cluster.clock, cluster.loop);
  Keys early_keys;
  Keys late_keys;
  const auto early = watch(early_store, early_keys);
  early->start();
  cluster.clock.run_for(milliseconds(50));
  early_store.set_cut(true);
  cluster.put("servers", "i-1", std::nullopt);
  const auto late = watch(late_store, late_keys);
  late->start();
  cluster.clock.run_for(milliseconds(50));
  cluster.write_worker("i-9", 9, "ready");
  cluster.clock.run_for(milliseconds(50));
  early->learn(*late->page_after(early->known_through()), cluster.clock.monotonic_now());
  EXPECT_EQ(early_keys.keys, (std::set<std::string>{"i-0", "i-9"}));
}

// Guards against: a node that stood still took a page that had waited for it for as recent as it
// was when its peer sent it.
TEST(RowHandoverTest, APageIsAsOldAsTheRequestForIt) {
  ServingCluster cluster(1);
  class Nothing : public TableObserver {
    void on_row(const StoredRow& /*row*/) override {}
  };
  Nothing observer;
  NullLogger logger;
  MemoryWatchedStore store(cluster.shared, cluster.clock, cluster.loop);
  TableWatcher watcher(cluster.clock, cluster.loop, store, logger, "servers", {""}, observer,
                       TableWatcherKnobs{.pace = {}, .keep_values = true});
  const MonotonicTime asked = cluster.clock.monotonic_now();
  table_page page;
  page.through = cluster.shared.rows.version();
  page.whole = true;
  page.age = seconds(1);
  cluster.clock.run_for(seconds(3));
  watcher.learn(page, asked);
  EXPECT_EQ(watcher.age(), seconds(4));
}

// In a zone with relays, members get changes of workers from peers: the store sends them no row.
TEST(RowHandoverTest, AMemberOfAZoneWithRelaysLearnsWorkersFromPeersWithinASecond) {
  ServingCluster cluster(1);
  for (int number = 0; number < 59; ++number) {
    cluster.start_node("a" + std::to_string(number), "zone-a");
  }
  cluster.clock.run_for(seconds(8));
  const int before = cluster.handed_pages;
  cluster.write_worker("i-9", 9, "ready");
  cluster.write_worker("i-0", 0, "draining");
  cluster.put("servers", "i-1", std::nullopt);
  cluster.clock.run_for(seconds(1));
  size_t members = 0;
  for (const auto& [name, node] : cluster.nodes) {
    WorkerSet& workers = node->node.workers();
    ASSERT_NE(workers.find("i-9"), nullptr) << name;
    EXPECT_TRUE(workers.find("i-0")->record.leaving) << name;
    EXPECT_FALSE(workers.find("i-1")->listed) << name;
    ++members;
  }
  EXPECT_GE(cluster.handed_pages - before, static_cast<int>(members) / 2);
}

// When nodes and workers start together, the store sends each worker's row to few nodes. Sending it
// to all would be 60 x 400 rows; 1,842 were sent when members did not wait for their relay, 856
// when they did.
TEST(RowHandoverTest, WorkersThatStartWithAllNodesAreReadFromTheStoreByFew) {
  constexpr size_t kNodes = 60;
  constexpr size_t kWorkers = 400;
  ServingCluster cluster(0, 0);
  for (size_t number = 0; number < kNodes; ++number) {
    cluster.start_node("a" + std::to_string(number), "zone-a");
  }
  for (size_t number = 0; number < kWorkers; ++number) {
    cluster.write_worker("i-" + std::to_string(number), number, "ready");
    cluster.clock.run_for(milliseconds(5));
  }
  cluster.clock.run_for(seconds(8));
  for (const auto& [name, node] : cluster.nodes) {
    EXPECT_EQ(node->node.workers().workers().size(), kWorkers) << name;
  }
  EXPECT_LE(cluster.shared.rows_followed["servers"], kNodes * kWorkers / 20);
}

// While all relays are cut off, no node reports changes; members get them from the store in time.
TEST(RowHandoverTest, MembersLearnOfALeavingWorkerFromTheStoreWhileTheRelaysAreCutOff) {
  ServingCluster cluster(1);
  for (int number = 0; number < 59; ++number) {
    cluster.start_node("a" + std::to_string(number), "zone-a");
  }
  cluster.clock.run_for(seconds(8));
  std::vector<std::string> relays;
  for (const auto& [name, node] : cluster.nodes) {
    if (!node->node.is_relay_member()) {
      node->store.set_cut(true);
      relays.push_back(name);
    }
  }
  EXPECT_EQ(relays.size(), 2U);
  cluster.clock.run_for(seconds(5));
  cluster.write_worker("i-0", 0, "draining");
  cluster.clock.run_for(seconds(2));
  for (const auto& [name, node] : cluster.nodes) {
    if (node->node.is_relay_member()) {
      EXPECT_TRUE(node->node.workers().find("i-0")->record.leaving) << name;
    }
  }
}

TEST(RowHandoverTest, PagesDecodeCompletelyOrNotAtAll) {
  const std::vector<StoredRow> rows = {{{"t", "p", "k"}, std::string("v\0w", 3), 7, false},
                                       {{"t", "", "gone"}, "", 9, true}};
  const std::string bytes = encode_rows("t", rows);
  const auto read = decode_rows("t", bytes);
  ASSERT_TRUE(read);
  ASSERT_EQ(read->size(), 2U);
  EXPECT_EQ((*read)[0].key, rows[0].key);
  EXPECT_EQ((*read)[0].value, rows[0].value);
  EXPECT_TRUE((*read)[1].removed);
  EXPECT_FALSE(decode_rows("other", bytes));
  EXPECT_FALSE(decode_rows("t", std::string_view(bytes).substr(0, bytes.size() / 2)));
  EXPECT_FALSE(decode_rows("t", ""));
}

TEST(RowHandoverTest, OnlyKnownTablesAreServed) {
  ServingCluster cluster(1);
  for (const char* path : {"/rows/job/0", "/rows/op/x", "/rows/op", "/rows//1", "/", "/lots/j1"}) {
    HttpRequest request;
    request.method = "GET";
    request.path = path;
    auto seen = std::make_shared<SeenAnswer>();
    cluster.node().peer_handler().handle(request, std::make_unique<FakeWriter>(seen));
    EXPECT_EQ(seen->status, 404) << path;
  }
}

}  // namespace
}  // namespace chalkshed
