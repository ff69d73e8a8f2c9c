// Metrics of the batch role.
#pragma once

#include <string>

#include "src/batch/chunk_commit.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

class BatchMetrics {
 public:
  explicit BatchMetrics(MetricsRegistry& registry);

  void count_chunk_outcome(ChunkOutcome outcome);

  Counter& jobs_accepted;
  Counter& jobs_resent;
  Counter& items_started;
  Counter& takeovers;
  Counter& leases_lapsed;
  Counter& leases_lost;
  Gauge& chunks_held;
  Gauge& unsaved_result_bytes;
  Gauge& breaker_open;

 private:
  Counter& chunks_done_;
  Counter& chunks_released_;
  Counter& chunks_stopped_;
  Counter& chunks_superseded_;
};

}  // namespace chalkshed
