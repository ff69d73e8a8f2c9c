// Removal of expired claims, with the emulated table in virtual time.
#include "src/once/claim_sweep.h"

#include <gtest/gtest.h>

#include "sim/configuration_cluster.h"
#include "src/once/claim_registry.h"

namespace chalkshed {
namespace {

using std::chrono::hours;

// Counts scans and commits that delete rows; calls `before_removal` once before the next such
// commit.
class RecordingTable : public TableStore {
 public:
  explicit RecordingTable(TableStore& inner) : inner_(inner) {}
  void read(RowKey key, Callback<std::optional<Row>> callback) override {
    inner_.read(std::move(key), std::move(callback));
  }
  void scan(ScanRequest request, Callback<ScanPage> callback) override {
    ++scans;
    inner_.scan(std::move(request), std::move(callback));
  }
  void commit(Transaction transaction, Callback<CommitResult> callback) override {
    if (!transaction.writes.front().value) {
      ++removals;
      if (const auto action = std::exchange(before_removal, nullptr)) {
        action();
      }
    }
    inner_.commit(std::move(transaction), std::move(callback));
  }

  int scans = 0;
  int removals = 0;
  std::function<void()> before_removal;

 private:
  TableStore& inner_;
};

class SweepingNode {
 public:
  SweepingNode(ConfigurationNode& node, const ClaimRetentionKnobs& knobs)
      : table(node.table),
        dependencies{node.dependencies.time_source,   node.dependencies.dispatcher,
                     node.dependencies.random,        table,
                     node.dependencies.object_store,  node.dependencies.machine_list,
                     node.dependencies.engine_client, node.dependencies.backend_client,
                     node.dependencies.datagrams,     node.dependencies.peer_client,
                     node.dependencies.peer_server,   node.dependencies.logger,
                     node.dependencies.metrics},
        identity{node.self().id, {}, {}, "", "", 1},
        registry(identity, dependencies, {}),
        sweep(identity, dependencies, node, knobs) {
    sweep.start();
  }

  RecordingTable table;
  NodeDependencies dependencies;
  NodeIdentity identity;
  ClaimRegistry registry;
  ClaimSweep sweep;
};

class ClaimSweepTest : public testing::Test {
 protected:
  void start(size_t count = 1, const ClaimRetentionKnobs& knobs = {}) {
    for (size_t index = 0; index < count; ++index) {
      nodes_.push_back(std::make_unique<SweepingNode>(cluster_.add(), knobs));
    }
  }
  std::optional<Expected<OnceClaimResult>> claim(const std::string& key) {
    std::optional<Expected<OnceClaimResult>> result;
    nodes_[0]->registry.claim({"tenant", key, "digest"}, [&](Expected<OnceClaimResult> answer) {
      result = std::move(answer);
    });
    cluster_.run(100);
    return result;
  }
  // @return whether the caller got the right to dispatch.
  static bool granted(const std::optional<Expected<OnceClaimResult>>& result) {
    return result && *result && std::holds_alternative<ClaimPtr>(**result);
  }
  void finish(const std::string& key) {
    auto result = claim(key);
    ASSERT_TRUE(granted(result));
    std::get<ClaimPtr>(**result)->finish(HttpResponse{200, {}, "done"});
    cluster_.run(100);
  }
  bool stored(const std::string& key) {
    return cluster_.platform.table().read(claim_row_key("tenant", key)).has_value();
  }
  void run_hours(int count) { cluster_.clock.run_for(hours(count)); }

  ConfigurationCluster cluster_;
  std::vector<std::unique_ptr<SweepingNode>> nodes_;
};

TEST_F(ClaimSweepTest, FinishedClaimsAreRemovedAfterTheRetentionAndNotSooner) {
  start();
  finish("k");
  run_hours(24);
  EXPECT_TRUE(stored("k"));
  const auto resent = claim("k");
  ASSERT_TRUE(resent && *resent);
  EXPECT_EQ(std::get<HttpResponse>(**resent).body, "done");
  run_hours(13);  // after another sweep and the clock margin
  EXPECT_FALSE(stored("k"));
  EXPECT_TRUE(granted(claim("k"))) << "after the retention a resend is a new request";
}

TEST_F(ClaimSweepTest, UnfinishedClaimsAreKeptLonger) {
  start();
  ASSERT_TRUE(granted(claim("k")));  // its holder never reports the outcome
  run_hours(24 * 7);
  EXPECT_TRUE(stored("k"));
  EXPECT_FALSE(granted(claim("k")));
  run_hours(13);
  EXPECT_FALSE(stored("k"));
}

TEST_F(ClaimSweepTest, WithoutTheLongerRetentionAnUnfinishedRequestRunsTwice) {
  ClaimRetentionKnobs knobs;
  knobs.safeguards.unfinished_kept_longer = false;
  start(1, knobs);
  ASSERT_TRUE(granted(claim("k")));
  run_hours(37);
  EXPECT_TRUE(granted(claim("k")));
}

// A released key is claimed again between the examination and the removal of its row.
class ClaimSweepRaceTest : public ClaimSweepTest {
 protected:
  // @return whether the new claim is still there after the sweep.
  bool claim_survives(const ClaimRetentionKnobs& knobs) {
    start(1, knobs);
    auto first = claim("k");
    std::get<ClaimPtr>(**first)->release();
    cluster_.run(100);
    // Another expired row of the same page must still be removed.
    MemoryTable& table = cluster_.platform.table();
    const RowKey key = claim_row_key("tenant", "k");
    const RowKey neighbour = {kClaimsTable, key.key + "-neighbour"};
    table.commit({{}, {{neighbour, table.read(key)->value}}});
    nodes_[0]->table.before_removal = [&] {
      ClaimRecord record;
      record.claimed_at_seconds = std::chrono::duration_cast<std::chrono::seconds>(
                                      cluster_.clock.wall_now().time_since_epoch())
                                      .count();
      table.commit({{}, {{key, encode_claim_record(record)}}});
    };
    run_hours(37);
    EXPECT_EQ(nodes_[0]->table.before_removal, nullptr) << "the race took place";
    EXPECT_FALSE(table.read(neighbour));
    return stored("k");
  }
};

TEST_F(ClaimSweepRaceTest, AKeyThatIsClaimedAgainIsNotRemoved) { EXPECT_TRUE(claim_survives({})); }

TEST_F(ClaimSweepRaceTest, WithoutTheConditionTheNewClaimIsLost) {
  ClaimRetentionKnobs knobs;
  knobs.safeguards.conditional_removal = false;
  EXPECT_FALSE(claim_survives(knobs));
}

TEST_F(ClaimSweepTest, NodesShareTheBucketsAndContinueAfterAnOutage) {
  ClaimRetentionKnobs knobs;
  knobs.page_rows = 3;  // fewer than a bucket holds
  start(3, knobs);
  for (int key = 0; key < 300; ++key) {
    finish("k" + std::to_string(key));
  }
  run_hours(20);
  cluster_.set_outage(true);
  run_hours(6);
  cluster_.set_outage(false);
  const size_t before = cluster_.platform.table().size();
  run_hours(14);
  EXPECT_LE(cluster_.platform.table().size(), before - 300);
  for (const auto& node : nodes_) {
    EXPECT_GT(node->table.removals, 0);
    // Four sweeps of 64 buckets, 100 pages in each sweep, and one attempt per minute in the outage.
    EXPECT_LT(node->table.scans, 4 * (64 + 100) + 6 * 60);
  }
}

}  // namespace
}  // namespace chalkshed
