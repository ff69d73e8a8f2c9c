#include "platform/store_client.h"

#include <gtest/gtest.h>

#include "src/http/event_http_client.h"
#include "tests/http/loopback.h"
#include "tests/platform/store_stand_in.h"

namespace chalkshed::platform {
namespace {

class StoreClientTest : public testing::Test {
 protected:
  template <typename Value>
  Expected<Value> wait_for(const std::function<void(Callback<Value>)>& call) {
    auto result = std::make_shared<std::optional<Expected<Value>>>();
    call([result](Expected<Value> answer) { *result = std::move(answer); });
    EXPECT_TRUE(run_until(dispatcher, [&] { return result->has_value(); }));
    return **result;
  }
  Expected<StoreCommit> put(const std::string& key, const std::string& value,
                            StoreVersion expected) {
    StoreTransaction transaction;
    transaction.conditions.push_back({{"t", "p", key}, expected});
    transaction.writes.push_back({{"t", "p", key}, value});
    return wait_for<StoreCommit>(
        [&](Callback<StoreCommit> done) { client.commit(transaction, std::move(done)); });
  }
  Expected<RangePage> read(uint32_t limit = 500) {
    RangeRead range{"t", "p", "", "", limit};
    return wait_for<RangePage>(
        [&](Callback<RangePage> done) { client.read_range(range, std::move(done)); });
  }

