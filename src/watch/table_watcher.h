// Watches one table of the store: lists its partitions, then follows its changes, and lists again
// when the history is gone. The observer is notified at most once of each version of a row, and
// never of an older version after a newer one, whatever the store answers.
#pragma once

#include <algorithm>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

class TableObserver {
 public:
  virtual ~TableObserver() = default;
  // A row has changed or was removed.
  virtual void on_row(const StoredRow& row) = 0;
  // on_row() has been called for all rows.
  virtual void on_listed() {}
  // Rows may have been added and removed again that on_row() was never called for.
  virtual void on_unseen_rows() {}
};

// Forwards the rows of one table to several observers, which must outlive it.
class observer_list : public TableObserver {
 public:
  explicit observer_list(std::vector<TableObserver*> observers)
      : observers_(std::move(observers)) {}
  void on_row(const StoredRow& row) override {
    for (TableObserver* observer : observers_) {
      observer->on_row(row);
    }
  }
  void on_listed() override {
    for (TableObserver* observer : observers_) {
      observer->on_listed();
    }
  }
  void on_unseen_rows() override {
    for (TableObserver* observer : observers_) {
      observer->on_unseen_rows();
    }
  }

 private:
  const std::vector<TableObserver*> observers_;
};

// Rows of a table that one node sends to another.
struct table_page {
  std::vector<StoredRow> rows;
  // The rows contain all changes after `since` and up to `through`, and possibly some later ones.
  // 0: they are individual rows.
  StoreVersion since = 0;
  StoreVersion through = 0;
  // Whether these are all rows of the table; rows that are missing were removed.
  bool whole = false;
  Duration age{0};  // maximum age of the rows
};

// How often the changes of a table are requested.
struct WatchPace {
  // How long the store may delay the answer when nothing changes (long polling). Limits how long a
  // lost connection goes undetected without other indications.
  Duration max_wait = std::chrono::milliseconds(1500);
  // After changes have arrived, the next ones are requested this much later, so that they arrive
  // together: every change goes to every node, and would otherwise cost a call per node.
  Duration batch_delay{0};
  // Peers report changes and send their rows. The store is polled for further changes only
  // once per `batch_delay`, and usually returns no row.
  bool from_peers = false;
};

struct TableWatcherKnobs {
  WatchPace pace;
  // How long other nodes have known of a change before this one considers its own request lost.
  // The store answers all nodes within about 10 ms of each other; while it is slow, this costs one
  // additional call.
  Duration hint_timeout = std::chrono::milliseconds(150);
  // Used instead of hint_timeout if rows come from peers: changes that are closer together are sent
  // together.
  Duration peer_batch_delay = std::chrono::milliseconds(300);
  Duration first_retry = std::chrono::milliseconds(100);
  Duration longest_retry = std::chrono::milliseconds(800);
  // Keeps the values of rows, so that they can be sent to other nodes.
  bool keep_values = false;
  // Adds jitter of up to the retry delay, so that nodes that the store refused together do not all
  // retry together. Null: no jitter. Must outlive the watcher.
  RandomGenerator* random = nullptr;
};

class TableWatcher {
 public:
  // @param partitions the partitions to list.
  // @param observer must outlive the watcher.
  TableWatcher(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store, Logger& logger,
               std::string table, std::vector<std::string> partitions, TableObserver& observer,
               const TableWatcherKnobs& knobs = {});

