// Admission control: rejects online requests that cannot meet their deadline.
#pragma once

#include <optional>

#include "src/core/error.h"
#include "src/routing/router.h"
#include "src/routing/routing_knobs.h"
#include "src/routing/worker_load.h"

namespace chalkshed {

// Predicted time until the last token of `request`.
Duration predicted_finish(const RouteRequest& request, Duration first_token,
                          const ServiceProfile& profile);

// @param first_token predicted for the best worker.
// @param jitter in [0, 1); spreads the retries of many rejected callers.
// @return the rejection (kOverloaded, not run, with retry_after), or nothing if admitted.
std::optional<Error> refuse_if_late(const RouteRequest& request, Duration first_token,
                                    const ServiceProfile& profile, double jitter,
                                    const AdmissionKnobs& knobs);

}  // namespace chalkshed
