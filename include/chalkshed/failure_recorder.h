#ifndef CHALKSHED_FAILURE_RECORDER_H
#define CHALKSHED_FAILURE_RECORDER_H

/** \file
 * Records in the store that runs of a batch item failed, so that the item's attempts are counted
 * over all its owners.
 *
 * A failed run is a fact about the item and not a possession of the job's owner: an owner that has
 * been superseded records it too, and the entry of one node never replaces that of another. Each
 * run has an id of its own, so that a write whose answer was lost may be sent again. Kept in the
 * owner's memory until its next checkpoint, the count began at 0 with each owner: an item with
 * three attempts ran five times over two changes of the owner (RetryBudgetTest).
 */

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

enum class run_failure {
    /** The worker failed on the item; further attempts may succeed. */
    kFailed,
    /** The worker says that the item can never be done. */
    kImpossible,
};

/** What the store holds of an item's failed runs. */
struct item_failures {
    /** By the id of the run. */
    std::map<uint64_t, run_failure> runs;
    /** Of the row. */
    StoreVersion version = 0;

    uint32_t failed() const;
    bool impossible() const;
    /** Whether the item is not to be run any more, on a route that allows so many attempts. */
    bool used_up(uint32_t attempts) const {
        return impossible() || failed() >= attempts;
    }
};

std::string encode_item_failures(const item_failures &failures);
/** Lines that cannot be read are left out: one run too many harms less than an item never run. */
item_failures decode_item_failures(std::string_view value, StoreVersion version);

class failure_recorder {
public:
    using on_recorded = std::function<void(const item_failures &)>;

    /** \param retry_after A call to the store that failed is repeated after this long, until the
     * store has answered. All references outlive the recorder. */
    failure_recorder(WatchedStore &store, Dispatcher &dispatcher, Logger &logger,
                     Duration retry_after);

    /** Adds a run to the failed ones of the item.
     * \param known What the caller knows of them; it need not be the newest.
     * \param done Called once the store holds it, with all that it holds of the item then. */
    void record(const StoredRowKey &row, uint64_t run, run_failure failure,
                const item_failures &known, on_recorded done);

private:
    struct entry {
        StoredRowKey row;
        uint64_t run = 0;
        run_failure failure = run_failure::kFailed;
        on_recorded done;
    };
    void write(const entry &added, const item_failures &known);
    void write_later(const entry &added, const item_failures &known, const std::string &reason,
                     Duration delay);
    void handle_commit(const entry &added, const item_failures &written,
                       const Expected<StoreCommit> &commit);

    WatchedStore &store_;
    Dispatcher &dispatcher_;
    Logger &logger_;
    const Duration retry_after_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
