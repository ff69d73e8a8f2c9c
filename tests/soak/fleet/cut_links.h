#ifndef CHALKSHED_TESTS_SOAK_FLEET_CUT_LINKS_H
#define CHALKSHED_TESTS_SOAK_FLEET_CUT_LINKS_H

/** \file
 * Which links of a node are cut: a byte in a file that the coordinator writes and the library that
 * is preloaded into the node maps. Callers and workers are reached whatever it says.
 */

#include <cstdint>

namespace chalkshed::soak {

enum cut_links : uint8_t {
    kNoLinks = 0,
    /** Datagrams to other nodes are lost. */
    kDatagramsOut = 1,
    /** Datagrams from other nodes are lost. */
    kDatagramsIn = 2,
    /** Connections to other nodes and to the store are refused. */
    kConnections = 4,
    kAllLinks = 7,
};

/** The environment variable that names the file. */
inline constexpr const char *kCutLinksVariable = "CHALKSHED_SOAK_LINKS";

} // namespace chalkshed::soak

#endif
