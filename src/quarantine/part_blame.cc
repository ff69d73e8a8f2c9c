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

part_verdict part_blame::judge(uint64_t part, const ServingRequest &request, software_id software,
                               MonotonicTime now) const {
    if (!evidence_.has_evidence(part) || evidence_.proved(part, software)) {
        return part_verdict::kFree;
    }
    const std::vector<broken_run> runs = evidence_.suspect_runs(part, now);
    if (runs.size() < kSuspectCrashes || explained_otherwise(runs, request, now)) {
        return part_verdict::kFree;
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
bool part_blame::explained_otherwise(const std::vector<broken_run> &runs,
                                     const ServingRequest &request, MonotonicTime now) const {
    std::map<uint64_t, size_t> shared;
    size_t settled = 0;
    for (const broken_run &run : runs) {
        if (now - run.at < evidence_.knobs().settle_time) {
            continue;
        }
        ++settled;
        for (const uint64_t digest : evidence_.lost_at(run.worker, now)) {
            ++shared[digest];
        }
    }
    if (settled < kSuspectCrashes) {
        return true;
    }
    return std::any_of(shared.begin(), shared.end(), [&](const auto &entry) {
        const auto &[digest, crashes] = entry;
        // A content has one crash in two of the first two, whatever causes them.
        const bool competes =
            evidence_.is_part(digest) ? 2 * crashes >= settled : 2 * crashes > settled;
        return competes && !holds(request, digest);
    });
}

} // namespace chalkshed
