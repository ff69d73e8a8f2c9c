#include "src/batch/batch_metrics.h"

namespace chalkshed {
namespace {

Counter& chunk_counter(MetricsRegistry& registry, const std::string& end) {
  return registry.counter("chalkshed_batch_chunks_total", "Chunks that left this node, by outcome",
                          {{"end", end}});
}

}  // namespace

BatchMetrics::BatchMetrics(MetricsRegistry& registry)
    : jobs_accepted(registry.counter("chalkshed_batch_jobs_accepted_total",
                                     "New jobs accepted by this node", {})),
      jobs_resent(registry.counter("chalkshed_batch_jobs_resent_total",
                                   "Submissions of a job that had already been accepted", {})),
      items_started(registry.counter("chalkshed_batch_items_started_total",
                                     "Item attempts started on workers", {})),
      takeovers(registry.counter("chalkshed_batch_takeovers_total",
                                 "Chunks taken over from expired sessions", {})),
      leases_lapsed(registry.counter("chalkshed_batch_leases_lapsed_total",
                                     "Times this node's lease expired before it was renewed", {})),
      leases_lost(registry.counter("chalkshed_batch_leases_lost_total",
                                   "Times another node ended this node's session", {})),
      chunks_held(
          registry.gauge("chalkshed_batch_chunks_held", "Chunks currently owned by this node", {})),
      unsaved_result_bytes(registry.gauge("chalkshed_batch_unsaved_result_bytes",
                                          "Bytes of finished results not yet written to the store",
                                          {})),
      breaker_open(registry.gauge("chalkshed_batch_store_breaker_open",
                                  "1 while the circuit breaker of the store is open", {})),
      chunks_done_(chunk_counter(registry, "done")),
      chunks_released_(chunk_counter(registry, "released")),
      chunks_stopped_(chunk_counter(registry, "stopped")),
      chunks_superseded_(chunk_counter(registry, "superseded")) {}

void BatchMetrics::count_chunk_outcome(ChunkOutcome outcome) {
  switch (outcome) {
    case ChunkOutcome::kDone:
      chunks_done_.add(1);
      break;
    case ChunkOutcome::kReleased:
      chunks_released_.add(1);
      break;
    case ChunkOutcome::kStopped:
      chunks_stopped_.add(1);
      break;
    case ChunkOutcome::kSuperseded:
      chunks_superseded_.add(1);
      break;
  }
}

}  // namespace chalkshed
