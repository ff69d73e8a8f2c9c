#ifndef CHALKSHED_COLD_START_LIMIT_H
#define CHALKSHED_COLD_START_LIMIT_H

/** \file
 * How much a cold worker is sent: one that has just started, or is slow again for another reason,
 * bears only so many requests a second and falls over beyond that.
 *
 * The limit holds for all nodes together, also while some can't hear the others, and is a small
 * number: a share of it for each of hundreds of nodes would be a request in minutes. Each worker
 * therefore has a few senders, drawn by rendezvous hashing from all nodes that the store announces;
 * while it is cold, they alone use it, each at its part of the rate. Which nodes live doesn't
 * matter: nodes that are cut off from each other would draw different ones. */

#include <functional>
#include <map>
#include <optional>
#include <string>

#include "src/core/time.h"

namespace chalkshed {

/** What the operator says of cold workers of a service. */
struct cold_start {
    /** Requests a second that one bears; 0: there is no limit. */
    double requests_per_second = 0;
    /** How long a worker stays cold. */
    Duration lasts{0};
};

struct cold_start_knobs {
    /** In a second, a cold worker may be sent `overrun` times its rate and `slack` requests more;
     * from the agreement with the operator. */
    double overrun = 1.0;
    double slack = 0.0;
    /** Of that, so much is planned for. The rest is for nodes that are announced or removed: for a
     * moment two views of the nodes draw different senders. */
    double planned_share = 0.5;
    /** Senders of one worker, if the rate allows as many. With two, a worker whose sender is down
     * is still warmed up. */
    size_t senders = 2;
    /** A node has known the others for so long before it is a sender. Of nodes that are added
     * together, each would draw itself until it has heard of the rest, which takes up to two
     * seconds: 73 nodes and 36 added ones sent up to 19 requests in a second in place of 13. */
    Duration settle = std::chrono::seconds(3);
};

/** One worker's state. */
struct cold_state {
    /** It is cold until then. */
    MonotonicTime until{};
    /** This node may send it a request from then on. */
    MonotonicTime next{};
    /** Whether this node is one of its senders. */
    bool sender = false;
};

class cold_start_limit {
public:
    /** \return How many announced nodes come before this one for that worker, or nothing while the
     * nodes are not known. */
    using own_rank = std::function<std::optional<size_t>(const std::string &worker)>;

    explicit cold_start_limit(const cold_start_knobs &knobs = {}) : knobs_(knobs) {}

    void set_own_rank(own_rank rank) {
        own_rank_ = std::move(rank);
    }
    /** The other nodes have been listed for the first time. */
    void note_nodes_listed(MonotonicTime now) {
        listed_ = now;
    }
    /** \return When this node may be a sender, if the nodes have been listed. */
    std::optional<MonotonicTime> settled() const {
        return listed_ ? std::optional(*listed_ + knobs_.settle) : std::nullopt;
    }
    /** The worker stays cold for `left` from now on. This never shortens the time known before: an
     * older record may arrive late. */
    void note_cold(cold_state &state, const std::string &worker, const cold_start &service,
                   Duration left, MonotonicTime now) const;
    /** The announced nodes have changed, or this node has settled. */
    void draw_sender(cold_state &state, const std::string &worker, const cold_start &service,
                     MonotonicTime now) const;
    /** Whether the limit holds for the worker now. */
    static bool limited(const cold_state &state, const cold_start &service, MonotonicTime now) {
        return service.requests_per_second > 0 && state.until > now;
    }
    /** Whether this node may send a request to a worker for which the limit holds. */
    static bool may_send(const cold_state &state, MonotonicTime now) {
        return state.sender && state.next <= now;
    }
    void note_sent(cold_state &state, const cold_start &service, MonotonicTime now) const;

private:
    /** How a worker's limit is divided. */
    struct division {
        size_t senders = 0;
        /** Between two requests of one sender. */
        Duration interval{0};
    };
    division divide(const cold_start &service) const;

    const cold_start_knobs knobs_;
    own_rank own_rank_;
    std::optional<MonotonicTime> listed_;
};

} // namespace chalkshed

#endif
