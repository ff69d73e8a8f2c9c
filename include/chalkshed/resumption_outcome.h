#ifndef CHALKSHED_RESUMPTION_OUTCOME_H
#define CHALKSHED_RESUMPTION_OUTCOME_H

/** \file
 * How attempts to go on with an interrupted stream or item ended, as counted for operators. */

#include <cstdint>
#include <string_view>

#include "src/metrics/metrics.h"

namespace chalkshed {

enum class resumption_outcome : uint8_t {
    /** It goes on at a worker of the version that began it. */
    kSameVersion,
    /** No worker of that version takes it. */
    kNoWorker,
    /** The version that began it is not known. */
    kOriginUnknown,
};

/** What goes on. */
enum class resumed_work : uint8_t {
    /** A stream, within one answer. */
    kAnswer,
    /** A stream that its caller has taken up with a new attempt. */
    kCaller,
    /** A batch item. */
    kItem,
};

/** \return The stable name used in logs and metrics. */
std::string_view resumption_outcome_name(resumption_outcome outcome);

void count_resumption(MetricsRegistry &metrics, resumed_work work, resumption_outcome outcome);

} // namespace chalkshed

#endif
