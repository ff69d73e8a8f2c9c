#include "src/watch/store_answers.h"

#include <algorithm>

namespace chalkshed {
namespace {

bool has_condition_on(const StoreTransaction& transaction, const StoredRowKey& key) {
  return std::any_of(transaction.conditions.begin(), transaction.conditions.end(),
                     [&](const StoreCondition& condition) { return condition.key == key; });
}

}  // namespace

bool can_answer(const StoreTransaction& transaction, const StoreCommit& answer,
                StoreVersion known) {
  if (answer.committed) {
    return answer.stamp.version > known || transaction.writes.empty();
  }
  return answer.stamp.version >= known &&
         std::all_of(answer.current.begin(), answer.current.end(),
                     [&](const StoredRow& row) { return has_condition_on(transaction, row.key); });
}

bool can_answer(const RangeRead& range, const RangePage& answer) {
  return std::all_of(answer.rows.begin(), answer.rows.end(), [&](const StoredRow& row) {
    return row.key.table == range.table && row.key.partition == range.partition;
  });
}

bool can_answer(std::string_view table, StoreVersion since, const TableChanges& answer) {
  return answer.stamp.version >= since &&
         std::all_of(answer.rows.begin(), answer.rows.end(),
                     [&](const StoredRow& row) { return row.key.table == table; });
}

}  // namespace chalkshed
