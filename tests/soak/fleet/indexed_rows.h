#ifndef CHALKSHED_TESTS_SOAK_FLEET_INDEXED_ROWS_H
#define CHALKSHED_TESTS_SOAK_FLEET_INDEXED_ROWS_H

/** \file
 * The rows of the store stand-in with the history of each table, indexed by version: a follower
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

/** A row as it goes over the wire; encoded once, because many followers are sent the same one. */
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
    /** Not committed: the rows of the conditions as they stand. */
    std::vector<encoded_row_ptr> current;
};

class indexed_rows {
public:
    StoreVersion version() const {
        return version_;
    }
    row_range_page read(const RangeRead &range) const;
    row_commit commit(const StoreTransaction &transaction, MonotonicTime now);
    /** Whether the history behind `since` still stands. */
    bool remembers(const std::string &table, StoreVersion since) const;
    /** The changes behind `since`, in order; meaningless unless it is remembered. */
    std::vector<encoded_row_ptr> changes(const std::string &table, StoreVersion since) const;
    /** The version of the newest change of the table. */
    StoreVersion newest(const std::string &table) const;
    /** Forgets the changes made before `time`. */
    void forget_before(MonotonicTime time);

private:
    struct change {
        encoded_row_ptr row;
        MonotonicTime made{};
    };
    struct history {
        std::deque<change> changes;
        StoreVersion begins = 0;
        StoreVersion newest = 0;
    };

    bool holds(const StoreTransaction &transaction, row_commit &result) const;
    void write(const StoreWrite &write, MonotonicTime now);

    std::map<StoredRowKey, encoded_row_ptr> rows_;
    std::map<std::string, history> histories_; // by table
    StoreVersion version_ = 0;
};

} // namespace chalkshed::soak

#endif
