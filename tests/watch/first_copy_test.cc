// A node that starts in a large fleet copies a table from a peer and ends up with the store's rows.
#include "chalkshed/first_copy.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <map>

#include "chalkshed/row_handover.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr const char* kTable = "t";

class RecordingObserver : public TableObserver {
 public:
  void on_row(const StoredRow& row) override {
    if (row.removed) {
      values.erase(row.key.key);
    } else {
      values[row.key.key] = row.value;
    }
  }
  void on_listed() override { ++listed; }
  std::map<std::string, std::string> values;
  int listed = 0;
};

// Counts the pages that are read from the store.
class CountingStore : public WatchedStore {
 public:
  explicit CountingStore(WatchedStore& inner) : inner_(inner) {}
  void read_range(RangeRead range, Callback<RangePage> callback) override {
    ++pages;
    if (fail_every != 0 && pages % fail_every == 0) {
      callback(tl::unexpected(not_run(ErrorKind::kStoreUnavailable, "busy", "again")));
      return;
    }
    inner_.read_range(std::move(range), std::move(callback));
  }
  void read_changes(std::string table, StoreVersion since, Duration wait,
                    Callback<TableChanges> callback) override {
    inner_.read_changes(std::move(table), since, wait, std::move(callback));
  }
  void commit(StoreTransaction transaction, Callback<StoreCommit> callback) override {
    inner_.commit(std::move(transaction), std::move(callback));
  }
  int pages = 0;
  int fail_every = 0;  // refuses every fail_every-th page; 0: none

 private:
  WatchedStore& inner_;
};

class FirstCopyTest : public testing::Test {
 protected:
  struct Node {
    Node(FirstCopyTest& test, const std::string& name)
        : address{name, 1},
          memory(test.shared, test.clock, test.dispatcher),
          store(memory),
          watcher(test.clock, test.dispatcher, store, test.logger, kTable, {""}, rows,
                  {.pace = {}, .keep_values = true}),
          server(test.clock, {{kTable, &watcher}}, {}),
          copy(
              {test.clock, test.dispatcher, test.random, test.client, test.logger}, kTable, watcher,
              [this] { return source; }, [this] { return peers; }) {}
    Address address;
    MemoryWatchedStore memory;
    CountingStore store;
    RecordingObserver rows;
    TableWatcher watcher;
    row_handover_server server;
    copy_source source = copy_source::kPeers;
    std::vector<Address> peers;
    first_copy copy;
  };

