#ifndef CHALKSHED_TESTS_SOAK_FLEET_INDEXED_ROWS_H
#define CHALKSHED_TESTS_SOAK_FLEET_INDEXED_ROWS_H

/** \file
 * The rows of the store emulator with the history of each table, indexed by version: a watch call
 * costs a binary search in the history of its own table, whatever the length of that history.
 */

#include <deque>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "src/core/time.h"
#include "src/platform/watched_store.h"

namespace chalkshed::soak {

/** A row in its wire encoding; encoded once, because many watchers receive the same row. */
struct encoded_row {
    StoreVersion version = 0;
    std::string json;
};
using encoded_row_ptr = std::shared_ptr<const encoded_row>;

struct row_range_page {
    std::vector<encoded_row_ptr> rows;
    bool more = false;
};

struct row_commit {
    bool committed = false;
    /** If not committed: the current rows of the conditions. */
    std::vector<encoded_row_ptr> current;
};

class indexed_rows {
public:
    StoreVersion version() const {
        return version_;
    }
    row_range_page read(const RangeRead &range) const;
    row_commit commit(const StoreTransaction &transaction, MonotonicTime now);
    /** Whether the history after `since` is complete. */
    bool has_history_since(const std::string &table, StoreVersion since) const;
    /** The changes after `since`, in order; valid only if has_history_since() holds. */
    std::vector<encoded_row_ptr> changes(const std::string &table, StoreVersion since) const;
    /** The version of the newest change of the table. */
    StoreVersion newest_version(const std::string &table) const;
    /** Discards the history of changes made before `time`. */
    void trim_history_before(MonotonicTime time);

private:
    struct change {
        encoded_row_ptr row;
        MonotonicTime made{};
    };
    struct history {
        std::deque<change> changes;
        StoreVersion trimmed_version = 0;
        StoreVersion newest = 0;
    };

    bool check_conditions(const StoreTransaction &transaction, row_commit &result) const;
    void write(const StoreWrite &write, MonotonicTime now);

    std::map<StoredRowKey, encoded_row_ptr> rows_;
    std::map<std::string, history> histories_; // by table
    StoreVersion version_ = 0;
};

} // namespace chalkshed::soak

#endif
