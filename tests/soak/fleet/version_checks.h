#ifndef CHALKSHED_TESTS_SOAK_FLEET_VERSION_CHECKS_H
#define CHALKSHED_TESTS_SOAK_FLEET_VERSION_CHECKS_H

/** \file
 * Whether each stream and each item holds events of one software version, judged by what callers
 * received over all their attempts, and how many of the streams that callers take up go on.
 */

#include <string>
#include <vector>

#include "tests/soak/fleet/deployment.h"
#include "tests/soak/fleet/history.h"

namespace chalkshed::soak {

struct mixed_text {
    MonotonicTime at{};
    std::string what;
    /** A node of the older of two builds took part, which may not know versions. */
    bool excused = false;
};

struct version_report {
    /** Streams and items with events of two versions. */
    std::vector<mixed_text> streams;
    std::vector<mixed_text> items;
    /** All streams with an event, and all items with a text. */
    uint64_t streams_judged = 0;
    uint64_t items_judged = 0;
    /** At nodes in touch, while two workers of the stream's version served. */
    uint64_t taken_up = 0;
    uint64_t went_on = 0;
    /** First attempts of streams that may be taken up, at nodes in touch. */
    uint64_t first_attempts = 0;
    uint64_t begun = 0;

    /** Whether streams that are taken up go on half as often as new ones begin, or more often. */
    bool enough_go_on() const;
};

version_report check_versions(const run_history &history, const bound_options &bounds);

} // namespace chalkshed::soak

#endif
