// How old what a table's watcher knows is, where the store's answers take time on their way back,
// and where the clocks of store and node drift.
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

// Answers are made, with their stamps, and then are on their way for some time. The clock of the
// store runs at its own rate.
class DistantStore : public WatchedStore {
 public:
  DistantStore(WatchedStore& inner, VirtualClock& clock, Dispatcher& dispatcher)
      : inner_(inner), clock_(clock), dispatcher_(dispatcher) {}
  void read_range(RangeRead range, Callback<RangePage> callback) override {
    inner_.read_range(std::move(range), [this, callback](Expected<RangePage> page) {
      call_after(dispatcher_, way_back, [callback, page] { callback(page); });
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
          call_after(dispatcher_, way_back, [callback, changes] { callback(changes); });
        });
  }
  void commit(StoreTransaction transaction, Callback<StoreCommit> callback) override {
    inner_.commit(std::move(transaction), std::move(callback));
  }
  Duration way_back{0};
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
  DistantStore store{inner, clock, dispatcher};
  NullLogger logger;
  NoObserver observer;
  TableWatcher watcher{clock, dispatcher, store, logger, "t", {""}, observer};
};

// A node that starts while answers take 1.2 s to reach it: what it knows is never newer than that.
TEST_F(ViewAgeTest, AnAnswerThatWasLongOnItsWayIsAsOldAsThat) {
  store.way_back = milliseconds(1200);
  watcher.start();
  Duration least = seconds(100);
  clock.run_for(seconds(2));
  for (int step = 0; step < 2000; ++step) {
    clock.run_for(milliseconds(10));
    least = std::min(least, watcher.age());
  }
  EXPECT_GE(least, milliseconds(1200));
}

// The store's clock runs slower than the node's by 50 parts in a million, as clocks of machines do.
// The age of a quiet table does not grow with the days.
TEST_F(ViewAgeTest, DriftOfClocksMakesNoSoundViewOld) {
  store.drift = -50e-6;
  watcher.start();
  clock.run_for(seconds(24 * 3600));
  Duration most{0};
  int old = 0;
  for (int step = 0; step < 3000; ++step) {
    clock.run_for(milliseconds(10));
    most = std::max(most, watcher.age());
    old += watcher.age() > seconds(2) ? 1 : 0;
  }
  // Two questions that were held for 1.5 s each: an answer is as old as its question.
  EXPECT_LE(most, milliseconds(3100)) << old << " of 3000 looks over 2 s";
}

// The pace of an owner: three tenths of the allowed age for the pause, and for each held question.
TEST_F(ViewAgeTest, AnOwnersPaceKeepsItsViewWithinTwoSeconds) {
  watcher.set_pace({.max_wait = milliseconds(600), .batch_delay = milliseconds(600)});
  watcher.start();
  clock.run_for(milliseconds(500));
  StoreTransaction transaction;
  transaction.writes.push_back({{"t", "", "a"}, "1"});
  shared.rows.commit(transaction);
  shared.wake_followers();
  Duration most{0};
  for (int step = 0; step < 500; ++step) {
    clock.run_for(milliseconds(10));
    most = std::max(most, watcher.age());
  }
  EXPECT_LE(most, seconds(2));
}

}  // namespace
}  // namespace chalkshed
