#ifndef CHALKSHED_PREEMPTION_CAUSE_H
#define CHALKSHED_PREEMPTION_CAUSE_H

/** \file
 * Why a batch run was preempted, as named in logs and metrics. */

#include <cstdint>

namespace chalkshed {

enum class preemption_cause : uint8_t {
    /** Online requests may soon lack free slots at the service. */
    kHeadroom,
    /** Online requests wait at a node for a slot of the service. */
    kNoSlot,
    /** An online request is queued at the worker. */
    kQueue,
};

/** \return The stable name used in logs and metrics. */
const char *preemption_cause_name(preemption_cause cause);

} // namespace chalkshed

#endif
