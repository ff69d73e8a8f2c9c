#include "chalkshed/fair_share.h"

#include <algorithm>

namespace chalkshed {
namespace {

using demand_iterator = std::vector<share_demand>::const_iterator;

/** \param first The demands of one priority, the smallest first. */
priority_share share_of(demand_iterator first, demand_iterator last, double capacity) {
    priority_share share;
    share.priority = first->priority;
    for (auto each = first; each != last; ++each) {
        share.demand += each->demand;
    }
    if (share.demand <= capacity) {
        share.granted = share.demand;
        return share;
    }
    double left = capacity;
    for (auto each = first; each != last; ++each) {
        const double equal = left / static_cast<double>(last - each);
        if (each->demand >= equal) {
            share.level = equal;
            break;
        }
        left -= each->demand;
    }
    share.granted = capacity;
    return share;
}

} // namespace

std::vector<priority_share> fair_shares(std::vector<share_demand> demands, double capacity) {
    std::sort(demands.begin(), demands.end(), [](const share_demand &a, const share_demand &b) {
        return a.priority != b.priority ? a.priority < b.priority : a.demand < b.demand;
    });
    std::vector<priority_share> shares;
    double left = std::max(capacity, 0.0);
    for (auto first = demands.cbegin(); first != demands.cend();) {
        const auto last = std::find_if(first, demands.cend(), [first](const share_demand &each) {
            return each.priority != first->priority;
        });
        shares.push_back(share_of(first, last, left));
        left = std::max(left - shares.back().granted, 0.0);
        first = last;
    }
    return shares;
}

} // namespace chalkshed
