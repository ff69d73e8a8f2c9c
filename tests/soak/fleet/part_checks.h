#ifndef CHALKSHED_TESTS_SOAK_FLEET_PART_CHECKS_H
#define CHALKSHED_TESTS_SOAK_FLEET_PART_CHECKS_H

/** \file
 * Whether requests with a part that crashes workers are kept from them, and whether sound requests
 * with the same first part begin as before, judged by what workers ran and callers received. */

#include <string>
#include <vector>

#include "tests/soak/fleet/deployment.h"
#include "tests/soak/fleet/history.h"

namespace chalkshed::soak {

/** Sums over all parts that crash workers. */
struct part_report {
    /** Parts under which at least one worker crashed. */
    uint64_t parts = 0;
    /** Requests with such a part that callers sent. */
    uint64_t fatal_sent = 0;
    /** Runs of them that began later than part_lateness after the part's fifth crash, sent by nodes
     * in touch, and the most of one part. */
    uint64_t sent_after_fifth = 0;
    uint64_t most_of_one_part = 0;
    /** Sound requests with the same first part at nodes in touch, while the part was requested and
     * its crashes were known, and those whose answer began. */
    uint64_t sound_sent = 0;
    uint64_t sound_began = 0;
    /** The same before the part was first requested. */
    uint64_t sound_before = 0;
    uint64_t sound_began_before = 0;

    /** Whether sound requests begin half as often as before, or more often. */
    bool enough_begin() const;
};

/** Whether the prompt of the request has a part that crashes workers. */
bool holds_fatal_part(const carried_message &message);

part_report check_parts(const run_history &history, const bound_options &bounds);

} // namespace chalkshed::soak

#endif
