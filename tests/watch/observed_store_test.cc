// Answers of the store that belong to other calls: late ones, second copies, and ones without rows.
#include "src/watch/observed_store.h"

#include <gtest/gtest.h>

#include "sim/virtual_time.h"
#include "src/metrics/prometheus_metrics.h"

namespace chalkshed {
namespace {

// Answers each call as the test says.
class ScriptedStore : public WatchedStore {
 public:
  void read_range(RangeRead /*range*/, Callback<RangePage> callback) override { callback(page); }
  void read_changes(std::string /*table*/, StoreVersion /*since*/, Duration /*wait*/,
                    Callback<TableChanges> callback) override {
    callback(changes);
  }
  void commit(StoreTransaction /*transaction*/, Callback<StoreCommit> callback) override {
    callback(commit_answer);
  }
  void renew_connections() override { ++renewals; }

  RangePage page;
  TableChanges changes;
  StoreCommit commit_answer;
  int renewals = 0;
};

class ObservedStoreTest : public testing::Test {
 protected:
  Expected<StoreCommit> commit(const std::string& key) {
    StoreTransaction transaction;
    transaction.conditions.push_back({{"jobs", "p", key}, 0});
    transaction.writes.push_back({{"jobs", "p", key}, "value"});
    return answer_of<StoreCommit>(
        [&](Callback<StoreCommit> done) { store.commit(transaction, std::move(done)); });
  }
  Expected<RangePage> read() {
    return answer_of<RangePage>([&](Callback<RangePage> done) {
      store.read_range({"jobs", "p", "", "", 500}, std::move(done));
    });
  }
  Expected<TableChanges> read_changes(StoreVersion since) {
    return answer_of<TableChanges>([&](Callback<TableChanges> done) {
      store.read_changes("jobs", since, Duration(0), std::move(done));
    });
  }

  VirtualClock clock;
  StoreClock store_clock{clock};
  NullLogger logger;
  PrometheusMetricsRegistry metrics;
  ScriptedStore inner;
  ObservedStore store{inner, store_clock, logger, metrics, StaleReads::kAccept};

 private:
  template <typename Value>
  static Expected<Value> answer_of(const std::function<void(Callback<Value>)>& call) {
    std::optional<Expected<Value>> result;
    call([&](Expected<Value> answer) { result = std::move(answer); });
    return *result;
  }
};

TEST_F(ObservedStoreTest, ASecondCopyOfAnAcceptedWriteAcceptsNoOther) {
  inner.commit_answer = {true, {}, {7, {}}};
  ASSERT_TRUE(commit("first"));
  const Expected<StoreCommit> second = commit("second");
  ASSERT_FALSE(second);
  EXPECT_EQ(second.error().kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(second.error().ran, Ran::kUnknown);
  EXPECT_EQ(inner.renewals, 1);
  inner.commit_answer.stamp.version = 8;
  EXPECT_TRUE(commit("second"));
}

TEST_F(ObservedStoreTest, AConflictOfAnotherWriteIsNone) {
  inner.commit_answer = {false, {{{"jobs", "p", "other"}, "", 3}}, {7, {}}};
  const Expected<StoreCommit> conflict = commit("own");
  ASSERT_FALSE(conflict);
  EXPECT_EQ(conflict.error().kind, ErrorKind::kOutcomeUnknown);
  inner.commit_answer.current.front().key.key = "own";
  EXPECT_TRUE(commit("own"));
}

TEST_F(ObservedStoreTest, AConflictFromBeforeTheCallIsNone) {
  inner.commit_answer = {true, {}, {9, {}}};
  ASSERT_TRUE(commit("own"));
  inner.commit_answer = {false, {{{"jobs", "p", "own"}, "", 3}}, {8, {}}};
  EXPECT_FALSE(commit("own"));
  inner.commit_answer.stamp.version = 9;
  EXPECT_TRUE(commit("own"));
}

TEST_F(ObservedStoreTest, RowsOfAnotherTableAnswerNoRead) {
  inner.page = {{{{"workers", "p", "a"}, "", 3}}, false, {7, {}}};
  EXPECT_FALSE(read());
  inner.changes = {{{{"workers", "p", "a"}, "", 3}}, {7, {}}};
  EXPECT_FALSE(read_changes(5));
  EXPECT_EQ(inner.renewals, 2);
  EXPECT_EQ(store_clock.answered(), 0U);
}

TEST_F(ObservedStoreTest, ChangesFromBeforeTheAskedVersionAreOfAnotherCall) {
  inner.changes = {{}, {7, {}}};
  EXPECT_FALSE(read_changes(8));
  EXPECT_TRUE(read_changes(7));
}

}  // namespace
}  // namespace chalkshed
