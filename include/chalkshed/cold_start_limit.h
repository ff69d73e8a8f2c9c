#ifndef CHALKSHED_COLD_START_LIMIT_H
#define CHALKSHED_COLD_START_LIMIT_H

/** \file
 * Limits the request rate to cold workers. A worker that has just started, or is slow again for
 * another reason, handles only a limited number of requests per second and fails beyond it.
 *
 * The limit applies to all nodes together, even while some can't communicate, and it is a small
 * number: an equal share for each of hundreds of nodes would be one request in minutes. Therefore
 * each worker has a few senders, selected by rendezvous hashing from all nodes that are announced
 * in the store; while the worker is cold, only they use it, each at its share of the rate. The
 * liveness of nodes is ignored, because nodes that are cut off from each other would select
 * different senders. */

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/core/time.h"

namespace chalkshed {

/** The operator's settings for cold workers of a service. */
struct cold_start {
    /** Requests per second that one worker handles; 0: no limit. */
    double requests_per_second = 0;
    /** How long a worker stays cold. */
    Duration lasts{0};
};

struct cold_start_knobs {
    /** In one second, a cold worker may be sent `overrun` times its rate plus `slack` requests, as
     * agreed with the operator. */
    double overrun = 1.0;
    double slack = 0.0;
    /** Share of this allowance that is used in normal operation. The rest covers nodes being
     * announced or removed, when two views of the nodes briefly select different senders. */
    double planned_fraction = 0.5;
    /** Senders per worker, if the rate allows as many. With two, a worker is still warmed up when
     * one sender is down. */
    size_t senders = 2;
    /** How long a node must have known the other nodes before it becomes a sender. Of nodes that
     * are added together, each would select itself until it has heard of the rest, which takes up
     * to two seconds: with 73 nodes and 36 added ones, up to 19 requests were sent in a second
     * instead of 13. */
    Duration settle_time = std::chrono::seconds(3);
};

/** State of one worker. */
struct cold_state {
    /** The worker is cold until this time. */
    MonotonicTime until{};
    /** Earliest time of this node's next request to it. */
    MonotonicTime next{};
    /** Whether this node is one of its senders. */
    bool sender = false;
};

class cold_start_limit {
public:
    /** \return Number of announced nodes that rank before this one for that worker, or nothing
     * while the nodes aren't known. */
    using own_rank = std::function<std::optional<size_t>(const std::string &worker)>;

    explicit cold_start_limit(const cold_start_knobs &knobs = {}) : knobs_(knobs) {}

    void set_own_rank(own_rank rank) {
        own_rank_ = std::move(rank);
    }
    /** Called when the other nodes have been listed for the first time. */
    void note_nodes_listed(MonotonicTime now) {
        listed_ = now;
    }
    /** \return The time from which this node may be a sender, once the nodes have been listed. */
    std::optional<MonotonicTime> settled() const {
        return listed_ ? std::optional(*listed_ + knobs_.settle_time) : std::nullopt;
    }
    /** Marks the worker as cold for `left` from now on. Never shortens a longer time, since an
     * older record may arrive late. */
    void note_cold(cold_state &state, const std::string &worker, const cold_start &service,
                   Duration left, MonotonicTime now) const;
    /** Called when the announced nodes have changed or this node has settled. */
    void draw_sender(cold_state &state, const std::string &worker, const cold_start &service,
                     MonotonicTime now) const;
    /** Whether the limit applies to the worker now. */
    static bool limited(const cold_state &state, const cold_start &service, MonotonicTime now) {
        return service.requests_per_second > 0 && state.until > now;
    }
    /** Whether this node may send a request to a worker to which the limit applies. */
    static bool may_send(const cold_state &state, MonotonicTime now) {
        return state.sender && state.next <= now;
    }
    void note_sent(cold_state &state, const cold_start &service, MonotonicTime now) const;

private:
    /** Division of a worker's limit among its senders. */
    struct rate_division {
        size_t senders = 0;
        /** Interval between two requests of one sender. */
        Duration interval{0};
    };
    rate_division divide(const cold_start &service) const;

    const cold_start_knobs knobs_;
    own_rank own_rank_;
    std::optional<MonotonicTime> listed_;
};

} // namespace chalkshed

#endif
