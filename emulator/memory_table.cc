#include "emulator/memory_table.h"

namespace chalkshed {

std::optional<Row> MemoryTable::read(const RowKey& key) const {
  const auto found = rows_.find(key);
  if (found == rows_.end()) {
    return std::nullopt;
  }
  return found->second;
}

ScanPage MemoryTable::scan(const ScanRequest& request) const {
  ScanPage page;
  const std::string start = std::max(request.prefix, request.after_key);
  for (auto row = rows_.lower_bound(RowKey{request.table, start}); row != rows_.end(); ++row) {
    if (row->first.table != request.table || !row->first.key.starts_with(request.prefix)) {
      break;
    }
    if (!request.after_key.empty() && row->first.key <= request.after_key) {
      continue;
    }
    if (page.rows.size() == request.limit) {
      page.more = true;
      break;
    }
    page.rows.push_back(row->second);
  }
  return page;
}

CommitResult MemoryTable::commit(const Transaction& transaction) {
  CommitResult result;
  for (const RowCondition& condition : transaction.conditions) {
    const auto found = rows_.find(condition.key);
    const RowVersion version = found == rows_.end() ? 0 : found->second.version;
    if (version != condition.version) {
      result.failed_conditions.push_back(condition.key);
    }
  }
  if (!result.failed_conditions.empty()) {
    return result;
  }
  result.committed = true;
  for (const RowWrite& write : transaction.writes) {
    ++last_version_;
    result.versions.push_back(last_version_);
    if (write.value) {
      rows_[write.key] = Row{write.key.key, *write.value, last_version_};
    } else {
      rows_.erase(write.key);
    }
  }
  return result;
}

}  // namespace chalkshed
