/** \file
 * The part of crash_evidence that decides whether so many workers crashed at a time that the loss
 * of one run proves nothing. */

#include <algorithm>

#include "chalkshed/crash_evidence.h"

namespace chalkshed {

size_t crash_evidence::crashes_without(uint64_t digest, MonotonicTime at) const {
    const MonotonicTime from = at - knobs_.storm_window;
    const MonotonicTime until = at + knobs_.storm_window;
    const auto by_runs = std::count_if(lost_at_.begin(), lost_at_.end(), [&](const auto &entry) {
        return !crash_explained(entry.first, digest) && crashed_in(entry.first, from, until);
    });
    const Duration spread = knobs_.entry_removal_spread;
    const auto by_entries = std::count_if(removed_.begin(), removed_.end(), [&](const auto &entry) {
        const auto &[worker, crashed_at] = entry;
        return crashed_at >= from - spread && crashed_at <= until + spread &&
               !crash_explained(worker, digest) && !crashed_in(worker, from, until);
    });
    return static_cast<size_t>(by_runs + by_entries);
}

bool crash_evidence::lost_by(uint32_t worker, uint64_t digest) const {
    const auto found = lost_at_.find(worker);
    return found != lost_at_.end() &&
           std::find(found->second.begin(), found->second.end(), digest) != found->second.end();
}

bool crash_evidence::crash_explained(uint32_t worker, uint64_t digest) const {
    const auto found = lost_at_.find(worker);
    return lost_by(worker, digest) ||
           (found != lost_at_.end() &&
            std::any_of(found->second.begin(), found->second.end(),
                        [this](uint64_t lost) { return quarantined(lost); }));
}

bool crash_evidence::crashed_in(uint32_t worker, MonotonicTime from, MonotonicTime until) const {
    const auto found = lost_at_.find(worker);
    return found != lost_at_.end() &&
           std::any_of(found->second.begin(), found->second.end(),
                       [&](uint64_t lost) { return crashed(lost, worker, from, until); });
}

void crash_evidence::note_removed(uint32_t worker, MonotonicTime now) {
    std::erase_if(removed_,
                  [&](const auto &entry) { return now - entry.second > knobs_.evidence_lifetime; });
    if (removed_.size() < knobs_.max_contents) {
        removed_.try_emplace(worker, now - knobs_.entry_removal_delay);
    }
}

bool crash_evidence::within_storm(const broken_run &run, size_t workers) const {
    if (workers == 0) {
        return false;
    }
    const size_t others = crashes_without(run.digest, run.at);
    return static_cast<double>(others) >= knobs_.storm_share * static_cast<double>(workers);
}

bool crash_evidence::crashed(uint64_t digest, uint32_t worker, MonotonicTime from,
                             MonotonicTime until) const {
    const content *known = find(digest);
    return known != nullptr && std::any_of(known->workers.begin(), known->workers.end(),
                                           [&](const broken_worker &broken) {
                                               return broken.run.worker == worker &&
                                                      counts(broken) && broken.run.at >= from &&
                                                      broken.run.at <= until;
                                           });
}

} // namespace chalkshed
