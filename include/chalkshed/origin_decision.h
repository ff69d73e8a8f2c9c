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

#include "chalkshed/service_versions.h"
#include "chalkshed/software_id.h"

namespace chalkshed {

/** What one node knows of a stream. */
struct origin_evidence {
    /** The version that began it, if the node has a record of it; else kUnknown. */
    software_id recorded = software_id::kUnknown;
    /** The versions of the service over the longest time that the stream may have lasted. */
    version_span versions;
    /** Whether the node's view of the workers is recent enough for `versions` to count. */
    bool current = true;
};

enum class origin_source : uint8_t {
    /** This node has a record of the stream. */
    kOwnRecord,
    /** A peer has. */
    kPeerRecord,
    /** Only one version has served for longer than the stream can have lasted. */
    kSoleVersion,
    /** The version is not known. */
    kUnknown,
};

/** \return The stable name used in logs. */
std::string_view origin_source_name(origin_source source);

struct stream_origin {
    software_id software = software_id::kUnknown;
    origin_source source = origin_source::kUnknown;
};

/** \param peers Of all peers that have answered. */
stream_origin decide_origin(const origin_evidence &own, const std::vector<origin_evidence> &peers);

} // namespace chalkshed

#endif
