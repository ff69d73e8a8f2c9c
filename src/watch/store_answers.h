// Whether an answer of the store can be the one to the call for which it arrived. Answers do not
// name their calls: one that is sent late or twice on a kept connection is recognised by the rows
// that it holds, and by the store's version, which every transaction increments.
#pragma once

#include <string_view>

#include "src/platform/watched_store.h"

namespace chalkshed {

// @param known newest version that the store had reported to this node when the call was sent.
bool can_answer(const StoreTransaction& transaction, const StoreCommit& answer, StoreVersion known);
bool can_answer(const RangeRead& range, const RangePage& answer);
// @param since see WatchedStore::read_changes.
bool can_answer(std::string_view table, StoreVersion since, const TableChanges& answer);

}  // namespace chalkshed
