// Keeps up with one table of the store: lists its partitions, then follows its changes, and lists
// again when the history is gone. Each row is told at most once for each of its versions, and never
// in an older version after a newer one, whatever the store answers.
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
  // A row has changed, or is gone (removed).
  virtual void on_row(const StoredRow& row) = 0;
  // All rows have been told once.
  virtual void on_listed() {}
};

// Hands the rows of one table to several observers, which must outlive it.
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

 private:
  const std::vector<TableObserver*> observers_;
};

// Rows of a table that one node hands to another.
struct table_page {
  std::vector<StoredRow> rows;
  // The rows tell all that has changed behind `since` and up to `through`, and perhaps some later
  // changes. 0: they are some rows only.
  StoreVersion since = 0;
  StoreVersion through = 0;
  // They are all rows of the table; those that it lacks are gone.
  bool whole = false;
  Duration age{0};  // the table stood like this so long ago, or newer
};

// How often a table is asked for.
struct WatchPace {
  // How long the store may hold the answer back when nothing changes. Bounds how long a lost
  // connection goes unnoticed where no other sign tells of it.
  Duration max_wait = std::chrono::milliseconds(1500);
  // After changes have come, the next are asked for this much later, so that they come together.
  // Every change of a table goes to every node: a change each would cost a call of each node.
  Duration batch_delay{0};
  // Peers tell of changes and hand them over. The store is only asked each `gather` whether there
  // is anything else: mostly it sends no row.
  bool from_peers = false;
};

struct TableWatcherKnobs {
  WatchPace pace;
  // Other nodes know of a change for this long before this one takes its own question for lost.
  // The store answers all nodes within some 10 ms of each other; while it is slow, this costs one
  // call more.
  Duration hint_patience = std::chrono::milliseconds(150);
  // The same where rows come from peers: changes that come closer together are handed over
  // together.
  Duration peers_gather = std::chrono::milliseconds(300);
  Duration first_retry = std::chrono::milliseconds(100);
  Duration longest_retry = std::chrono::milliseconds(800);
  // The values of rows are kept, so that they can be handed to other nodes.
  bool keep_values = false;
  // Spreads repeated questions over twice the pause, so that all nodes that the store turned away
  // together don't come back together. Null: they are not spread. Must outlive the watcher.
  RandomGenerator* random = nullptr;
};

class TableWatcher {
 public:
  // @param partitions those that are listed.
  // @param observer must outlive the watcher.
  TableWatcher(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store, Logger& logger,
               std::string table, std::vector<std::string> partitions, TableObserver& observer,
               const TableWatcherKnobs& knobs = {});

  void start();
  // Lists the table unless it is large: then `on_large` is called behind its first rows, and the
  // rest is left to begin_with() or start().
  void start_unless_large(std::function<void()> on_large);
  // Asks for changes anew if an answer is awaited: it may be lost.
  void refresh();
  void set_pace(const WatchPace& pace);
  // There is something new that is needed now: does not gather further changes.
  void poll_now();
  // Another node knows a row of the table in this version. If it does not arrive here too, the
  // answer that this node waits for is lost: it asks again.
  void note_newer(StoreVersion version);
  // The newest version of a row that is known.
  StoreVersion newest_row() const { return newest_row_; }
  // Whether another node knows a newer row.
  bool behind() const { return newest_hint_ > std::max(newest_row_, followed_); }
  // A row that another node has from the store.
  void learn(const StoredRow& row) { tell(row); }
  // All changes up to here are known.
  StoreVersion known_through() const { return followed_; }
  // @return what has changed behind that version, or the whole table where this node doesn't know
  // what was removed since then; nothing before the table has been listed. Needs keep_values.
  std::optional<table_page> page_after(StoreVersion since) const;
  // How many rows that page would have, found without making it.
  size_t page_rows(StoreVersion since) const;
  // What a peer hands over. A whole page stands for the list, if that has not been made yet.
  void learn(const table_page& page);
  // Called when a row that other nodes know has not arrived in time.
  void set_on_missed(std::function<void(StoreVersion)> callback) {
    on_missed_ = std::move(callback);
  }
  // Called when the store answers again after a failure.
  void set_on_regained(std::function<void()> callback) { on_regained_ = std::move(callback); }
  // Whether the table has been listed once.
  bool listed() const { return listed_; }
  // Whether the last call failed, and since when the store has not answered.
  bool disconnected() const { return failures_ > 0; }
  MonotonicTime last_heard() const { return last_heard_; }
  // What is known here is the table as it stood so long ago, or newer: since the last question that
  // has been answered was asked. Only the store's clock could tell when it made an answer, and that
  // may drift, jump or be read late. Infinite in effect until the table has been listed.
  Duration age() const { return time_source_.monotonic_now() - as_of_; }

 private:
  struct Known {
    StoreVersion version = 0;
    bool removed = false;
    std::string value;  // with keep_values
  };

  void tell_gone(const std::function<bool(const StoredRowKey&)>& present, StoreVersion version);
  void list();
  void list_partition(size_t index, const std::string& from);
  void handle_page(size_t index, const RangePage& page);
  void finish_list();
  void follow();
  void follow_later(bool changed);
  void handle_changes(const Expected<TableChanges>& changes);
  void tell(const StoredRow& row);
  // Keeps the order of the versions. @param before that of the row until now.
  void index(const std::pair<const StoredRowKey, Known>& entry, StoreVersion before,
             StoreVersion now);
  void retry(const Error& error, std::function<void()> action);
  void heard();
  void check_hint();
  // From a hint until this node does something about it.
  Duration patience() const;

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
  // With keep_values: the entries of known_ in the order of their versions.
  std::multimap<StoreVersion, const std::pair<const StoredRowKey, Known>*> by_version_;
  // Of the list under way: the keys seen and the oldest version of its pages.
  std::map<StoredRowKey, StoreVersion> listing_;
  std::map<std::string, StoreVersion> partition_versions_;
  StoreVersion list_version_ = 0;
  StoreVersion followed_ = 0;  // all changes up to here are known
  // Of what has changed up to here, rows that came and went again are not known.
  StoreVersion complete_since_ = 0;
  bool listed_ = false;
  uint32_t failures_ = 0;
  uint32_t misses_ = 0;             // hints in a row without the row, since the store answered last
  bool following_ = false;          // an answer with changes is awaited
  bool gathering_ = false;          // changes have come, and the next are asked for later
  uint64_t asked_ = 0;              // follow calls made; answers to any but the last are left aside
  std::function<void()> on_large_;  // while it is not known whether the table is large
  std::function<void()> on_regained_;
  std::function<void(StoreVersion)> on_missed_;
  MonotonicTime last_heard_{};
  MonotonicTime as_of_{};       // when the last question that has been answered was asked
  MonotonicTime list_asked_{};  // when the list under way began
  MonotonicTime follow_asked_{};
  std::function<void()> retry_action_;
  TimerPtr retry_timer_;
  TimerPtr hint_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