  FirstCopyTest() {
    client.on_fetch = [this](const Address& server, const HttpRequest& request,
                             Callback<HttpResponse> callback) {
      ++requests;
      const auto found = nodes.find(server.ip);
      if (found == nodes.end()) {
        callback(tl::unexpected(not_run(ErrorKind::kUnavailable, "connection refused", "none")));
        return;
      }
      auto seen = std::make_shared<SeenAnswer>();
      found->second->server.handle(request, std::make_unique<FakeWriter>(seen));
      if (corrupt_answers && !seen->body.empty()) {
        seen->body.erase(0, 1);
      }
      callback(HttpResponse{seen->status, {}, seen->body});
    };
  }
  void put(const std::string& key, std::optional<std::string> value) {
    StoreTransaction transaction;
    transaction.writes.push_back({{kTable, "", key}, std::move(value)});
    shared.rows.commit(transaction);
    shared.wake_followers();
  }
  // Writes enough rows that one call does not list the table.
  void fill(int rows = 300) {
    for (int row = 0; row < rows; ++row) {
      put("row-" + std::to_string(row), "v");
    }
  }
  Node& start(const std::string& name, copy_source source) {
    nodes[name] = std::make_unique<Node>(*this, name);
    Node& node = *nodes[name];
    node.source = source;
    for (const auto& [other, entry] : nodes) {
      if (other != name) {
        node.peers.push_back({other, 1});
      }
    }
    node.copy.start();
    return node;
  }
  std::map<std::string, std::string> stored() const {
    std::map<std::string, std::string> values;
    RangeRead all;
    all.table = kTable;
    all.limit = UINT32_MAX;
    for (const StoredRow& row : shared.rows.read(all).rows) {
      values[row.key.key] = row.value;
    }
    return values;
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  SeededRandomGenerator random{5};
  SharedStore shared;
  ScriptedWorkers client;
  NullLogger logger;
  std::map<std::string, std::unique_ptr<Node>> nodes;
  int requests = 0;
  bool corrupt_answers = false;
};

TEST_F(FirstCopyTest, ACopyFromAPeerReadsOnlyOnePageFromTheStore) {
  fill(2000);
  start("first", copy_source::kStore);
  clock.run_for(milliseconds(100));
  Node& second = start("second", copy_source::kPeers);
  clock.run_for(milliseconds(300));
  EXPECT_EQ(second.rows.values, stored());
  EXPECT_EQ(second.store.pages, 1) << "the page that shows that the table is large";
  EXPECT_EQ(second.rows.listed, 1);
  EXPECT_EQ(requests, 1);
}

TEST_F(FirstCopyTest, ChangesDuringAndAfterTheCopyAreFollowed) {
  fill();
  put("goes", "1");
  Node& first = start("first", copy_source::kStore);
  clock.run_for(milliseconds(50));
  first.memory.set_cut(true);  // its copy becomes stale
  put("goes", std::nullopt);
  put("comes", "1");
  Node& second = start("second", copy_source::kPeers);
  clock.run_for(milliseconds(300));
  EXPECT_EQ(second.rows.values, stored());
  put("later", "1");
  clock.run_for(milliseconds(50));
  EXPECT_EQ(second.rows.values, stored());
}

// If the history after an old copy is gone, the table is listed, and rows missing there are
// removed.
TEST_F(FirstCopyTest, ACopyOlderThanTheHistoryIsReplacedByAListFromTheStore) {
  fill();
  put("goes", "1");
  Node& first = start("first", copy_source::kStore);
  clock.run_for(milliseconds(50));
  first.memory.set_cut(true);
  put("goes", std::nullopt);
  put("comes", "1");
  shared.rows.drop_history();
  Node& second = start("second", copy_source::kPeers);
  clock.run_for(milliseconds(300));
  EXPECT_EQ(second.rows.values, stored());
  EXPECT_GE(second.store.pages, 2);
}

TEST_F(FirstCopyTest, WithoutACopyAtAnyPeerANodeReadsTheStoreAfterATimeout) {
  fill();
  Node& one = start("one", copy_source::kPeers);
  Node& two = start("two", copy_source::kPeers);
  one.peers = {{"two", 1}};
  clock.run_for(seconds(3));
  EXPECT_EQ(one.rows.listed, 0);
  clock.run_for(seconds(6));
  EXPECT_EQ(one.rows.values, stored());
  EXPECT_EQ(two.rows.values, stored());
  EXPECT_EQ(one.store.pages + two.store.pages, 3) << "the second node copies it from the first";
}

TEST_F(FirstCopyTest, AMalformedCopyIsRequestedAgain) {
  fill();
  start("first", copy_source::kStore);
  clock.run_for(milliseconds(50));
  corrupt_answers = true;
  Node& second = start("second", copy_source::kPeers);
  clock.run_for(seconds(1));
  EXPECT_EQ(second.rows.listed, 0);
  corrupt_answers = false;
  clock.run_for(seconds(1));
  EXPECT_EQ(second.rows.values, stored());
  EXPECT_EQ(second.store.pages, 1);
}

TEST_F(FirstCopyTest, ASmallTableIsReadFromTheStoreAtOnce) {
  fill(200);
  start("first", copy_source::kStore);
  Node& second = start("second", copy_source::kPeers);
  clock.run_for(milliseconds(20));
  EXPECT_EQ(second.rows.values, stored());
  EXPECT_EQ(requests, 0);
}

TEST_F(FirstCopyTest, WithoutANodeListItReadsTheStoreAfterAShortTimeout) {
  fill();
  Node& node = start("node", copy_source::kUnknown);
  clock.run_for(seconds(1));
  EXPECT_EQ(node.store.pages, 1);
  clock.run_for(seconds(1));
  EXPECT_EQ(node.rows.values, stored());
}

TEST_F(FirstCopyTest, ANodeSendsFewCopiesAtATimeAndAllNodesHaveOneSoon) {
  fill();
  start("a-relay", copy_source::kStore);
  start("b-relay", copy_source::kStore);
  for (int index = 0; index < 198; ++index) {
    start("n" + std::to_string(index), copy_source::kPeers);
  }
  for (auto& [name, node] : nodes) {
    node->peers.clear();
    for (const auto& [other, entry] : nodes) {
      if (other != name) {
        node->peers.push_back(entry->address);
      }
    }
  }
  clock.run_for(seconds(8));
  int pages = 0;
  for (const auto& [name, node] : nodes) {
    EXPECT_EQ(node->rows.values, stored()) << name;
    pages += node->store.pages;
  }
  EXPECT_LE(pages, 200 + 20) << "few of 200 nodes read more than the first page";
}

// A list that restarted after each refused page might never end.
TEST_F(FirstCopyTest, AListResumesAtThePageThatTheStoreRefused) {
  fill(10000);
  Node& node = start("node", copy_source::kUnknown);
  node.source = copy_source::kStore;
  node.store.fail_every = 4;
  clock.run_for(seconds(10));
  EXPECT_EQ(node.rows.values.size(), 10000U);
  EXPECT_LE(node.store.pages, 30) << "21 pages and the refused ones";
}

RC_GTEST_FIXTURE_PROP(FirstCopyTest, EveryViewConvergesToTheStore, ()) {
  const auto names =
      rc::gen::map(rc::gen::inRange(0, 6), [](int number) { return "n" + std::to_string(number); });
  const size_t steps = *rc::gen::inRange<size_t>(5, 30);
  for (size_t step = 0; step < steps; ++step) {
    const std::string name = *names;
    const std::string key = "k" + std::to_string(*rc::gen::inRange(0, 8));
    switch (*rc::gen::inRange(0, 7)) {
      case 0:
      case 1:
        put(key, std::to_string(step));
        break;
      case 2:
        put(key, std::nullopt);
        break;
      case 3:
        nodes.erase(name);
        start(name, *rc::gen::arbitrary<bool>() ? copy_source::kPeers : copy_source::kStore);
        break;
      case 4:
        if (nodes.contains(name)) {
          nodes.at(name)->memory.set_cut(*rc::gen::arbitrary<bool>());
        }
        break;
      case 5:
        shared.rows.drop_history();
        break;
      default:
        clock.run_for(milliseconds(*rc::gen::inRange(1, 2000)));
    }
  }
  for (const auto& [name, node] : nodes) {
    node->memory.set_cut(false);
  }
  clock.run_for(seconds(20));
  for (const auto& [name, node] : nodes) {
    RC_ASSERT(node->rows.values == stored());
  }
}

}  // namespace
}  // namespace chalkshed
