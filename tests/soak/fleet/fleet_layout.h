#ifndef CHALKSHED_TESTS_SOAK_FLEET_FLEET_LAYOUT_H
#define CHALKSHED_TESTS_SOAK_FLEET_FLEET_LAYOUT_H

/** \file
 * Where the processes of one fleet soak listen. All addresses are derived from the network number,
 * so that no process needs them passed, and concurrent runs on other networks don't collide.
 */

#include <string>

#include "src/core/address.h"

namespace chalkshed::soak {

/** Last parts of the harness's addresses; node addresses lie below. */
constexpr unsigned kStoreHost = 250;
constexpr uint64_t kMaxNodes = 240;

struct fleet_layout {
    /** All nodes have addresses 127.0.<network>.1 and on. */
    unsigned network = 9;

    std::string ip(unsigned host) const {
        return "127.0." + std::to_string(network) + "." + std::to_string(host);
    }
    std::string node_ip(uint64_t node) const {
        return ip(static_cast<unsigned>(node) + 1);
    }
    Address node(uint64_t node) const {
        return {node_ip(node), 18144};
    }
    Address node_readiness(uint64_t node) const {
        return {node_ip(node), 18140};
    }
    Address store() const {
        return {ip(kStoreHost), 17500};
    }
    /** Control addresses, at which the coordinator sends commands to the processes of a role. */
    Address store_control() const {
        return {ip(kStoreHost), 18000};
    }
    Address worker_control(uint64_t process) const {
        return {ip(251), static_cast<uint16_t>(18000 + process)};
    }
    Address caller_control(uint64_t process) const {
        return {ip(252), static_cast<uint16_t>(18000 + process)};
    }
    std::string workers_ip() const {
        return ip(253);
    }
};

} // namespace chalkshed::soak

#endif
