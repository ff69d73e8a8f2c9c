#ifndef CHALKSHED_STREAM_ORIGINS_H
#define CHALKSHED_STREAM_ORIGINS_H

/** \file
 * Remembers which software version began each stream that a caller may take up again, and finds the
 * origin of one that a caller takes up at this node.
 *
 * While only one version can have begun a route's streams, and the store is there to confirm it,
 * nothing is sent. Otherwise copies of the origins of all open streams, and of each new one as it
 * begins, go to a few peers. */

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "chalkshed/origin_exchange.h"
#include "chalkshed/route_history.h"
#include "src/serving/route_table.h"
#include "src/serving/worker_set.h"

namespace chalkshed {

/** \return How long after its beginning a caller may still take up a stream of the route: the
 * attempt that began it and the one that goes on have at most the route's timeout each. */
Duration longest_stream(const Route &route);

class stream_origins {
public:
    using on_origin = std::function<void(const stream_origin &)>;
    /** Called with whether workers and routes were read from the store after the call. */
    using on_confirmed = std::function<void(bool)>;

    /** A node whose views are older than this begins no streams that may be taken up: with the time
     * that they last, others would no longer remember the versions and routes that it knows. */
    static constexpr Duration kBeginLease =
        service_versions::kMemory - origin_table::limits{}.lifetime;
    static_assert(route_history::kMemory >= service_versions::kMemory);

    /** This node's views of the store. */
    struct views {
        /** Whether those of workers and routes are as recent as those of any other node. */
        std::function<bool()> current = [] { return true; };
        /** The age of that of the workers. */
        std::function<Duration()> age = [] { return Duration(0); };
        /** Reads workers and routes from the store. */
        std::function<void(on_confirmed)> confirm = [](const on_confirmed &done) { done(true); };
        /** Whether others may have learned from the store what this node has not, for
         * kBeginLease. */
        std::function<bool()> lapsed = [] { return false; };
        /** Whether the store may not answer when a stream is taken up. */
        std::function<bool()> store_doubtful = [] { return false; };
    };

    /** All references outlive this. */
    stream_origins(TimeSource &time_source, WorkerSet &workers, origin_exchange &exchange,
                   const origin_table::limits &limits = {});

    void set_views(views own) {
        views_ = std::move(own);
    }
    /** A configuration has come into force.
     * \param missed As for route_history::note(). */
    void note_routes(const RouteTablePtr &table, bool missed);

    /** Whether this node may begin streams that may be taken up elsewhere. */
    bool may_begin() const {
        return !views_.lapsed();
    }
    /** The caller of this attempt is about to get the first event.
     * \param software Of the worker that began the stream, which is another one than that of the
     * event if the attempt takes the stream up. */
    void note_begun(const ServingRequest &request, const Route &route, const std::string &service,
                    software_id software);
    /** Sends copies of the origins of all open streams that were not sent yet. */
    void place_all();
    /** \param request Takes up the stream that the attempt ServingRequest::resumes began.
     * \param done Called once, perhaps before this returns. */
    void find(const ServingRequest &request, const Route &route, on_origin done);
    /** Brings the views of workers and routes up to this moment. */
    void confirm_views(on_confirmed done) {
        views_.confirm(std::move(done));
    }

private:
    struct own_stream {
        placed_origin origin;
        std::string service;
        /** A caller may take it up until then. */
        MonotonicTime until{};
    };
    /** A stream whose origin is being looked for. */
    struct lookup {
        origin_question question;
        on_origin done;
        std::optional<peer_evidence> peers;
        std::optional<bool> confirmed;
    };
    using lookup_ptr = std::shared_ptr<lookup>;

    static origin_question question_for(const ServingRequest &request, const Route &route);
    origin_evidence evidence_for(const origin_question &question) const;
    /** Ends the lookup if what has been learned so far decides it. */
    void settle(const lookup_ptr &open) const;
    stream_origin decide(const origin_question &question, const peer_evidence &peers,
                         bool confirmed) const;
    /** Whether any node can tell from the store alone which version began such a stream. */
    bool known_from_store(const ServingRequest &request, const std::string &service,
                          Duration longest, MonotonicTime now) const;
    void place_unplaced(const std::function<bool(const own_stream &)> &chosen);

    TimeSource &time_source_;
    WorkerSet &workers_;
    origin_exchange &exchange_;
    const origin_table::limits limits_;
    origin_table table_;
    route_history routes_;
    /** Streams of this node, oldest first, that began while their version was known from the
     * store. */
    std::deque<own_stream> unplaced_;
    views views_;
};

} // namespace chalkshed

#endif
