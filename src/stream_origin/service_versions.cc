#include "chalkshed/service_versions.h"

#include <utility>

namespace chalkshed {

std::string_view version_span_name(version_span::kind kind) {
    switch (kind) {
    case version_span::kind::kUncovered:
        return "uncovered";
    case version_span::kind::kSole:
        return "sole";
    case version_span::kind::kSeveral:
        return "several";
    }
    return "uncovered";
}

void service_versions::note_listed(software_id software, MonotonicTime now) {
    known_since_ = known_since_.value_or(now);
    listed_ += listings_[software].workers++ == 0 ? 1 : 0;
    if (listings_.size() >= forget_from_) {
        forget_old(now);
        forget_from_ = 2 * listings_.size() + 8;
    }
}

void service_versions::forget_old(MonotonicTime now) {
    std::erase_if(listings_, [now](const auto &entry) {
        return entry.second.workers == 0 && now - entry.second.until > kMemory;
    });
}

void service_versions::note_unlisted(software_id software, MonotonicTime now) {
    const auto found = listings_.find(software);
    if (found != listings_.end() && found->second.workers > 0) {
        found->second.until = now;
        listed_ -= --found->second.workers == 0 ? 1 : 0;
    }
}

void service_versions::note_unseen(MonotonicTime now) {
    if (known_since_) {
        known_since_ = now;
    }
}

version_span service_versions::span(Duration longest, MonotonicTime now) const {
    version_span result;
    for (const auto &[software, listed] : listings_) {
        if (listed.workers == 0 && now - listed.until > kMemory) {
            continue;
        }
        if (result.software != software_id::kUnknown) {
            return {version_span::kind::kSeveral, software_id::kUnknown};
        }
        result.software = software;
    }
    const bool covered = known_since_ && now - *known_since_ >= kMemory && longest <= kMemory;
    if (covered && result.software != software_id::kUnknown) {
        result.known = version_span::kind::kSole;
    }
    return result;
}

} // namespace chalkshed
