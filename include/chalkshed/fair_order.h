#ifndef CHALKSHED_FAIR_ORDER_H
#define CHALKSHED_FAIR_ORDER_H

/** \file
 * Fair order among the tenants whose requests wait for slots.
 *
 * Start-time fair queueing: the virtual start time of a request is the virtual end of the tenant's
 * previous request, or the current virtual time if that is later; the request with the earliest
 * start is served next. A tenant that sends far more than usual only delays its own requests, and a
 * tenant that sends little does not wait for the backlog of others. Deficit round robin was
 * considered; it needs a queue for each tenant and a visit to each queue, although few requests
 * wait. */

#include <algorithm>
#include <string>
#include <unordered_map>

namespace chalkshed {

class fair_order {
public:
    /** Registers a request of the tenant. \return Its virtual start time. */
    double enter(const std::string &tenant) {
        if (ends_.size() > kMostTenants) {
            std::erase_if(ends_, [this](const auto &entry) { return entry.second <= now_; });
        }
        double &end = ends_[tenant];
        const double start = std::max(now_, end);
        end = start + 1;
        return start;
    }
    /** Advances the virtual time when the request with this start time has got its slot. */
    void serve(double start) {
        now_ = std::max(now_, start);
    }

private:
    /** Above this number, tenants without a backlog in virtual time are removed. */
    static constexpr size_t kMostTenants = 1000;
    double now_ = 0;
    std::unordered_map<std::string, double> ends_;
};

} // namespace chalkshed

#endif
