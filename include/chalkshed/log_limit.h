#ifndef CHALKSHED_LOG_LIMIT_H
#define CHALKSHED_LOG_LIMIT_H

/** \file
 * Bounds how often a log line is written that others can cause, such as one for input that cannot
 * be read. */

#include <cstdint>
#include <optional>

#include "src/core/time.h"

namespace chalkshed {

/** Admits one line in an interval and counts what it left out. */
class log_limit {
public:
    static constexpr Duration kDefaultInterval = std::chrono::seconds(5);

    explicit log_limit(Duration interval = kDefaultInterval) : interval_(interval) {}

    /** \return How many events have occurred since the last line, this one included, if a line may
     * be written now; it is then taken as written. */
    std::optional<uint64_t> admit(MonotonicTime now);

private:
    Duration interval_;
    std::optional<MonotonicTime> written_;
    uint64_t events_ = 0;
};

} // namespace chalkshed

#endif
