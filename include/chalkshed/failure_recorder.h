#ifndef CHALKSHED_FAILURE_RECORDER_H
#define CHALKSHED_FAILURE_RECORDER_H

/** \file
 * Records failed runs of batch items in the store, so that the item's attempts are counted over
 * all owners of its job.
 *
 * A failed run counts regardless of who owns the job: an owner that has been superseded records it
 * too, and the entry of one node never replaces that of another. Each run has its own id, so that
 * a write whose answer was lost can be retried. A count kept in the owner's memory until its next
 * checkpoint would restart at 0 with each owner: an item with three attempts ran five times over
 * two changes of owner (RetryBudgetTest). */

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
    /** The worker reports that the item can never succeed. */
    kImpossible,
};

/** The stored failed runs of an item. */
struct item_failures {
    /** Keyed by run id. */
    std::map<uint64_t, run_failure> runs;
    /** Version of the store row. */
    StoreVersion version = 0;

    uint32_t failed() const;
    bool impossible() const;
    /** Whether the item must not be run again on a route with that many attempts. */
    bool used_up(uint32_t attempts) const {
        return impossible() || failed() >= attempts;
    }
};

std::string encode_item_failures(const item_failures &failures);
/** Skips malformed lines: one run too many is less harmful than an item that never runs. */
item_failures decode_item_failures(std::string_view value, StoreVersion version);

class failure_recorder {
public:
    using on_recorded = std::function<void(const item_failures &)>;

    /** \param retry_after Delay before a failed store call is retried; it is retried until the
     * store answers. All references outlive the recorder. */
    failure_recorder(WatchedStore &store, Dispatcher &dispatcher, Logger &logger,
                     Duration retry_after);

    /** Records a failed run of the item.
     * \param known The failed runs that the caller knows; may be outdated.
     * \param done Called once the store holds the run, with all failed runs of the item. */
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
    void retry_write(const entry &added, const item_failures &known, const std::string &reason,
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
