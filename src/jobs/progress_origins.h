// The software versions that wrote the recorded texts of a job's unfinished items. They are kept in
// one row beside the rows of the texts, whose form nodes of older builds rely on. Such a node may
// write a text without its version, so an entry holds only for the very text that it was written
// for.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/software_id.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

struct ProgressOrigin {
  uint32_t item = 0;  // its position in the job
  software_id software = software_id::kUnknown;
  uint32_t text_hash = 0;
};

// In the table of the items' progress, under the key of an item without id, which older builds
// skip. Jobs with an item without id have no such row.
StoredRowKey progress_origins_key(const std::string& job);
uint32_t progress_text_hash(std::string_view text);
std::string encode_progress_origins(const std::vector<ProgressOrigin>& origins);
// @return the entries that can be read.
std::vector<ProgressOrigin> decode_progress_origins(std::string_view value);

}  // namespace chalkshed
