// Measurements of one run of a trace.
#pragma once

#include <cstdint>
#include <vector>

#include "emulator/engine_settings.h"
#include "src/core/time.h"

namespace chalkshed::bench {

// One online request as its engine saw it. Times in microseconds since the run's start.
struct EngineArrival {
  uint32_t worker = 0;
  double arrived_us = 0;
  double path_us = 0;          // caller to engine and back
  double first_token_us = 0;   // first-token latency seen by the caller
  uint32_t prompt_tokens = 0;  // uncached
  uint32_t answer_tokens = 0;
};

struct RunRecord {
  Duration client_latency{0};   // one way
  MonotonicTime trace_start{};  // start of the trace
  // First-token latency in milliseconds seen by the caller, from the intended send time.
  std::vector<double> first_token_ms;
  std::vector<double> steady_first_token_ms;  // of requests outside of bursts
  // Time between two tokens of online answers, in milliseconds.
  std::vector<double> inter_token_ms;
  std::vector<EngineArrival> arrivals;  // of completed online requests
  uint64_t online_completed = 0;
  uint64_t online_refused = 0;
  uint64_t online_failed = 0;
  uint64_t batch_completed = 0;         // items
  uint64_t batch_completed_tokens = 0;  // of their answers
  uint64_t batch_revoked = 0;           // attempts stopped because a batch window closed
  uint64_t batch_failed = 0;            // attempts
  EngineCounters engines;               // sum over all engines
};

// Adds one engine's counters to the sums.
void add_counters(RunRecord& record, const EngineCounters& counters);

// Adds the samples and counts of another run to `record`.
void merge(RunRecord& record, const RunRecord& other);

// @param fraction in [0, 1]. @return the sample at that rank; 0 if there are no samples.
double percentile(std::vector<double> samples, double fraction);

}  // namespace chalkshed::bench
