#ifndef CHALKSHED_STREAM_ORIGINS_H
#define CHALKSHED_STREAM_ORIGINS_H

/** \file
 * Remembers which software version began each stream that a caller may take up again, and finds the
 * origin of one that a caller takes up at this node.
 *
 * While only one version of a service has served for longer than a stream lasts, its name is known
 * from the service and nothing is sent. As soon as a second one is listed, copies of the origins of
 * all open streams, and of each new one as it begins, go to a few peers. */

#include <deque>
#include <functional>
#include <string>

#include "chalkshed/origin_exchange.h"
#include "src/serving/route_table.h"
#include "src/serving/worker_set.h"

namespace chalkshed {

/** \return How long after its beginning a caller may still take up a stream of the route: the
 * attempt that began it and the one that goes on have at most the route's timeout each. */
Duration longest_stream(const Route &route);

class stream_origins {
public:
    using on_origin = std::function<void(const stream_origin &)>;

    /** All references outlive this. */
    stream_origins(TimeSource &time_source, WorkerSet &workers, origin_exchange &exchange,
                   const origin_table::limits &limits = {});

    /** Sets whether this node's view of the workers is as recent as that of any other node. */
    void set_view_is_current(std::function<bool()> current) {
        view_is_current_ = std::move(current);
    }

    /** The caller of this attempt is about to get the first event.
     * \param software Of the worker that began the stream, which is another one than that of the
     * event if the attempt takes the stream up. */
    void note_begun(const ServingRequest &request, const Route &route, const std::string &service,
                    software_id software);
    /** \param request Takes up the stream that the attempt ServingRequest::resumes began.
     * \param done Called once, perhaps before this returns. */
    void find(const ServingRequest &request, const Route &route, on_origin done);

private:
    struct own_stream {
        placed_origin origin;
        std::string service;
        /** A caller may take it up until then. */
        MonotonicTime until{};
    };
    origin_evidence evidence_for(const origin_question &question) const;
    void place_unplaced(const std::string &service);

    TimeSource &time_source_;
    WorkerSet &workers_;
    origin_exchange &exchange_;
    const origin_table::limits limits_;
    origin_table table_;
    /** Streams of this node, oldest first, that began while their service had one version. */
    std::deque<own_stream> unplaced_;
    std::function<bool()> view_is_current_;
};

} // namespace chalkshed

#endif
