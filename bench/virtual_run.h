// Replays a trace in virtual time on the router and batch windows only, with a minimal driver in
// place of the rest of the node. Records which engine served which request; see cluster_run.h for
// complete nodes.
#pragma once

#include "bench/run_record.h"
#include "bench/trace.h"
#include "src/routing/routing_knobs.h"

namespace chalkshed::bench {

struct RunSettings {
  std::string name;
  bool batch = true;
  RoutingKnobs routing;
  EngineSettings engine;
  uint64_t seed = 1;
};

// Deterministic: the same arguments give the same record.
RunRecord run_virtually(const Deployment& deployment, const Trace& trace,
                        const RunSettings& settings);

}  // namespace chalkshed::bench
