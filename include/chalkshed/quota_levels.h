#ifndef CHALKSHED_QUOTA_LEVELS_H
#define CHALKSHED_QUOTA_LEVELS_H

/** \file
 * The remaining quota of each tenant as computed by one relay: a token bucket per tenant, filled
 * at the tenant's rate and drained by the admissions that all nodes report. Its level may become
 * negative, because nodes admit requests before their reports arrive; the excess is then
 * compensated. */

#include <cstdint>
#include <unordered_map>
#include <vector>

#include "chalkshed/quota_message.h"
#include "chalkshed/recent_rate.h"
#include "chalkshed/tenant_table.h"
#include "src/core/time.h"

namespace chalkshed {

class quota_levels {
public:
    /** \param demand_window Time over which the demand is measured. */
    quota_levels(MonotonicTime now, Duration demand_window);

    /** Sets the limits in force. A tenant that is added later than the start of the process has its
     * whole burst; at the start of the process, the previous usage is unknown and buckets are
     * empty. */
    void set_tenants(const tenant_table &tenants, MonotonicTime now);
    /** Refills the buckets. \param coverage Share of the limits that the counted nodes may use. */
    void advance(MonotonicTime now, double coverage);
    /** Resets all buckets to that share of their burst, for nodes of that coverage. */
    void reset(MonotonicTime now, double share, double coverage);
    /** Resets all buckets when nothing is known, after a start of this process and possibly of all
     * others. Each node that is then counted for the first time brings its share of a credit: half
     * of what the rate yields in a second, or half of the burst if that is less. Together with the
     * requests admitted before all processes ended, which takes a second, the limit of a window
     * then still holds. */
    void reset_with_credit(MonotonicTime now);
    /** Takes over a level computed by another relay, before this node became one. */
    void adopt(const tenant_level &known);
    /** Accounts for requests that were asked for and admitted at some node. */
    void add(const tenant_count &more, MonotonicTime now);
    /** \return Levels of the tenants with less than that share of their burst left, sorted by
     * tenant. */
    std::vector<tenant_level> below(double share, MonotonicTime now) const;
    /** \return The tenant's level, or nothing if it has no limit. */
    std::optional<double> level(uint32_t tenant) const;

private:
    struct bucket {
        double rate = 0;
        double burst = 0;
        double level = 0;
        recent_rate demand;
    };
    Duration demand_window_;
    bool started_ = false;
    MonotonicTime advanced_;
    double coverage_ = 1;
    /** Share of the nodes whose part of the credit has been added. */
    double credited_ = 1;
    std::unordered_map<uint32_t, bucket> buckets_;
};

/** The burst of a limited tenant: at least one request, because a smaller bucket would never admit
 * any. */
double burst_of(const tenant &limited);

} // namespace chalkshed

#endif
