#ifndef CHALKSHED_KNOWN_FAILED_RUNS_H
#define CHALKSHED_KNOWN_FAILED_RUNS_H

/** \file
 * The failed runs of batch items, of this node and of others, that a node has heard of lately: a
 * bounded collection. Runs stay when the store holds them, because a node that owns the job may
 * have read the store before. Performs no I/O and takes the time as a parameter. */

#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <utility>
#include <vector>

#include "chalkshed/failed_run_message.h"
#include "src/core/time.h"

namespace chalkshed {

struct known_failed_runs_knobs {
    /** Beyond it, the run that was heard of longest ago is dropped. */
    size_t max_runs = 8192;
    /** Its owner repeats an unrecorded run every few seconds. Once the owner is lost, the run must
     * be remembered until the store is back and another node has taken the job over. */
    Duration memory = std::chrono::minutes(10);
};

class known_failed_runs {
public:
    explicit known_failed_runs(const known_failed_runs_knobs &knobs = {}) : knobs_(knobs) {}

    /** Adds the run, or notes that it was heard of again. */
    void add(const failed_run &run, MonotonicTime now);
    /** \param item failed_run_item_hash() */
    std::vector<failed_run> of_item(uint64_t item) const;
    /** Those that the store may not hold yet, the one that was heard of longest ago first. */
    std::vector<failed_run> unrecorded() const;
    /** Drops the runs that were heard of too long ago. */
    void expire(MonotonicTime now);
    size_t size() const {
        return index_.size();
    }

private:
    struct entry {
        failed_run run;
        MonotonicTime heard{};
    };
    using item_and_run = std::pair<uint64_t, uint64_t>;
    static item_and_run key_of(const failed_run &run) {
        return {run.item, run.run};
    }
    void drop_oldest();

    const known_failed_runs_knobs knobs_;
    std::list<entry> entries_; // heard of longest ago first
    std::map<item_and_run, std::list<entry>::iterator> index_;
};

} // namespace chalkshed

#endif
