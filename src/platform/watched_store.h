// Interface to the platform's transactional row store for the serving path: tables have partitions,
// every transaction gets one version from a single increasing counter, and clients can follow the
// changes of a table. Adapters implement it on top of the real service; emulator/ in memory.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/error.h"

namespace chalkshed {

// Version of a row or of the whole store. 0 means "no such row".
using StoreVersion = uint64_t;

struct StoredRowKey {
  std::string table;
  std::string partition;  // may be empty
  std::string key;

  auto operator<=>(const StoredRowKey&) const = default;
};

struct StoredRow {
  StoredRowKey key;
  std::string value;
  StoreVersion version = 0;
  bool removed = false;  // only in changes: the row was removed
};

// Keys in [first_key, end_key); an empty end_key means no upper bound.
struct RangeRead {
  std::string table;
  std::string partition;
  std::string first_key;
  std::string end_key;
  uint32_t limit = 500;
};

// Metadata of every answer of the store.
struct StoreStamp {
  StoreVersion version = 0;  // newest version of the whole store
  Duration steady_clock{0};  // the store's own clock, which never jumps
};

struct RangePage {
  std::vector<StoredRow> rows;  // a consistent snapshot, in ascending order of keys
  bool more = false;
  StoreStamp stamp;
};

struct TableChanges {
  std::vector<StoredRow> rows;  // ordered by version
  StoreStamp stamp;             // continue from stamp.version
};

// Holds when the row has that version (0: when there is no such row).
struct StoreCondition {
  StoredRowKey key;
  StoreVersion version = 0;
};

// Writes `value`, or removes the row when it is empty.
struct StoreWrite {
  StoredRowKey key;
  std::optional<std::string> value;
};

// Limits of one transaction: number of conditions and writes, and total size of the written values.
// Larger ones are rejected. The size limit leaves room for the encoding on the wire.
inline constexpr size_t kMostTransactionEntries = 100;
inline constexpr size_t kMostTransactionBytes = 700 * 1024;

// Applied atomically if and only if all conditions hold. All keys are in one partition.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
  // Sent over a connection of its own, so that a rejection proves that it was not applied: the
  // store's answers do not name their calls.
  bool own_connection = false;
};

struct StoreCommit {
  bool committed = false;
  // Not committed: the current rows of the conditions; absent rows have version 0.
  std::vector<StoredRow> current;
  StoreStamp stamp;  // committed: contains the version of all written rows
};

class WatchedStore {
 public:
  virtual ~WatchedStore() = default;
  // Errors: kStoreUnavailable, with retry_after when rate-limited.
  virtual void read_range(RangeRead range, Callback<RangePage> callback) = 0;
  // Answers as soon as the table has changes after `since`, or without rows after `wait`.
  // Errors: kStoreUnavailable; kNotFound when the history after `since` is gone.
  virtual void read_changes(std::string table, StoreVersion since, Duration wait,
                            Callback<TableChanges> callback) = 0;
  // Answers at once, over a connection opened for this call: the answer shows the table as it was
  // after the call began, and cannot be that to an earlier one. Errors as for read_changes().
  virtual void read_changes_anew(std::string table, StoreVersion since,
                                 Callback<TableChanges> callback) {
    read_changes(std::move(table), since, Duration(0), std::move(callback));
  }
  // Errors: kStoreUnavailable with Ran::kNo when it was not applied; kOutcomeUnknown when the
  // answer was lost, or is a rejection that may belong to another call. Such a transaction may
  // still be applied later while its conditions hold.
  virtual void commit(StoreTransaction transaction, Callback<StoreCommit> callback) = 0;
  // An answer was not the one to its call: later calls use connections that are opened after this.
  virtual void renew_connections() {}
};

}  // namespace chalkshed
