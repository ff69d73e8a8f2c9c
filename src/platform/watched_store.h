// The platform's transactional row store, as the serving path uses it: tables are split into
// partitions, every transaction draws one version from a single rising counter, and a table's
// changes can be followed. Adapters implement it over the real service; emulator/ in memory.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/error.h"

namespace chalkshed {

// Version of a row or of the whole store. 0 stands for "no such row".
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
  bool removed = false;  // a change only: the row is gone
};

// Keys in [first_key, end_key); an empty end_key means to the last key.
struct RangeRead {
  std::string table;
  std::string partition;
  std::string first_key;
  std::string end_key;
  uint32_t limit = 500;
};

// What every answer of the store tells beside its rows.
struct StoreStamp {
  StoreVersion version = 0;  // newest version of the whole store
  Duration steady_clock{0};  // the store's own clock, which never jumps
};

struct RangePage {
  std::vector<StoredRow> rows;  // as of one moment, in ascending order of keys
  bool more = false;
  StoreStamp stamp;
};

struct TableChanges {
  std::vector<StoredRow> rows;  // in order of their versions
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

// What one transaction may hold: conditions and writes together, and bytes of the written values.
// More is refused as a whole. The bytes leave room for their encoding on the wire.
inline constexpr size_t kMostTransactionEntries = 100;
inline constexpr size_t kMostTransactionBytes = 700 * 1024;

// Applied as a whole if and only if all conditions hold. All keys share one partition.
struct StoreTransaction {
  std::vector<StoreCondition> conditions;
  std::vector<StoreWrite> writes;
};

struct StoreCommit {
  bool committed = false;
  // Not committed: the rows of the conditions as they stand; those absent have version 0.
  std::vector<StoredRow> current;
  StoreStamp stamp;  // committed: its version is that of all written rows
};

class WatchedStore {
 public:
  virtual ~WatchedStore() = default;
  // Errors: kStoreUnavailable, with retry_after when rate-limited.
  virtual void read_range(RangeRead range, Callback<RangePage> callback) = 0;
  // Answers as soon as the table has changed behind `since`, or with no rows after `wait`.
  // Errors: kStoreUnavailable; kNotFound when the history behind `since` is gone.
  virtual void read_changes(std::string table, StoreVersion since, Duration wait,
                            Callback<TableChanges> callback) = 0;
  // Errors: kStoreUnavailable with Ran::kNo when nothing was done; kOutcomeUnknown when the answer
  // was lost. Such a transaction may still be applied later while its conditions hold.
  virtual void commit(StoreTransaction transaction, Callback<StoreCommit> callback) = 0;
};

}  // namespace chalkshed
