#ifndef CHALKSHED_REFUSED_CONTENTS_H
#define CHALKSHED_REFUSED_CONTENTS_H

/** \file
 * Requests that were refused at any node within the last seconds, by content and tenant: the retry
 * of a caller has another id and usually reaches another node. Bounded in entries, about 100 bytes
 * each. */

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_map>
#include <utility>

#include "src/core/time.h"

namespace chalkshed {

class refused_contents {
public:
    /** \param lifetime How long a content is known after its refusal. */
    refused_contents(size_t max_entries, Duration lifetime)
        : max_entries_(max_entries), lifetime_(lifetime) {}

    /** Notes a refusal; the first one of a content counts.
     * \return Whether the content was unknown. */
    bool add(uint64_t content, MonotonicTime refused, MonotonicTime now) {
        expire(now);
        if (now - refused > lifetime_ || !known_.try_emplace(content, refused).second) {
            return false;
        }
        order_.emplace_back(now, content);
        if (known_.size() > max_entries_) {
            drop_oldest();
        }
        return true;
    }
    /** Removes the content, so that it counts as returned only once.
     * \return When it was refused, if it is known. */
    std::optional<MonotonicTime> take(uint64_t content, MonotonicTime now) {
        expire(now);
        const auto found = known_.find(content);
        if (found == known_.end()) {
            return std::nullopt;
        }
        const MonotonicTime refused = found->second;
        known_.erase(found);
        return now - refused > lifetime_ ? std::nullopt : std::optional(refused);
    }
    size_t size() const {
        return known_.size();
    }

private:
    void expire(MonotonicTime now) {
        while (!order_.empty() &&
               (now - order_.front().first > lifetime_ || order_.size() > 2 * max_entries_)) {
            drop_oldest();
        }
    }
    void drop_oldest() {
        known_.erase(order_.front().second);
        order_.pop_front();
    }

    const size_t max_entries_;
    const Duration lifetime_;
    std::unordered_map<uint64_t, MonotonicTime> known_;
    /** Contents in the order in which they were added, with the time; may name contents that were
     * taken. */
    std::deque<std::pair<MonotonicTime, uint64_t>> order_;
};

} // namespace chalkshed

#endif
