// In-memory transactional table with the semantics of TableStore, applied synchronously. The
// emulator serves it over HTTP with faults; the simulator and tests call it through wrappers that
// add latency.
#pragma once

#include <map>

#include "src/platform/table_store.h"

namespace chalkshed {

class MemoryTable {
 public:
  std::optional<Row> read(const RowKey& key) const;
  ScanPage scan(const ScanRequest& request) const;
  CommitResult commit(const Transaction& transaction);
  size_t size() const { return rows_.size(); }

 private:
  std::map<RowKey, Row> rows_;
  // Versions are unique across the table, so that a row that is deleted and recreated never reuses
  // an old version.
  RowVersion last_version_ = 0;
};

}  // namespace chalkshed
