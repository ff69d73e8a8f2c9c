#ifndef CHALKSHED_PART_TRIAL_SCHEDULE_H
#define CHALKSHED_PART_TRIAL_SCHEDULE_H

/** \file
 * Decides when a part of prompts under which workers crashed is tried again. Workers also crash for
 * other reasons, and then every part that was running on them looks like the cause; since requests
 * with a held part don't run, nothing else would ever clear it.
 *
 * A trial is a single run in the whole fleet, some time after the newest crash. A part that crashes
 * workers ends a few trials and is then tried no more. The schedule depends on the evidence alone,
 * so that all nodes agree on it, also those that learned the evidence from the store.
 *
 * Performs no I/O and takes the time as a parameter. */

#include <cstddef>
#include <cstdint>
#include <optional>
#include <vector>

#include "chalkshed/crash_evidence.h"
#include "chalkshed/software_id.h"
#include "src/core/time.h"

namespace chalkshed {

struct part_trial_knobs {
    /** From the newest crash under a part to its next trial. */
    Duration trial_delay = std::chrono::milliseconds(500);
    /** A request whose content would have lost more than half of the part's workers with this trial
     * waits this much longer: the crashes would look as if the content caused them, and then all
     * other requests with the part would run. */
    Duration same_content_delay = std::chrono::milliseconds(1500);
    /** The trials at a software version end after so many that crashed a worker there, ... */
    size_t max_failed_trials = 2;
    /** ... or after a single one, once workers have crashed under the part at so many moments. */
    size_t max_crash_moments = 6;
    /** From the newest crash to the next trial once they have ended; it grows by a factor with each
     * further crash. Chance may have ended them. */
    Duration late_trial_delay = std::chrono::minutes(1);
    int64_t late_trial_factor = 4;
    /** The same for an accepted batch item whose content alone lost most of the part's workers: a
     * part that many prompts share crashes workers under several contents. ... */
    Duration owed_trial_delay = std::chrono::seconds(15);
    /** ... After so many failures of these, the item waits as others do. */
    size_t max_owed_trials = 3;
};

/** A request that would be the trial of a part. */
struct trial_candidate {
    uint64_t content = 0; // its digest
    /** An accepted batch item, which must run until it is listed. */
    bool owed = false;
};

class part_trial_schedule {
public:
    /** \param evidence Outlives this. */
    explicit part_trial_schedule(const crash_evidence &evidence, const part_trial_knobs &knobs = {})
        : evidence_(evidence), knobs_(knobs) {}

    /** \param workers Number of workers of the service, of all versions.
     * \return The earliest time of the next trial at workers of that software; nothing: the
     * evidence expires before. */
    std::optional<MonotonicTime> next_trial(uint64_t part, const trial_candidate &candidate,
                                            software_id software, size_t workers,
                                            MonotonicTime now) const;

private:
    /** The lost runs with the part that may count, oldest first. */
    std::vector<broken_run> runs_by_time(uint64_t part, MonotonicTime now) const;
    /** What the lost runs say of a part at a software version. */
    struct trial_record {
        size_t moments = 0;          // at which workers crashed, of all software
        size_t failed = 0;           // trials that crashed a worker, but for those within a storm
        size_t failed_since_end = 0; // of those, after the first ones had ended the trials
        size_t late_failures = 0;    // of these, those that came late_trial_delay after a crash
    };
    trial_record record_of(const std::vector<broken_run> &runs, software_id software,
                           size_t workers) const;
    /** Whether the trials have shown that the part crashes workers. */
    bool ended(const trial_record &record) const;
    /** Whether accepted work waits for the trial, and its content explains most of the crashes. */
    bool is_owed_trial(const trial_candidate &candidate, const trial_record &record,
                       const std::vector<broken_run> &runs) const;
    /** \return From the newest crash to the next trial; nothing: the evidence expires before. */
    std::optional<Duration> delay_after(const trial_record &record) const;

    const crash_evidence &evidence_;
    const part_trial_knobs knobs_;
};

} // namespace chalkshed

#endif
