// Outlier detection: ejects workers with consecutive failures, or that are slow relative to the
// median of their service, up to a maximum fraction of the service's workers.
#pragma once

#include <vector>

#include "src/routing/routing_knobs.h"
#include "src/routing/worker.h"

namespace chalkshed {

// Ejects `suspect` if it is unhealthy and the maximum fraction allows it.
// @param workers all workers of its service, the suspect included.
// @return whether it was ejected now.
bool eject_if_unhealthy(Worker& suspect, const std::vector<WorkerHandle>& workers,
                        MonotonicTime now, const HealthKnobs& knobs);

}  // namespace chalkshed
