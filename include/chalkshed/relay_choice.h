#ifndef CHALKSHED_RELAY_CHOICE_H
#define CHALKSHED_RELAY_CHOICE_H

/** \file
 * Selects the nodes of a zone that relay the reports of the zone's nodes to all others.
 *
 * Each node selects by itself from the nodes that it considers alive: the most capable ones, in an
 * order derived from hashes of their names. No agreement is needed: nodes that see the same peers
 * select the same relays, and until they do, what relays send has to be harmless. */

#include <cstddef>
#include <string>
#include <vector>

#include "src/core/address.h"

namespace chalkshed {

/** A node as seen by the others. */
struct relay_candidate {
    std::string node;
    std::string session;
    std::string zone;
    Address address;
    /** Share of a processor core that the machine has; the most capable nodes become relays. */
    double capacity = 0;
    /** Alive, reachable and not stopping. */
    bool fit = false;
    /** Considered lapsed by this node itself. */
    bool lapsed = false;
    /** Silent for so long that it can't be doing any work that would have to be counted. */
    bool gone = false;
};

/** \param own This node, which is always fit.
 * \return At most `count` relays of the zone in order of rank. */
std::vector<const relay_candidate *> choose_relays(const std::vector<relay_candidate> &peers,
                                                   const relay_candidate &own,
                                                   const std::string &zone, size_t count);

} // namespace chalkshed

#endif
