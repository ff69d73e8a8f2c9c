// The platform's row store and object store in memory, with the troubles of the real ones: calls
// that are refused, whose answers are lost, or that are applied late; history that is dropped;
// reads that are old. Answers arrive after a delay of virtual or real time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/core/time.h"
#include "src/platform/object_store.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

// Rows with their history, free of time and of callers.
class VersionedRows {
 public:
  StoreVersion version() const { return version_; }
  // As of `version`, which the history must still hold.
  RangePage read(const RangeRead& range, StoreVersion version) const;
  RangePage read(const RangeRead& range) const { return read(range, version_); }
  // Errors: kNotFound when the history behind `since` is gone.
  Expected<std::vector<StoredRow>> changes(const std::string& table, StoreVersion since) const;
  StoreCommit commit(const StoreTransaction& transaction);
  void drop_history() { history_begins_ = version_; }

 private:
  struct Change {
    StoreVersion version = 0;
    StoredRow row;
  };
  std::map<StoredRowKey, StoredRow> rows_;
  std::vector<Change> history_;
  StoreVersion version_ = 0;
  StoreVersion history_begins_ = 0;
};

// What goes wrong at the moment.
struct StoreTrouble {
  bool down = false;            // calls are refused: nothing is done
  bool silent = false;          // calls get no answer, and nothing is done
  bool lose_commits = false;    // commits are applied, their answers are lost
  Duration late_commits{0};     // unanswered commits are applied after this long instead
  bool hold_changes = false;    // followers hear nothing
  StoreVersion read_as_of = 0;  // range reads are answered as of this version; 0: as they are
};

// A store with a bounded capacity does one call after the other, also those whose callers have
// given up: the more calls wait, the later all of them are answered.
class StoreQueue {
 public:
  Duration service_time{0};  // of one call; 0: no bound
  bool bounded() const { return service_time > Duration(0); }
  // Takes a further call in. @return until it is done.
  Duration add_call(MonotonicTime now) { return add_work(now, service_time); }
  // Takes in what others ask of the store. @return until it is done.
  Duration add_work(MonotonicTime now, Duration work) {
    free_at_ = std::max(free_at_, now) + work;
    return free_at_ - now;
  }

 private:
  MonotonicTime free_at_{};
};

// The store that all nodes of a test or simulation share.
class SharedStore {
 public:
  VersionedRows rows;
  StoreQueue queue;
  std::map<std::string, std::shared_ptr<const std::string>> objects;
  StoreTrouble trouble;
  uint64_t calls = 0;
  uint64_t refused_transactions = 0;              // they held more than the store takes
  std::map<std::string, uint64_t> rows_followed;  // rows that followers were sent, by table

  void add_follower(std::function<void()> wake) { followers_.push_back(std::move(wake)); }
  void wake_followers();

 private:
  std::vector<std::function<void()>> followers_;
};

// One node's connection to the shared store.
class MemoryWatchedStore : public WatchedStore, public ObjectStore {
 public:
  // @param delay of every answer. All references outlive this.
  MemoryWatchedStore(SharedStore& shared, TimeSource& time_source, Dispatcher& dispatcher,
                     Duration delay = std::chrono::milliseconds(4));

  // A node that is cut off gets no answers, and its calls do nothing.
  void set_cut(bool cut) { cut_ = cut; }
  // A store that is slow for this node: from now on its answers take so long.
  void set_delay(Duration delay) { delay_ = delay; }

  void read_range(RangeRead range, Callback<RangePage> callback) override;
  void read_changes(std::string table, StoreVersion since, Duration wait,
                    Callback<TableChanges> callback) override;
  void commit(StoreTransaction transaction, Callback<StoreCommit> callback) override;
  void put(std::string name, std::shared_ptr<const std::string> content,
           Callback<std::monostate> callback) override;
  void get(std::string name, Callback<std::shared_ptr<const std::string>> callback) override;
  void remove(std::string name, Callback<std::monostate> callback) override;

 private:
  struct Follower {
    std::string table;
    StoreVersion since = 0;
    Callback<TableChanges> callback;
    bool answered = false;
    bool given_up = false;  // by the caller
  };
  using FollowerPtr = std::shared_ptr<Follower>;

  StoreStamp stamp() const;
  // Runs `answer` after the delay, or an error after the time-out when the store doesn't answer.
  template <typename Value>
  void answer_later(Callback<Value> callback, std::function<Expected<Value>()> answer,
                    ErrorKind silence_kind);
  // Until a call that is made now is done.
  Duration queued();
  // A call whose answer comes after the caller's time-out is done all the same.
  template <typename Value>
  void time_out(Callback<Value> callback, std::function<Expected<Value>()> answer,
                ErrorKind silence_kind, Duration queued);
  void hold(const FollowerPtr& follower, Duration wait);
  void give_up_after(const FollowerPtr& follower, Duration wait);
  void wake();
  void answer(const FollowerPtr& follower);

  SharedStore& shared_;
  TimeSource& time_source_;
  Dispatcher& dispatcher_;
  Duration delay_;
  bool cut_ = false;
  std::vector<FollowerPtr> followers_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
