// Upper bounds on the batch work that can run beside the online requests of a trace.
#pragma once

#include "bench/run_record.h"
#include "bench/trace.h"

namespace chalkshed::bench {

// Averages over the batch work of a trace.
struct BatchWork {
  double tokens_per_item = 0;
  // Prompt tokens to prefill per generated token, without shared prefixes.
  double prompt_tokens_per_token = 0;
};
BatchWork batch_work(const Trace& trace);

// Upper bound on the batch items for any scheduler, regardless of its effect on online requests:
// every step runs the maximum number of sequences, online work costs as much as in full steps, and
// engines are never idle while items wait.
// @param online_only the record of the same trace without batch.
double capacity_bound(const Deployment& deployment, const Trace& trace,
                      const RunRecord& online_only, const EngineSettings& engine);

}  // namespace chalkshed::bench
