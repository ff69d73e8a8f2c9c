#ifndef CHALKSHED_QUEUE_ADMISSION_H
#define CHALKSHED_QUEUE_ADMISSION_H

/** \file
 * Decides whether a job fits into the queue of its route. The limit applies to all nodes together
 * and to each tenant separately.
 *
 * Far below the limit a node decides from its local view, without a call. Near the limit,
 * concurrent decisions of several nodes could each use the last free tokens, so a node first
 * reserves the tokens in a row of the store that all nodes write conditionally. A reservation
 * counts until the deciding node knows the job, and expires after a few seconds: by then the job's
 * record has reached all nodes, or the job was not stored.
 */

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"

namespace chalkshed {

/** A node's view of the queues of all nodes. */
class queue_view {
public:
    virtual ~queue_view() = default;
    /** Whether all jobs in the store have been read. */
    virtual bool complete() const = 0;
    /** Tokens of the tenant's accepted items on the route that have not ended. */
    virtual uint64_t queued(const Route &route, const std::string &tenant) const = 0;
    /** Whether queued() includes the job while it is open. */
    virtual bool is_counted(const std::string &job) const = 0;
    /** Tokens that leave all queues per second. */
    virtual double drain_rate() const = 0;
};

struct admission_verdict {
    bool admitted = false;
    /** The following fields explain a refusal. */
    uint64_t queued = 0;
    uint64_t limit = 0;
    /** When the job may fit, estimated from the drain rate of the queue. */
    Duration retry_after{0};
};

struct admission_knobs {
    /** Up to this share of the limit no reservation is made: the rest covers the jobs that other
     * nodes accept before this one learns of them, at most a second or two of arrivals. */
    double unreserved_share = 0.75;
    /** A reservation is only skipped if this many jobs of the same size would fit: that many may be
     * accepted by other nodes at the same moment. */
    uint64_t concurrent_jobs_margin = 8;
    /** A reservation expires after this long by the store's clock; the record of a stored job has
     * reached all nodes by then. */
    Duration reservation_lifetime = std::chrono::seconds(5);
    /** Maximum number of conditional writes of the row that fail because another node wrote it. */
    uint32_t max_conflicts = 8;
    /** Backoff after such a conflict: a random part of this, doubled with each conflict. About the
     * time that the store takes to answer a write. Without it all nodes that reserve would write at
     * the same moments, one would succeed, and the store would throttle the others. */
    Duration conflict_backoff = std::chrono::milliseconds(15);
    /** Maximum number of waiting jobs whose tokens one write reserves. */
    size_t max_jobs_per_write = 20;
    /** Bounds of the delay after which a refused caller should retry. */
    Duration min_retry_after = std::chrono::milliseconds(200);
    Duration max_retry_after = std::chrono::seconds(4);
};

/** Identifies the queue of a tenant on a route, between nodes and in the store, independently of
 * the route's name. */
uint64_t route_queue_id(const Route &route, const std::string &tenant);

class queue_admission {
public:
    /** All references must outlive the admission. */
    queue_admission(JobEnvironment &environment, const queue_view &view,
                    const admission_knobs &knobs = {});

    /** \param callback Called immediately if no call to the store is needed.
     * Errors: kStoreUnavailable with Ran::kNo while the queue is not known, and those of the
     * store. The job was not accepted in any of these cases. */
    void admit(const RequestJob &job, const Callback<admission_verdict> &callback);

private:
    struct reservation {
        std::string job;
        uint64_t tokens = 0;
        /** By the store's clock. */
        Duration created{0};
    };
    struct reservation_row {
        StoreVersion version = 0;
        std::vector<reservation> reservations;
    };
    struct candidate {
        std::string job;
        std::string tenant;
        uint64_t tokens = 0;
        std::string host;
        std::string path;
        Callback<admission_verdict> callback;
    };
    /** This node's reservations in one queue: one write at a time, for all waiting jobs. */
    struct queue_state {
        reservation_row latest;
        std::vector<candidate> waiting;
        /** Jobs of the write in progress. */
        std::vector<candidate> reserving;
        bool busy = false;
        uint32_t conflicts = 0;
        TimerPtr backoff;
    };

    const Route *route_of(const RouteTablePtr &table, const candidate &wanted) const;
    void reserve(uint64_t queue, candidate wanted);
    /** Writes reservations for the waiting jobs that fit, and answers the others. */
    void write_reservations(uint64_t queue);
    /** \return The row to write, including a reservation for each waiting job that fits. */
    reservation_row add_reservations(queue_state &state, std::vector<candidate> waiting);
    void handle_written(uint64_t queue, reservation_row sent, const Expected<StoreCommit> &commit);
    void handle_conflict(uint64_t queue, const StoreCommit &commit);
    /** Ends the write: answers its jobs and starts the next write. */
    void finish_write(uint64_t queue, const Expected<admission_verdict> &verdict);
    admission_verdict evaluate(const Route &route, const candidate &wanted,
                               uint64_t reserved) const;
    static std::string encode(const reservation_row &entries);
    /** Malformed reservations are logged and do not count. */
    reservation_row decode(const StoredRow &row) const;

    JobEnvironment &environment_;
    const queue_view &view_;
    admission_knobs knobs_;
    std::map<uint64_t, queue_state> queue_states_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
