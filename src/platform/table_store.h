// Interface to the platform's transactional table service. Adapters implement it on top of the real
// service; emulator/ and sim/ implement it in memory.
#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/error.h"

namespace chalkshed {

struct RowKey {
  std::string table;
  std::string key;

  auto operator<=>(const RowKey&) const = default;
};

// Version 0 means "no such row"; each committed write of a row increments its version.
using RowVersion = uint64_t;

struct Row {
  std::string key;
  std::string value;
  RowVersion version = 0;
};

// Holds when the row's version equals `version` (0: the row must be absent).
struct RowCondition {
  RowKey key;
  RowVersion version = 0;
};

// Writes `value`, or deletes the row when it is empty.
struct RowWrite {
  RowKey key;
  std::optional<std::string> value;
};

// All writes are applied atomically if and only if all conditions hold.
struct Transaction {
  std::vector<RowCondition> conditions;
  std::vector<RowWrite> writes;
};

struct CommitResult {
  bool committed = false;
  // Not committed: the keys whose conditions did not hold.
  std::vector<RowKey> failed_conditions;
  // Committed: the new version of every written row, in the order of the writes.
  std::vector<RowVersion> versions;
};

struct ScanRequest {
  std::string table;
  std::string prefix;     // only keys with this prefix
  std::string after_key;  // exclusive; empty: from the first key
  uint32_t limit = 100;
};

struct ScanPage {
  std::vector<Row> rows;  // in ascending key order
  bool more = false;
};

class TableStore {
 public:
  virtual ~TableStore() = default;
  // Errors of reads: kStoreUnavailable (with retry_after when rate-limited).
  virtual void read(RowKey key, Callback<std::optional<Row>> callback) = 0;
  virtual void scan(ScanRequest request, Callback<ScanPage> callback) = 0;
  // Errors: kStoreUnavailable with Ran::kNo when the transaction was certainly not applied (with
  // retry_after when rate-limited); kOutcomeUnknown when the answer was lost: read the rows again.
  virtual void commit(Transaction transaction, Callback<CommitResult> callback) = 0;
};

}  // namespace chalkshed