  EventDispatcher dispatcher;
  StoreStandIn store{dispatcher};
  EventHttpClient http{dispatcher};
  RowClient client{http, store.local()};
  ObjectClient objects{http, store.local()};
};

TEST_F(StoreClientTest, WritesUnderConditionsAndReadsBackTheSameBytes) {
  const std::string bytes("a\0\xff b&=", 7);
  const Expected<StoreCommit> first = put("k&ey/1", bytes, 0);
  ASSERT_TRUE(first);
  EXPECT_TRUE(first->committed);
  const Expected<RangePage> page = read();
  ASSERT_TRUE(page);
  ASSERT_EQ(page->rows.size(), 1U);
  EXPECT_EQ(page->rows[0].key.key, "k&ey/1");
  EXPECT_EQ(page->rows[0].value, bytes);
  EXPECT_EQ(page->rows[0].version, first->stamp.version);
  const Expected<StoreCommit> second = put("k&ey/1", "other", 0);
  ASSERT_TRUE(second);
  EXPECT_FALSE(second->committed);
  ASSERT_EQ(second->current.size(), 1U);
  EXPECT_EQ(second->current[0].version, first->stamp.version);
  EXPECT_EQ(second->current[0].value, bytes);
}

// A malformed value must not affect the other rows of an answer.
TEST_F(StoreClientTest, AMalformedRowHidesNoOther) {
  ASSERT_TRUE(put("a", "first", 0));
  ASSERT_TRUE(put("b", "second", 0));
  for (const char* value : {"\"%%% no base64\"", "7", "null", "{\"x\":[1]}"}) {
    store.answer_replacements = {{"\"" + encode_base64("first") + "\"", value}};
    const Expected<RangePage> page = read();
    ASSERT_TRUE(page) << value;
    ASSERT_EQ(page->rows.size(), 2U);
    EXPECT_EQ(page->rows[0].value, "");
    EXPECT_EQ(page->rows[1].value, "second");
  }
}

TEST_F(StoreClientTest, AKeyOfAnyBytesHidesNoOther) {
  ASSERT_TRUE(put("a-key", "first", 0));
  ASSERT_TRUE(put("b", "second", 0));
  for (const char* key :
       {"\xff\xfe", "\xc3(", "\xed\xa0\x80", "\xf8\x88\x80\x80\x80", "\xe2\x82"}) {
    store.answer_replacements = {{"a-key", key}};
    const Expected<RangePage> page = read();
    ASSERT_TRUE(page);
    ASSERT_EQ(page->rows.size(), 2U);
    EXPECT_EQ(page->rows[1].value, "second");
  }
}

// The store's answers name no call: one on a kept connection may be that to an earlier call.
TEST_F(StoreClientTest, ARejectionProvesOnItsOwnConnectionAloneThatNothingWasApplied) {
  ASSERT_TRUE(put("k", "value", 0));
  for (const int status : {429, 503}) {
    store.status = status;
    const Expected<StoreCommit> kept = put("other", "value", 0);
    ASSERT_FALSE(kept);
    EXPECT_EQ(kept.error().ran, Ran::kUnknown);
    EXPECT_EQ(kept.error().retry_after.has_value(), status == 429);
    StoreTransaction transaction;
    transaction.writes.push_back({{"t", "p", "other"}, "value"});
    transaction.own_connection = true;
    const Expected<StoreCommit> own = wait_for<StoreCommit>(
        [&](Callback<StoreCommit> done) { client.commit(transaction, std::move(done)); });
    ASSERT_FALSE(own);
    EXPECT_EQ(own.error().ran, Ran::kNo);
    EXPECT_EQ(own.error().retry_after.has_value(), status == 429);
    EXPECT_FALSE(read());
  }
}

TEST_F(StoreClientTest, RenewedConnectionsAreNotThoseOfEarlierCalls) {
  ASSERT_TRUE(put("k", "value", 0));
  ASSERT_TRUE(put("l", "value", 0));
  EXPECT_EQ(http.open_connections(), 1U);
  client.renew_connections();
  ASSERT_TRUE(put("m", "value", 0));
  EXPECT_EQ(http.open_connections(), 2U);
}

TEST_F(StoreClientTest, PagesReportThatThereAreMoreRows) {
  put("a", "1", 0);
  put("b", "1", 0);
  const Expected<RangePage> page = read(1);
  ASSERT_TRUE(page);
  EXPECT_TRUE(page->more);
  EXPECT_EQ(page->rows.size(), 1U);
}

TEST_F(StoreClientTest, ChangesArriveImmediatelyAndALostHistoryIsReported) {
  put("a", "1", 0);
  std::optional<Expected<TableChanges>> changes;
  client.read_changes("t", 1, std::chrono::seconds(5),
                      [&](const Expected<TableChanges>& result) { changes = result; });
  put("b", "2", 0);
  ASSERT_TRUE(run_until(dispatcher, [&] { return changes.has_value(); }));
  ASSERT_TRUE(*changes);
  ASSERT_EQ((*changes)->rows.size(), 1U);
  EXPECT_EQ((*changes)->rows[0].key.key, "b");
  store.rows.drop_history();
  const auto lost = wait_for<TableChanges>([&](Callback<TableChanges> done) {
    client.read_changes("t", 1, std::chrono::seconds(5), std::move(done));
  });
  ASSERT_FALSE(lost);
  EXPECT_EQ(lost.error().kind, ErrorKind::kNotFound);
}

TEST_F(StoreClientTest, ALostAnswerToAChangeLeavesItsOutcomeUnknown) {
  store.lose_commits = true;
  const Expected<StoreCommit> commit = put("a", "1", 0);
  ASSERT_FALSE(commit);
  EXPECT_EQ(commit.error().kind, ErrorKind::kOutcomeUnknown);
  EXPECT_EQ(commit.error().ran, Ran::kUnknown);
}

TEST_F(StoreClientTest, ATruncatedAnswerIsAnErrorNotAnEmptyTable) {
  put("a", "1", 0);
  store.truncate_answers = true;
  EXPECT_FALSE(read());
  const Expected<StoreCommit> commit = put("b", "1", 0);
  ASSERT_FALSE(commit);
  EXPECT_EQ(commit.error().ran, Ran::kUnknown);
}

TEST_F(StoreClientTest, ObjectsArePutReadAndRemoved) {
  const auto content = std::make_shared<const std::string>(100000, 'x');
  EXPECT_TRUE(wait_for<std::monostate>(
      [&](Callback<std::monostate> done) { objects.put("o-1", content, std::move(done)); }));
  const auto read_back = wait_for<std::shared_ptr<const std::string>>(
      [&](auto done) { objects.get("o-1", std::move(done)); });
  ASSERT_TRUE(read_back);
  EXPECT_EQ(**read_back, *content);
  EXPECT_TRUE(wait_for<std::monostate>(
      [&](Callback<std::monostate> done) { objects.remove("o-1", std::move(done)); }));
  const auto gone = wait_for<std::shared_ptr<const std::string>>(
      [&](auto done) { objects.get("o-1", std::move(done)); });
  ASSERT_FALSE(gone);
  EXPECT_EQ(gone.error().kind, ErrorKind::kNotFound);
}

}  // namespace
}  // namespace chalkshed::platform
