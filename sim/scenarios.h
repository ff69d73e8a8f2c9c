// Scenarios in which a guarantee depends on a single safeguard, for the checks that disable it.
#pragma once

#include "sim/simulated_run.h"

namespace chalkshed {

// The owners of running chunks are paused until their leases have expired and other nodes finish
// the work; then the owners resume.
RunResult run_paused_owners(uint64_t seed, const RunKnobs& knobs);

// The same, but the jobs are cancelled while their owners are paused.
RunResult run_cancel_with_paused_owners(uint64_t seed, const RunKnobs& knobs);

// Far more batch work than the engines can run concurrently, together with online requests.
RunResult run_batch_flood(uint64_t seed, const RunKnobs& knobs);

// Every engine loses and duplicates chunks of its streams.
RunResult run_garbled_streams(uint64_t seed, const RunKnobs& knobs);

}  // namespace chalkshed
