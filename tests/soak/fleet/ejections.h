#ifndef CHALKSHED_TESTS_SOAK_FLEET_EJECTIONS_H
#define CHALKSHED_TESTS_SOAK_FLEET_EJECTIONS_H

/** \file
 * Checks, by the log lines of the nodes, that no healthy worker was ejected for long. Unlike the
 * checks on records, this one needs the nodes' own view: only they know which workers they avoid.
 */

#include <string>
#include <vector>

#include "tests/soak/fleet/records.h"

namespace chalkshed::soak {

struct ejection_check {
    uint64_t ejections = 0; // that ended
    uint64_t of_healthy_workers = 0;
    Duration longest_of_healthy{0};
    /** One line for each ejection of a healthy worker that lasted too long. */
    std::vector<std::string> violations;
};

/** Judges one node's log.
 * \param wall_offset Wall-clock time minus monotonic time.
 * \param judged Adds the result to it. */
void check_ejections(const std::string &log, const std::string &node,
                     const std::vector<record> &records, Duration wall_offset,
                     ejection_check &judged);

/** Judges the logs of all nodes in the folder. */
ejection_check check_ejections(const std::string &folder, const std::vector<record> &records,
                               Duration wall_offset);

} // namespace chalkshed::soak

#endif
