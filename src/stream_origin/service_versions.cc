#include "chalkshed/service_versions.h"

#include <algorithm>

namespace chalkshed {

void service_versions::note_listed(software_id software, MonotonicTime now) {
    known_since_ = known_since_.value_or(now);
    ++listings_[software].workers;
    std::erase_if(listings_, [now](const auto &entry) {
        return entry.second.workers == 0 && now - entry.second.until > kMemory;
    });
}

void service_versions::note_unlisted(software_id software, MonotonicTime now) {
    const auto found = listings_.find(software);
    if (found != listings_.end() && found->second.workers > 0) {
        --found->second.workers;
        found->second.until = now;
    }
}

version_span service_versions::span(Duration longest, MonotonicTime now) const {
    version_span result;
    size_t versions = 0;
    for (const auto &[software, listed] : listings_) {
        if (listed.workers > 0 || now - listed.until <= longest) {
            ++versions;
            result.software = software;
        }
    }
    const bool covered = known_since_ && now - *known_since_ >= longest && longest <= kMemory;
    if (versions > 1) {
        result = {version_span::kind::kSeveral, software_id::kUnknown};
    } else if (versions == 1 && covered) {
        result.known = version_span::kind::kSole;
    }
    return result;
}

size_t service_versions::listed() const {
    return static_cast<size_t>(
        std::count_if(listings_.begin(), listings_.end(),
                      [](const auto &entry) { return entry.second.workers > 0; }));
}

} // namespace chalkshed
