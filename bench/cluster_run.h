// Replays a trace on complete nodes in virtual time: gateway, policies, router, batch jobs with
// their leases and stores, membership and configuration, over the simulated network.
#pragma once

#include "bench/run_record.h"
#include "bench/trace.h"
#include "bench/virtual_run.h"

namespace chalkshed::bench {

// Deterministic: the same arguments give the same record. Throws std::runtime_error if the nodes
// do not start to serve in time.
RunRecord run_on_cluster(const Deployment& deployment, const Trace& trace,
                         const RunSettings& settings);

}  // namespace chalkshed::bench
