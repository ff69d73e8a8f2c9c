// Estimates what an oracle batch scheduler with full knowledge of the trace achieves within a bound
// on the online tail latency. It has advantages over any real scheduler:
//  - it knows every arrival and the length of every answer, on every worker, without delay;
//  - batch sequences pause and resume between steps at no cost and need no memory;
//  - batch prompts are prefilled in arbitrarily small chunks, their shared prefixes once;
//  - while no online request is on a worker, its last batch step ends just when the next arrives.
// Online requests keep the workers that they had without batch. In every step the filler runs the
// largest number of sequences with which no online request that has arrived, or arrives before the
// end of the step, misses the bound. It may ignore requests above the percentile, which are slow
// without batch too, and runs no batch around queued requests as far as the bound requires.
#pragma once

#include "bench/run_record.h"
#include "bench/trace.h"

namespace chalkshed::bench {

struct InformedFill {
  double items = 0;               // completed batch items
  double first_token_p99_ms = 0;  // of the online requests in the same run
};

// @param online_only the record of the same trace without batch.
InformedFill fill_informed(const Deployment& deployment, const Trace& trace,
                           const RunRecord& online_only, const EngineSettings& engine);

}  // namespace chalkshed::bench
