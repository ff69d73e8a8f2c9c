#ifndef CHALKSHED_FAIR_SHARE_H
#define CHALKSHED_FAIR_SHARE_H

/** \file
 * Divides a capacity among tenants: priorities in strict order, and max-min fairness among the
 * tenants of a priority.
 *
 * Within a priority, every tenant gets its demand or the level, whichever is less, and the level is
 * the highest for which this fits into the capacity. A tenant that asks for less than the level is
 * therefore not affected by the others, however much these ask for. */

#include <cstdint>
#include <limits>
#include <vector>

namespace chalkshed {

/** The level of a priority at which every tenant gets its demand. */
constexpr double kNoLevel = std::numeric_limits<double>::infinity();

struct share_demand {
    /** 0 is the highest. */
    uint32_t priority = 0;
    /** Requests per second; not negative. */
    double demand = 0;
};

struct priority_share {
    uint32_t priority = 0;
    /** Highest rate that a tenant gets; kNoLevel if all get their demand. */
    double level = kNoLevel;
    double demand = 0;
    /** Rate that the tenants of this priority get together. */
    double granted = 0;
};

/** \param demands One entry for each tenant and priority, in any order.
 * \return The priorities in order, the highest first. */
std::vector<priority_share> fair_shares(std::vector<share_demand> demands, double capacity);

} // namespace chalkshed

#endif
