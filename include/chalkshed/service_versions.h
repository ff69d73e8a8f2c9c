#ifndef CHALKSHED_SERVICE_VERSIONS_H
#define CHALKSHED_SERVICE_VERSIONS_H

/** \file
 * The software versions that the workers of one service have run, as far back as a stream may have
 * begun. If there was only one, it has written every stream of the service that is still open. */

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>

#include "chalkshed/software_id.h"
#include "src/core/time.h"

namespace chalkshed {

/** What is known of the versions of a service over some time. */
struct version_span {
    enum class kind : uint8_t {
        /** The time is not covered: the node has not known the service for so long. */
        kUncovered = 0,
        /** Only `software` has served. */
        kSole = 1,
        /** More than one version has served. */
        kSeveral = 2,
    };
    kind known = kind::kUncovered;
    /** The only version if `known` is kSole; the only one known if it is kUncovered and there is
     * just one; else kUnknown. */
    software_id software = software_id::kUnknown;
};

/** \return The stable name used in logs. */
std::string_view version_span_name(version_span::kind kind);

class service_versions {
public:
    /** Versions that were not listed for this long are forgotten, and a service must have been
     * known for this long. That is longer than streams last: a node that is cut off still begins
     * streams at versions that have gone. */
    static constexpr Duration kMemory = std::chrono::minutes(5);

    /** A worker of that version was listed. */
    void note_listed(software_id software, MonotonicTime now);
    /** One of its workers is listed no more. */
    void note_unlisted(software_id software, MonotonicTime now);

    /** Workers of any version may have been listed and removed before `now`, without the calls
     * above. */
    void note_unseen(MonotonicTime now);

    /** \param longest How far back a stream may have begun; at most kMemory.
     * \return The versions that may have begun it. */
    version_span span(Duration longest, MonotonicTime now) const;
    /** Number of versions with listed workers. */
    size_t listed() const {
        return listed_;
    }

private:
    struct listing {
        uint32_t workers = 0;
        /** When the last of them was removed; only meaningful if there are none. */
        MonotonicTime until{};
    };
    void forget_old(MonotonicTime now);

    std::map<software_id, listing> listings_;
    /** Number of entries with workers. */
    size_t listed_ = 0;
    /** Number of entries from which on the old ones are dropped: a step for each row would walk all
     * of them, and workers that name no version have an entry each. */
    size_t forget_from_ = 8;
    /** Since when each version is known. */
    std::optional<MonotonicTime> known_since_;
};

} // namespace chalkshed

#endif
