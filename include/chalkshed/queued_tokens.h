#ifndef CHALKSHED_QUEUED_TOKENS_H
#define CHALKSHED_QUEUED_TOKENS_H

/** \file
 * Tracks how many tokens of each job are still to be generated, as reported by the jobs' owners.
 *
 * A job's record contains the tokens of all its items and is not rewritten when an item ends, so
 * that a queue counted from the records alone appears too full. Owners therefore report the
 * remaining tokens along with their heartbeats. The remainder of a job never grows, even if its
 * owner changes: reports may be lost, repeated or reordered, and those of a lost owner stay valid.
 */

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "src/core/time.h"

namespace chalkshed {

/** An owner's report on one of its jobs. */
struct job_remainder {
    /** Hash of the job's id. */
    uint64_t job = 0;
    /** Identifies the queue: route_queue_id() of the job's route. */
    uint64_t queue = 0;
    /** Tokens of its items that have not ended. */
    uint64_t tokens = 0;
};

struct queued_tokens_knobs {
    /** How long a job whose record has not arrived is counted from its report. The record of an
     * accepted job arrives within a second or two while the store answers. */
    Duration unlisted_lifetime = std::chrono::seconds(10);
    /** The drain rate is averaged over about this long: several items of a few seconds each. */
    Duration drain_window = std::chrono::seconds(5);
};

class queued_tokens {
public:
    explicit queued_tokens(const queued_tokens_knobs &knobs = {});

    void note(const job_remainder &reported, MonotonicTime now);
    /** Records that the job has ended, whether or not all its items have run. */
    void close(uint64_t job, MonotonicTime now);

    /** \param tokens The tokens of all items, from the job's record.
     * \return The tokens still to be generated according to the reports. */
    uint64_t remaining_tokens(uint64_t job, uint64_t tokens) const;

    /** Whether there is an unexpired report on the job. */
    bool reported(uint64_t job, MonotonicTime now) const;

    /** Tokens of the queue's jobs that are known from reports only.
     * \param listed Whether the job's record is known, open or not. */
    uint64_t unlisted(uint64_t queue, const std::function<bool(uint64_t job)> &listed,
                      MonotonicTime now) const;

    /** Recent rate, in tokens per second, at which ended items have drained all queues together. */
    double drain_rate(MonotonicTime now) const;

    /** Removes expired reports of jobs without a record. */
    void prune(MonotonicTime now, const std::function<bool(uint64_t job)> &listed);

private:
    struct report {
        uint64_t queue = 0;
        uint64_t tokens = 0;
        MonotonicTime received{};
    };
    void record_drained(uint64_t tokens, MonotonicTime now);

    queued_tokens_knobs knobs_;
    std::unordered_map<uint64_t, report> reports_;
    double drained_ = 0;
    MonotonicTime drained_at_{};
};

} // namespace chalkshed

#endif
