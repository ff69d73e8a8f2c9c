// The age of a table watcher's view when the store's answers are delayed and when the clocks of the
// store and the node drift.
#include <gtest/gtest.h>

#include "emulator/memory_watched_store.h"
#include "sim/virtual_time.h"
#include "src/core/call_after.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class NoObserver : public TableObserver {
  void on_row(const StoredRow& /*row*/) override {}
};

// Delays answers after they were generated and stamped. The clock of the store runs at its own
// rate.
class DelayedStore : public WatchedStore {
 public:
  DelayedStore(WatchedStore& inner, VirtualClock& clock, Dispatcher& dispatcher)
      : inner_(inner), clock_(clock), dispatcher_(dispatcher) {}
  void read_range(RangeRead range, Callback<RangePage> callback) override {
    inner_.read_range(std::move(range), [this, callback](Expected<RangePage> page) {
      call_after(dispatcher_, answer_delay, [callback, page] { callback(page); });
    });
  }
  void read_changes(std::string table, StoreVersion since, Duration wait,
                    Callback<TableChanges> callback) override {
    inner_.read_changes(
        std::move(table), since, wait, [this, callback](Expected<TableChanges> changes) {
          if (changes) {
            const Duration now = clock_.monotonic_now().time_since_epoch();
            changes->stamp.steady_clock =
                now + Duration(static_cast<int64_t>(static_cast<double>(now.count()) * drift));
          }
          call_after(dispatcher_, answer_delay, [callback, changes] { callback(changes); });
        });
  }
  void commit(StoreTransaction transaction, Callback<StoreCommit> callback) override {
    inner_.commit(std::move(transaction), std::move(callback));
  }
  Duration answer_delay{0};
  double drift = 0;

 private:
  WatchedStore& inner_;
  VirtualClock& clock_;
  Dispatcher& dispatcher_;
};

class ViewAgeTest : public testing::Test {
 protected:
  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  SharedStore shared;
  MemoryWatchedStore inner{shared, clock, dispatcher};
  DelayedStore store{inner, clock, dispatcher};
  NullLogger logger;
  NoObserver observer;
  TableWatcher watcher{clock, dispatcher, store, logger, "t", {""}, observer};
};

// A node starts while answers take 1.2 s to reach it: the age of its view is never below that.
TEST_F(ViewAgeTest, TheAgeIncludesTheDelayOfAnAnswer) {
  store.answer_delay = milliseconds(1200);
  watcher.start();
  Duration min_age = seconds(100);
  clock.run_for(seconds(2));
  for (int step = 0; step < 2000; ++step) {
    clock.run_for(milliseconds(10));
    min_age = std::min(min_age, watcher.age());
  }
  EXPECT_GE(min_age, milliseconds(1200));
}

// The store's clock runs 50 parts per million slower than the node's, a usual drift of machine
// clocks. The age of an unchanged table must not grow over days.
TEST_F(ViewAgeTest, ClockDriftDoesNotAgeAnUpToDateView) {
  store.drift = -50e-6;
  watcher.start();
  clock.run_for(seconds(24 * 3600));
  Duration max_age{0};
  int old = 0;
  for (int step = 0; step < 3000; ++step) {
    clock.run_for(milliseconds(10));
    max_age = std::max(max_age, watcher.age());
    old += watcher.age() > seconds(2) ? 1 : 0;
  }
  // Two requests whose answers were delayed for 1.5 s each: the age counts from the request.
  EXPECT_LE(max_age, milliseconds(3100)) << old << " of 3000 samples over 2 s";
}

// The pace of an owner: three tenths of the allowed age for the delay between requests, and for
// each delayed answer.
TEST_F(ViewAgeTest, ThePaceOfAnOwnerKeepsItsViewWithinTwoSeconds) {
  watcher.set_pace({.max_wait = milliseconds(600), .batch_delay = milliseconds(600)});
  watcher.start();
  clock.run_for(milliseconds(500));
  StoreTransaction transaction;
  transaction.writes.push_back({{"t", "", "a"}, "1"});
  shared.rows.commit(transaction);
  shared.wake_followers();
  Duration max_age{0};
  for (int step = 0; step < 500; ++step) {
    clock.run_for(milliseconds(10));
    max_age = std::max(max_age, watcher.age());
  }
  EXPECT_LE(max_age, seconds(2));
}

}  // namespace
}  // namespace chalkshed
