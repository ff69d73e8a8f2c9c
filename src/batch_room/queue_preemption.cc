#include "chalkshed/queue_preemption.h"

#include <algorithm>

namespace chalkshed {
namespace {

/** \return The queued requests that are online at most, and for which a batch run could be stopped.
 */
uint32_t queued_online(const worker_occupancy &at) {
    const uint32_t load = at.online + at.batch;
    const uint32_t queued = load - std::min(load, at.slots);
    return std::min({queued, at.online, at.batch});
}

} // namespace

std::vector<queue_preemption::stop>
queue_preemption::runs_to_stop(const std::vector<worker_occupancy> &workers, Duration view_lag,
                               MonotonicTime now) {
    std::vector<stop> stops;
    std::map<uint64_t, MonotonicTime> queued_since;
    for (const worker_occupancy &at : workers) {
        const uint32_t queued = queued_online(at);
        if (queued == 0) {
            continue;
        }
        const auto before = queued_since_.find(at.worker);
        const MonotonicTime since = before == queued_since_.end() ? now : before->second;
        const bool lasts = now - since >= view_lag;
        queued_since[at.worker] = lasts ? now : since;
        if (lasts) {
            stops.push_back({at.worker, double(queued) * at.own_batch / at.batch});
        }
    }
    queued_since_ = std::move(queued_since);
    return stops;
}

} // namespace chalkshed
