#ifndef CHALKSHED_ORIGIN_DECISION_H
#define CHALKSHED_ORIGIN_DECISION_H

/** \file
 * Decides which software version began a stream that a caller takes up again. The node that began
 * it may be gone, so the evidence is what this node and some of its peers know. A version that is
 * not known is never guessed: the caller is better served by a refusal at once, which is true, than
 * by a text that two versions have written. */

#include <cstdint>
#include <string_view>
#include <vector>

#include "chalkshed/route_history.h"
#include "chalkshed/service_versions.h"
#include "chalkshed/software_id.h"

namespace chalkshed {

/** What one node knows of a stream. */
struct origin_evidence {
    /** The version that began it, if the node has a record of it; else kUnknown. */
    software_id recorded = software_id::kUnknown;
    /** The versions of the service over the longest time that the stream may have lasted. */
    version_span versions;
    /** Whether the node's view of workers and routes is recent enough to count. Of the deciding
     * node: whether it was read from the store after the attempt had come, because any version may
     * have joined, and begun the stream, since an earlier read. */
    bool current = true;
    /** Whether the request's route has led to that service alone, over the same time. */
    route_span route = route_span::kUncovered;
};

enum class origin_source : uint8_t {
    /** This node has a record of the stream. */
    kOwnRecord,
    /** A peer has. */
    kPeerRecord,
    /** Only one version can have begun the stream: it alone has served the only service of the
     * route for longer than the stream can have lasted, as read after the attempt had come. */
    kSoleVersion,
    /** The version is not known. */
    kUnknown,
};

/** \return The stable name used in logs. */
std::string_view origin_source_name(origin_source source);

/** What a decision rests on, for operators. */
struct origin_basis {
    /** Peers that were asked, and those that answered in time. */
    size_t asked = 0;
    size_t answered = 0;
    /** What this node knew of the service's versions, and how old its view of the workers was. */
    version_span::kind versions = version_span::kind::kUncovered;
    Duration view_age{0};
    route_span route = route_span::kUncovered;
    /** Whether workers and routes were read from the store after the attempt had come. */
    bool confirmed = false;
};

struct stream_origin {
    software_id software = software_id::kUnknown;
    origin_source source = origin_source::kUnknown;
    origin_basis basis;
};

/** \return Whether some node knows of more than one version, or service, that may have begun it. */
bool several_versions(const origin_evidence &own, const std::vector<origin_evidence> &peers);

/** \param peers Of all peers that have answered. */
stream_origin decide_origin(const origin_evidence &own, const std::vector<origin_evidence> &peers);

} // namespace chalkshed

#endif
