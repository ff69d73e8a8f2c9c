// Fence between applies and the removal of old content: a row that lists the objects being removed.
//
// An apply reads the row before it writes its first object, fails if it refers to a listed object,
// and updates the head on condition that the row is unchanged. So no version that refers to a
// removed object is ever accepted, however long an apply is paused between its steps. The row is
// never deleted, so its version never returns to one that an apply has read.
#pragma once

#include <set>
#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/platform/table_store.h"

namespace chalkshed {

struct RemovalFence {
  // Names in the object store; empty while no removal is in progress.
  std::set<std::string> objects;
  RowVersion row_version = 0;
};

RowKey removal_fence_key();

std::string encode_removal_fence(const std::set<std::string>& objects);

// @param row the fence's row, or nothing if there has never been a removal.
// Errors: kInternal when the row is malformed.
Expected<RemovalFence> decode_removal_fence(const std::optional<Row>& row);

}  // namespace chalkshed
