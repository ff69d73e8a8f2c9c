// In-memory row store and object store of the platform, with the faults of the real ones: refused
// calls, lost responses, commits that are applied late, dropped history and stale reads. Responses
// arrive after a delay in virtual or real time.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "emulator/store_limits.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/core/time.h"
#include "src/platform/object_store.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

// Rows with their history, independent of time and of callers.
class VersionedRows {
 public:
  StoreVersion version() const { return version_; }
  // Reads as of `version`, which the history must still contain.
  RangePage read(const RangeRead& range, StoreVersion version) const;
  RangePage read(const RangeRead& range) const { return read(range, version_); }
  // Errors: kNotFound if the history after `since` has been dropped.
  Expected<std::vector<StoredRow>> changes(const std::string& table, StoreVersion since) const;
  // Whether changes() would return rows or an error, without copying them.
  bool has_changes(const std::string& table, StoreVersion since) const;
  StoreCommit commit(const StoreTransaction& transaction);
  void drop_history() { history_begins_ = version_; }

 private:
  struct Change {
    StoreVersion version = 0;
    StoredRow row;
  };
  std::map<StoredRowKey, StoredRow> rows_;
  std::vector<Change> history_;                  // ordered by version
  std::map<std::string, StoreVersion> changed_;  // the newest change of each table
  StoreVersion version_ = 0;
  StoreVersion history_begins_ = 0;
};

// Faults that are currently active.
struct StoreTrouble {
  bool down = false;            // calls are refused and have no effect
  bool silent = false;          // calls get no response and have no effect
  bool lose_commits = false;    // commits are applied, but their responses are lost
  Duration late_commits{0};     // commits with lost responses are applied after this delay
  bool hold_changes = false;    // followers receive no changes
  StoreVersion read_as_of = 0;  // range reads return this version; 0: the current version
};

// Models a store with limited capacity, which executes calls serially, including those whose
// callers have timed out: the longer the queue, the later every call completes.
class StoreQueue {
 public:
  Duration service_time{0};  // per call; 0: unlimited capacity
  bool bounded() const { return service_time > Duration(0); }
  // Enqueues a call. @return time until it completes.
  Duration add_call(MonotonicTime now) { return add_work(now, service_time); }
  // Enqueues other load of the store. @return time until it completes.
  Duration add_work(MonotonicTime now, Duration work) {
    free_at_ = std::max(free_at_, now) + work;
    return free_at_ - now;
  }

 private:
  MonotonicTime free_at_{};
};

// Store state shared by all nodes of a test or simulation.
class SharedStore {
 public:
  VersionedRows rows;
  StoreQueue queue;
  LimitedCalls limited;
  std::map<std::string, std::shared_ptr<const std::string>> objects;
  StoreTrouble trouble;
  uint64_t calls = 0;
  uint64_t refused_transactions = 0;                // over the store's limit on entries or bytes
  std::map<std::string, uint64_t> rows_followed;    // rows sent to followers, by table
  std::map<std::string, uint64_t> own_connections;  // commits with one, by table of the first write

  void add_follower(std::function<void()> wake) { followers_.push_back(std::move(wake)); }
  void wake_followers();

 private:
  std::vector<std::function<void()>> followers_;
};

// One node's connection to the shared store.
class MemoryWatchedStore : public WatchedStore, public ObjectStore {
 public:
  // @param delay latency of every response. All references must outlive this object.
  MemoryWatchedStore(SharedStore& shared, TimeSource& time_source, Dispatcher& dispatcher,
                     Duration delay = std::chrono::milliseconds(4));

  // Partitions the node from the store: its calls have no effect and get no response.
  void set_cut(bool cut) { partitioned_ = cut; }
  // Sets the response latency of the store for this node.
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
    bool timed_out = false;  // the caller has timed out
  };
  using FollowerPtr = std::shared_ptr<Follower>;

  StoreStamp stamp() const;
  // Runs `answer` after the delay, or fails after the time-out if the store does not respond.
  template <typename Value>
  void answer_later(Callback<Value> callback, std::function<Expected<Value>()> answer,
                    ErrorKind no_response_kind);
  // @return time until a call that is made now completes.
  Duration queueing_delay();
  // Answers a call that exceeds the store's rate.
  template <typename Value>
  void refuse(Callback<Value> callback);
  // Calls `callback` once an answer of that size has been sent.
  void send(uint64_t bytes, std::function<void()> callback);
  // A call still takes effect if its response is later than the caller's time-out.
  template <typename Value>
  void time_out(Callback<Value> callback, std::function<Expected<Value>()> answer,
                ErrorKind no_response_kind, Duration queued);
  void hold(const FollowerPtr& follower, Duration wait);
  void time_out_after(const FollowerPtr& follower, Duration wait);
  void wake();
  void answer(const FollowerPtr& follower);

  SharedStore& shared_;
  TimeSource& time_source_;
  Dispatcher& dispatcher_;
  Duration delay_;
  bool partitioned_ = false;
  std::vector<FollowerPtr> followers_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
