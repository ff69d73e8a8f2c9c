#include "src/batch/batch_metrics.h"

namespace chalkshed {
namespace {

Counter& chunk_counter(MetricsRegistry& registry, const std::string& end) {
  return registry.counter("chalkshed_batch_chunks_total",
                          "Chunks that left this node, by how they did", {{"end", end}});
}

}  // namespace

BatchMetrics::BatchMetrics(MetricsRegistry& registry)
    : jobs_accepted(registry.counter("chalkshed_batch_jobs_accepted_total",
                                     "Jobs newly accepted by this node", {})),
      jobs_resent(registry.counter("chalkshed_batch_jobs_resent_total",
                                   "Submissions that named a job accepted before", {})),
      items_started(registry.counter("chalkshed_batch_items_started_total",
                                     "Attempts at items begun on workers", {})),
      takeovers(registry.counter("chalkshed_batch_takeovers_total",
                                 "Chunks claimed from sessions that had ended", {})),
      leases_lapsed(registry.counter("chalkshed_batch_leases_lapsed_total",
                                     "Times this node's lease ran out without a renewal", {})),
      leases_lost(registry.counter("chalkshed_batch_leases_lost_total",
                                   "Times another node ended this node's session", {})),
      chunks_held(
          registry.gauge("chalkshed_batch_chunks_held", "Chunks that this node owns now", {})),
      unsaved_result_bytes(registry.gauge("chalkshed_batch_unsaved_result_bytes",
                                          "Finished results that wait for the store", {})),
      breaker_open(registry.gauge("chalkshed_batch_store_breaker_open",
                                  "1 while operations on the store are held back", {})),
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
