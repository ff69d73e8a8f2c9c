#include "src/watch/table_watcher.h"

#include <gtest/gtest.h>

#include "emulator/memory_watched_store.h"
#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class RecordingObserver : public TableObserver {
 public:
  void on_row(const StoredRow& row) override {
    EXPECT_GT(row.version, versions[row.key.key]) << "an older version after a newer one";
    versions[row.key.key] = row.version;
    if (row.removed) {
      values.erase(row.key.key);
    } else {
      values[row.key.key] = row.value;
    }
  }
  std::map<std::string, std::string> values;
  std::map<std::string, StoreVersion> versions;
};

class TableWatcherTest : public testing::Test {
 protected:
  void put(const std::string& key, std::optional<std::string> value) {
    StoreTransaction transaction;
    transaction.writes.push_back({{"t", "", key}, std::move(value)});
    shared.rows.commit(transaction);
    shared.wake_followers();
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  SharedStore shared;
  MemoryWatchedStore store{shared, clock, dispatcher};
  NullLogger logger;
  RecordingObserver observer;
  TableWatcher watcher{clock, dispatcher, store, logger, "t", {""}, observer};
};

TEST_F(TableWatcherTest, ListsThenFollows) {
  put("a", "1");
  watcher.start();
  clock.run_for(milliseconds(50));
  EXPECT_TRUE(watcher.listed());
  EXPECT_EQ(observer.values["a"], "1");
  put("a", "2");
  put("b", "1");
  put("a", std::nullopt);
  clock.run_for(milliseconds(50));
  EXPECT_EQ(observer.values, (std::map<std::string, std::string>{{"b", "1"}}));
}

TEST_F(TableWatcherTest, ManyRowsComeInPages) {
  for (int number = 0; number < 1200; ++number) {
    put("k" + std::to_string(number), "v");
  }
  watcher.start();
  clock.run_for(milliseconds(100));
  EXPECT_EQ(observer.values.size(), 1200U);
}

TEST_F(TableWatcherTest, AChangeIsHeardWithinMillisecondsWithoutPolling) {
  watcher.start();
  clock.run_for(milliseconds(50));
  const uint64_t calls = shared.calls;
  clock.run_for(seconds(6));
  EXPECT_LE(shared.calls - calls, 5U);
  put("a", "1");
  clock.run_for(milliseconds(10));
  EXPECT_EQ(observer.values["a"], "1");
}

TEST_F(TableWatcherTest, ChangesThatComeCloseTogetherCostOneCall) {
  TableWatcherKnobs knobs;
  knobs.pace.batch_delay = milliseconds(150);
  TableWatcher gathering{clock, dispatcher, store, logger, "t", {""}, observer, knobs};
  gathering.start();
  clock.run_for(milliseconds(50));
  const uint64_t calls = shared.calls;
  for (int number = 0; number < 20; ++number) {
    put("k" + std::to_string(number), "v");
    clock.run_for(milliseconds(7));
  }
  clock.run_for(milliseconds(160));
  EXPECT_EQ(observer.values.size(), 20U);
  EXPECT_LE(shared.calls - calls, 3U);
}

TEST_F(TableWatcherTest, AnAnswerThatWasLostIsAskedForAnew) {
  TableWatcherKnobs knobs;
  knobs.pace.max_wait = seconds(60);
  TableWatcher patient{clock, dispatcher, store, logger, "t", {""}, observer, knobs};
  patient.start();
  clock.run_for(milliseconds(50));
  store.set_cut(true);
  put("a", "1");
  clock.run_for(milliseconds(50));
  store.set_cut(false);
  clock.run_for(milliseconds(50));
  EXPECT_TRUE(observer.values.empty());
  patient.refresh();
  clock.run_for(milliseconds(50));
  EXPECT_EQ(observer.values["a"], "1");
}

// Other nodes know a row that has not arrived here: the answer that would bring it is lost.
TEST_F(TableWatcherTest, AChangeThatOthersKnowIsAskedForAnew) {
  TableWatcherKnobs knobs;
  knobs.pace.max_wait = seconds(60);
  TableWatcher patient{clock, dispatcher, store, logger, "t", {""}, observer, knobs};
  patient.start();
  clock.run_for(milliseconds(50));
  store.set_cut(true);
  put("a", "1");
  clock.run_for(milliseconds(50));
  store.set_cut(false);
  patient.note_newer(shared.rows.version());
  clock.run_for(milliseconds(200));
  EXPECT_EQ(observer.values["a"], "1");
}

TEST_F(TableWatcherTest, WhatOthersKnowCostsNoCallWhenItArrivesHereToo) {
  watcher.start();
  clock.run_for(milliseconds(50));
  const uint64_t calls = shared.calls;
  watcher.note_newer(shared.rows.version() + 1);
  put("a", "1");
  clock.run_for(milliseconds(200));
  EXPECT_EQ(observer.values["a"], "1");
  watcher.note_newer(1);
  clock.run_for(milliseconds(200));
  EXPECT_LE(shared.calls - calls, 2U);
}

TEST_F(TableWatcherTest, ListsAgainWhenTheHistoryIsGoneAndHearsOfRemovals) {
  put("a", "1");
  put("b", "1");
  watcher.start();
  clock.run_for(milliseconds(50));
  shared.trouble.hold_changes = true;
  put("a", std::nullopt);
  put("c", "1");
  clock.run_for(seconds(1));
  shared.rows.drop_history();
  shared.trouble.hold_changes = false;
  clock.run_for(seconds(4));
  EXPECT_EQ(observer.values, (std::map<std::string, std::string>{{"b", "1"}, {"c", "1"}}));
}

TEST_F(TableWatcherTest, AnOldListTakesNothingBack) {
  put("a", "1");
  const StoreVersion old = shared.rows.version();
  put("a", "2");
  put("b", "1");
  watcher.start();
  clock.run_for(milliseconds(50));
  shared.trouble.read_as_of = old;
  shared.rows.drop_history();
  shared.trouble.hold_changes = true;
  put("c", "1");
  shared.rows.drop_history();
  shared.trouble.hold_changes = false;
  clock.run_for(seconds(2));
  EXPECT_EQ(observer.values["a"], "2");
  EXPECT_EQ(observer.values["b"], "1");
  shared.trouble.read_as_of = 0;
  clock.run_for(seconds(3));
  EXPECT_EQ(observer.values["c"], "1");
}

TEST_F(TableWatcherTest, KeepsWhatItKnowsWhileTheStoreIsDownAndCatchesUpAfterwards) {
  put("a", "1");
  watcher.start();
  clock.run_for(milliseconds(50));
  shared.trouble.down = true;
  clock.run_for(seconds(5));
  EXPECT_EQ(observer.values["a"], "1");
  EXPECT_TRUE(watcher.disconnected());
  put("a", "2");
  shared.trouble.down = false;
  clock.run_for(seconds(1));
  EXPECT_EQ(observer.values["a"], "2");
  EXPECT_FALSE(watcher.disconnected());
}

// An answer is as old as its question: the store may have made it at once, however late it came.
TEST_F(TableWatcherTest, TellsHowOldWhatItKnowsMayBe) {
  watcher.start();
  clock.run_for(milliseconds(50));
  EXPECT_LE(watcher.age(), milliseconds(50));
  clock.run_for(milliseconds(1400));
  EXPECT_GE(watcher.age(), milliseconds(1400)) << "the question is held";
  clock.run_for(milliseconds(200));
  EXPECT_LE(watcher.age(), milliseconds(1650)) << "answered after 1.5 s";
  EXPECT_GE(watcher.age(), milliseconds(1500)) << "nothing tells when the answer was made";
  put("a", "1");
  clock.run_for(milliseconds(20));
  EXPECT_LE(watcher.age(), milliseconds(200)) << "the next question was asked since";
  store.set_cut(true);
  clock.run_for(seconds(7));
  EXPECT_GE(watcher.age(), seconds(5));
}

TEST_F(TableWatcherTest, AWatcherThatGathersChangesCanBeHurried) {
  watcher.set_pace({.max_wait = seconds(10), .batch_delay = milliseconds(1500)});
  watcher.start();
  clock.run_for(milliseconds(50));
  put("a", "1");
  clock.run_for(milliseconds(50));
  put("b", "1");
  clock.run_for(milliseconds(200));
  EXPECT_FALSE(observer.values.contains("b"));
  watcher.poll_now();
  clock.run_for(milliseconds(20));
  EXPECT_TRUE(observer.values.contains("b"));
  const uint64_t calls = shared.calls;
  for (int count = 0; count < 10; ++count) {
    watcher.poll_now();
  }
  clock.run_for(milliseconds(50));
  EXPECT_EQ(shared.calls, calls) << "nothing is asked while nothing is gathered";
}

}  // namespace
}  // namespace chalkshed
