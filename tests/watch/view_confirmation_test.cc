#include "chalkshed/view_confirmation.h"

#include <gtest/gtest.h>

#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

// Keeps the calls for the test to answer.
class KeptReads : public WatchedStore {
 public:
  void read_range(RangeRead /*range*/, Callback<RangePage> callback) override {
    callback(RangePage{{}, false, {1, Duration(0)}});
  }
  void read_changes(std::string /*table*/, StoreVersion /*since*/, Duration /*wait*/,
                    Callback<TableChanges> callback) override {
    polls.push_back(std::move(callback));
  }
  void read_changes_anew(std::string /*table*/, StoreVersion /*since*/,
                         Callback<TableChanges> callback) override {
    reads.push_back(std::move(callback));
  }
  void commit(StoreTransaction /*transaction*/, Callback<StoreCommit> /*callback*/) override {}

  std::vector<Callback<TableChanges>> polls;
  std::vector<Callback<TableChanges>> reads;
};

class Rows : public TableObserver {
 public:
  void on_row(const StoredRow& row) override { keys.push_back(row.key.key); }
  std::vector<std::string> keys;
};

class ViewConfirmationTest : public testing::Test {
 protected:
  ViewConfirmationTest() {
    watcher.start();
    clock.run_for(milliseconds(10));
  }
  void ask() {
    confirmation.confirm([this](bool confirmed) { answers.push_back(confirmed); });
  }
  void answer(size_t read, std::vector<StoredRow> rows = {}) {
    store.reads[read](TableChanges{std::move(rows), {++version, Duration(0)}});
  }
  void refuse(size_t read) {
    store.reads[read](
        tl::unexpected(not_run(ErrorKind::kStoreUnavailable, "refused", "retry the call")));
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  KeptReads store;
  NullLogger logger;
  Rows observer;
  StoreVersion version = 1;
  TableWatcher watcher{clock, dispatcher, store, logger, "workers", {""}, observer};
  view_confirmation confirmation{clock, dispatcher, store, {&watcher}};
  std::vector<bool> answers;
};

TEST_F(ViewConfirmationTest, AppliesWhatItReadsBeforeItAnswers) {
  ask();
  clock.run_for(milliseconds(5));
  ASSERT_EQ(store.reads.size(), 1U);
  EXPECT_TRUE(answers.empty());
  answer(0, {{{"workers", "", "i-1"}, "value", 2, false}});
  EXPECT_EQ(answers, std::vector<bool>{true});
  EXPECT_EQ(observer.keys, std::vector<std::string>{"i-1"});
  EXPECT_EQ(watcher.age(), milliseconds(5));
}

TEST_F(ViewConfirmationTest, QuestionsOfOneMomentShareARead) {
  for (int count = 0; count < 100; ++count) {
    ask();
  }
  clock.run_for(milliseconds(5));
  ASSERT_EQ(store.reads.size(), 1U);
  answer(0);
  EXPECT_EQ(answers.size(), 100U);
}

// Guards against: a question was answered by a read that had begun before it.
TEST_F(ViewConfirmationTest, AQuestionIsNotAnsweredByAnEarlierRead) {
  ask();
  clock.run_for(milliseconds(5));
  ask();
  ask();
  answer(0);
  EXPECT_EQ(answers.size(), 1U);
  clock.run_for(milliseconds(5));
  ASSERT_EQ(store.reads.size(), 2U);
  answer(1);
  EXPECT_EQ(answers, (std::vector<bool>{true, true, true}));
}

TEST_F(ViewConfirmationTest, ARefusedReadIsRepeatedAFewTimes) {
  ask();
  const view_confirmation_knobs knobs;
  for (int refused = 0; refused <= knobs.retries; ++refused) {
    EXPECT_TRUE(answers.empty());
    clock.run_for(knobs.retry_after + milliseconds(1));
    ASSERT_EQ(store.reads.size(), static_cast<size_t>(refused) + 1);
    refuse(refused);
  }
  EXPECT_EQ(answers, std::vector<bool>{false});
}

TEST_F(ViewConfirmationTest, NobodyWaitsForLongerThanTheirPatience) {
  ask();
  clock.run_for(milliseconds(500));
  ask();
  clock.run_for(milliseconds(500));
  EXPECT_EQ(answers, std::vector<bool>{false});
  clock.run_for(milliseconds(500));
  EXPECT_EQ(answers, (std::vector<bool>{false, false}));
  answer(0);
  EXPECT_EQ(answers.size(), 2U);
}

TEST_F(ViewConfirmationTest, ReadsKeepAnIntervalThatGrowsWithTheFleet) {
  constexpr size_t kNodes = 360;
  confirmation.set_nodes([] { return kNodes; });
  size_t answered = 0;
  for (int step = 0; step < 1000; ++step) {
    ask();
    clock.run_for(milliseconds(1));
    for (; answered < store.reads.size(); ++answered) {
      answer(answered);
    }
  }
  EXPECT_LE(store.reads.size(), 11U);
  EXPECT_GE(store.reads.size(), 8U);
}

TEST_F(ViewConfirmationTest, ATableThatIsNotListedConfirmsNothing) {
  Rows others;
  TableWatcher unlisted(clock, dispatcher, store, logger, "op", {""}, others);
  view_confirmation_knobs retry_never;
  retry_never.retries = 0;
  view_confirmation both(clock, dispatcher, store, {&watcher, &unlisted}, retry_never);
  both.confirm([this](bool confirmed) { answers.push_back(confirmed); });
  clock.run_for(milliseconds(5));
  ASSERT_EQ(store.reads.size(), 2U);
  answer(0);
  answer(1);
  EXPECT_EQ(answers, std::vector<bool>{false});
}

}  // namespace
}  // namespace chalkshed