  void start();
  // Lists the table unless it is large: then `on_large` is called after its first rows, and the
  // rest is left to learn() or start().
  void start_unless_large(std::function<void()> on_large);
  // Requests changes again if an answer is pending: it may be lost.
  void refresh();
  void set_pace(const WatchPace& pace);
  // Requests the next changes without further delay, because a change is needed now.
  void poll_now();
  // Another node has a row of the table with this version. If the row does not arrive here too, the
  // pending answer is considered lost and the changes are requested again.
  void note_newer(StoreVersion version);
  // The newest known version of a row.
  StoreVersion newest_row() const { return newest_row_; }
  // While an observer is called: whether rows may have changed more than once since the answer
  // before, so that it does not see each version.
  bool may_have_missed() const { return may_have_missed_; }
  // Whether another node has a newer row.
  bool behind() const { return newest_hint_ > std::max(newest_row_, followed_); }
  // Applies a row that another node has read from the store.
  void learn(const StoredRow& row);
  // Applies the answer to a read of the changes after known_through() or earlier.
  // @param asked when the read was sent.
  void apply(const TableChanges& changes, MonotonicTime asked);
  const std::string& name() const { return table_; }
  // All changes up to here are known.
  StoreVersion known_through() const { return followed_; }
  // @return the changes after that version, or the whole table if this node does not know which
  // rows were removed since then; nothing before the table has been listed. Requires keep_values.
  std::optional<table_page> page_after(StoreVersion since) const;
  // The number of rows of that page, without building it.
  size_t page_rows(StoreVersion since) const;
  // Applies a page from a peer. A whole page replaces the initial list of the table.
  // @param asked when the page was requested: its age is that at its peer, some time later.
  void learn(const table_page& page, MonotonicTime asked);
  // Called when a row that other nodes have has not arrived in time.
  void set_on_missed(std::function<void(StoreVersion)> callback) {
    on_missed_ = std::move(callback);
  }
  // Called when the store answers again after a failure.
  void set_on_regained(std::function<void()> callback) { on_regained_ = std::move(callback); }
  // Whether the table has been listed once.
  bool listed() const { return listed_; }
  // Whether the last call failed.
  bool disconnected() const { return failures_ > 0; }
  // Maximum age of this view of the table: the time since the last answered request was sent. When
  // the store generated the answer is only known by its own clock, which may drift, jump or be read
  // late. Effectively infinite until the table has been listed.
  Duration age() const { return time_source_.monotonic_now() - as_of_; }
  // Time since which the table may have changed unseen. Less than age(): the store holds an answer
  // without rows back for the whole long poll. When this node read the answer does not count, since
  // the answer may have waited for that.
  Duration unconfirmed() const { return time_source_.monotonic_now() - unchanged_until_; }

 private:
  struct Known {
    StoreVersion version = 0;
    bool removed = false;
    std::string value;  // with keep_values
  };

  void remove_absent(const std::function<bool(const StoredRowKey&)>& present, StoreVersion version);
  void list();
  void list_partition(size_t index, const std::string& from);
  void handle_page(size_t index, const RangePage& page);
  void finish_list();
  void follow();
  void follow_later(bool changed);
  void handle_changes(const Expected<TableChanges>& changes);
  void apply_changes(const TableChanges& changes, MonotonicTime asked);
  // The view shows the table as of that time.
  void note_as_of(MonotonicTime time);
  void notify(const StoredRow& row);
  // Updates by_version_. @param before the previous version of the row.
  void index(const std::pair<const StoredRowKey, Known>& entry, StoreVersion before,
             StoreVersion now);
  void retry(const Error& error, std::function<void()> action);
  void note_answer();
  void check_hint();
  // Delay from a hint until this node acts on it.
  Duration hint_delay() const;

  TimeSource& time_source_;
  WatchedStore& store_;
  Logger& logger_;
  const std::string table_;
  const std::vector<std::string> partitions_;
  TableObserver& observer_;
  const TableWatcherKnobs knobs_;
  WatchPace pace_;
  StoreVersion newest_row_ = 0;
  StoreVersion newest_hint_ = 0;
  std::map<StoredRowKey, Known> known_;
  // With keep_values: the entries of known_, ordered by version.
  std::multimap<StoreVersion, const std::pair<const StoredRowKey, Known>*> by_version_;
  // The list in progress: the keys seen and the oldest version of the pages of each partition.
  std::map<StoredRowKey, StoreVersion> listing_;
  std::map<std::string, StoreVersion> partition_versions_;
  StoreVersion list_version_ = 0;
  StoreVersion followed_ = 0;  // all changes up to here are known
  // Rows that were added and removed up to this version may be unknown.
  StoreVersion complete_since_ = 0;
  bool listed_ = false;
  bool may_have_missed_ = true;
  uint32_t failures_ = 0;
  uint32_t misses_ = 0;             // consecutive hints without their row since the last answer
  bool following_ = false;          // an answer with changes is pending
  bool batching_ = false;           // changes have arrived, and the next request is delayed
  uint64_t follow_calls_ = 0;       // number of follow calls; only the answer to the last is used
  std::function<void()> on_large_;  // while it is not known whether the table is large
  std::function<void()> on_regained_;
  std::function<void(StoreVersion)> on_missed_;
  MonotonicTime last_heard_{};
  MonotonicTime as_of_{};       // when the last answered request was sent
  MonotonicTime list_asked_{};  // when the list in progress began
  MonotonicTime follow_asked_{};
  Duration follow_wait_{0};          // of the long poll
  MonotonicTime unchanged_until_{};  // all changes up to here are known
  std::function<void()> retry_action_;
  TimerPtr retry_timer_;
  TimerPtr hint_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
