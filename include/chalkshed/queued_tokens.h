#ifndef CHALKSHED_QUEUED_TOKENS_H
#define CHALKSHED_QUEUED_TOKENS_H

/** \file
 * How many tokens of a job are still to be generated, as its owner reports it to the other nodes.
 *
 * A job's record names the tokens of all its items. It is not rewritten with every item that ends,
 * so that by the records alone a queue looks fuller than it is. Owners therefore report what is
 * left beside their heartbeats. What is left of a job only ever shrinks, whoever owns it: reports
 * may be lost, repeated or overtake each other, and those of a lost owner stay true.
 */

#include <cstdint>
#include <functional>
#include <unordered_map>

#include "src/core/time.h"

namespace chalkshed {

/** What an owner reports of one of its jobs. */
struct job_remainder {
    /** Hash of the job's id. */
    uint64_t job = 0;
    /** Identifies the queue: route_queue_id() of the job's route. */
    uint64_t queue = 0;
    /** Tokens of its items that have not ended. */
    uint64_t tokens = 0;
};

struct queued_tokens_knobs {
    /** A job whose record has not arrived is counted by its report for this long. The record of an
     * accepted job arrives within a second or two while the store answers. */
    Duration unlisted_lifetime = std::chrono::seconds(10);
    /** The rate at which the queue drains is a mean over about this long: several items of a few
     * seconds each. */
    Duration drain_window = std::chrono::seconds(5);
};

class queued_tokens {
public:
    explicit queued_tokens(const queued_tokens_knobs &knobs = {});

    void note(const job_remainder &reported, MonotonicTime now);
    /** The job has ended, with or without its remaining items. */
    void close(uint64_t job, MonotonicTime now);

    /** \param tokens Those of all items, by the job's record.
     * \return What is left of it, as far as reported. */
    uint64_t left_of(uint64_t job, uint64_t tokens) const;

    /** Whether the job is known by a report that still counts. */
    bool reported(uint64_t job, MonotonicTime now) const;

    /** Tokens of the queue's jobs that are known by reports alone.
     * \param listed Whether the job's record is known, open or not. */
    uint64_t unlisted(uint64_t queue, const std::function<bool(uint64_t job)> &listed,
                      MonotonicTime now) const;

    /** Tokens that all queues together have lost to ended items, a second, of late. */
    double drain_rate(MonotonicTime now) const;

    /** Forgets reports that count no more. */
    void prune(MonotonicTime now, const std::function<bool(uint64_t job)> &listed);

private:
    struct report {
        uint64_t queue = 0;
        uint64_t tokens = 0;
        MonotonicTime heard{};
    };
    void drained(uint64_t tokens, MonotonicTime now);

    queued_tokens_knobs knobs_;
    std::unordered_map<uint64_t, report> reports_;
    double drained_ = 0;
    MonotonicTime drained_at_{};
};

} // namespace chalkshed

#endif
