#include "chalkshed/part_blame.h"

#include <algorithm>
#include <map>

namespace chalkshed {
namespace {

constexpr size_t kSuspectCrashes = 2;

bool holds(const ServingRequest &request, uint64_t digest) {
    const std::vector<uint64_t> &parts = request.shared_parts;
    return request.digest == digest || std::find(parts.begin(), parts.end(), digest) != parts.end();
}

} // namespace

blamed_part part_blame::blame(const ServingRequest &request, software_id software,
                              MonotonicTime now) const {
    blamed_part worst;
    for (const uint64_t part : request.shared_parts) {
        const part_verdict verdict = judge(part, request, software, now);
        if (verdict > worst.verdict) {
            worst = {verdict, part};
        }
    }
    return worst;
}

std::vector<uint64_t> part_blame::blamed_parts(const ServingRequest &request, software_id software,
                                               MonotonicTime now) const {
    std::vector<uint64_t> parts;
    for (const uint64_t part : request.shared_parts) {
        if (judge(part, request, software, now) != part_verdict::kFree) {
            parts.push_back(part);
        }
    }
    std::sort(parts.begin(), parts.end());
    return parts;
}

part_verdict part_blame::judge(uint64_t part, const ServingRequest &request, software_id software,
                               MonotonicTime now) const {
    if (!evidence_.has_evidence(part) || evidence_.proved(part, software)) {
        return part_verdict::kFree;
    }
    const std::vector<broken_run> runs = evidence_.suspect_runs(part, now);
    if (runs.size() < kSuspectCrashes || explained_otherwise(part, runs, request, software, now)) {
        return part_verdict::kFree;
    }
    const auto oldest =
        std::min_element(runs.begin(), runs.end(),
                         [](const broken_run &a, const broken_run &b) { return a.at < b.at; });
    // If it is still sound, requests that are under way clear it.
    const bool may_be_cleared =
        sound_.known(part, software, now) && now - oldest->at < evidence_.knobs().proof_time;
    if (may_be_cleared) {
        return part_verdict::kSuspect;
    }
    std::vector<MonotonicTime> all;
    std::vector<MonotonicTime> confirmed;
    for (const broken_run &run : runs) {
        all.push_back(run.at);
        if (!run.suspected) {
            confirmed.push_back(run.at);
        }
    }
    if (evidence_.suffices(std::move(confirmed))) {
        return part_verdict::kHeld;
    }
    return evidence_.suffices(std::move(all)) ? part_verdict::kUnconfirmed : part_verdict::kSuspect;
}

// Reports of the newest crash may not have arrived for all that was lost with the worker.
std::vector<part_blame::lost_worker> part_blame::settled_losses(const std::vector<broken_run> &runs,
                                                                MonotonicTime now) const {
    std::vector<lost_worker> losses;
    for (const broken_run &run : runs) {
        if (now - run.at >= evidence_.knobs().settle_time) {
            losses.push_back(evidence_.lost_at(run.worker, now));
        }
    }
    return losses;
}

bool part_blame::explained_otherwise(uint64_t part, const std::vector<broken_run> &runs,
                                     const ServingRequest &request, software_id software,
                                     MonotonicTime now) const {
    const std::vector<lost_worker> losses = settled_losses(runs, now);
    if (losses.size() < kSuspectCrashes) {
        return true;
    }
    const bool was_sound = sound_.known(part, software, now);
    std::map<uint64_t, size_t> others;
    for (const lost_worker &loss : losses) {
        for (const uint64_t digest : loss) {
            // A part that was sound a moment ago doesn't explain crashes under one that never was.
            const bool competes = was_sound || !sound_.known(digest, software, now);
            if (competes && !holds(request, digest)) {
                ++others[digest];
            }
        }
    }
    const bool by_one = std::any_of(others.begin(), others.end(), [&](const auto &entry) {
        const auto &[digest, crashes] = entry;
        // A content has one crash in two of the first two, whatever causes them.
        return evidence_.is_part(digest) ? 2 * crashes >= losses.size()
                                         : 2 * crashes > losses.size();
    });
    return by_one || (was_sound && explained_by_several(losses, others));
}

bool part_blame::explained_by_several(const std::vector<lost_worker> &losses,
                                      const std::map<uint64_t, size_t> &others) const {
    const auto explained = std::count_if(losses.begin(), losses.end(), [&](const auto &loss) {
        return std::any_of(loss.begin(), loss.end(), [&](uint64_t digest) {
            const auto found = others.find(digest);
            return found != others.end() && found->second >= kSuspectCrashes &&
                   evidence_.is_part(digest);
        });
    });
    return 2 * static_cast<size_t>(explained) >= losses.size();
}

} // namespace chalkshed
