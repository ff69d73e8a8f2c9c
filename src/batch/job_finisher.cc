#include "src/batch/job_finisher.h"

#include <algorithm>

namespace chalkshed {

std::optional<JobEndRow> JobFinisher::end_of(const OpenJobRow& job, const std::vector<Row>& chunks,
                                             const OpenJobCache::Owns& dead) const {
  if (!job.cancelled && chunks.size() < job.job.chunks) {
    return std::nullopt;  // some chunk was never claimed
  }
  JobEndRow end;
  uint32_t done = 0;
  for (const Row& row : chunks) {
    const auto chunk = decode_chunk(row.value);
    if (!chunk) {
      return std::nullopt;
    }
    if (chunk->state == ChunkState::kRunning && !dead(chunk->owner)) {
      return std::nullopt;
    }
    if (chunk->state == ChunkState::kDone) {
      ++done;
      end.completed += chunk->completed;
      end.failed += chunk->failed;
    }
  }
  if (!job.cancelled && done < job.job.chunks) {
    return std::nullopt;
  }
  end.outcome = job.cancelled ? JobOutcome::kCancelled : JobOutcome::kCompleted;
  end.ended_us =
      static_cast<uint64_t>(dependencies_.time_source.wall_now().time_since_epoch().count());
  return end;
}

void JobFinisher::end_job(const OpenJobRow& job, const JobEndRow& end,
                          std::function<void(bool)> done) {
  const JobId& id = job.job.id;
  Transaction transaction;
  transaction.conditions.push_back({job_end_key(id), 0});
  if (!job.cancelled) {
    transaction.conditions.push_back({cancel_key(id), 0});
  }
  transaction.writes.push_back({job_end_key(id), encode(end)});
  transaction.writes.push_back({open_job_key(id), std::nullopt});
  store_.commit(StoreUrgency::kBackground, std::move(transaction),
                lifetime_.guard([this, id, done](Expected<CommitResult> result) {
                  if (!result) {
                    // The next look at the job tells whether it took effect.
                    done(false);
                    return;
                  }
                  const auto& failed = result->failed_conditions;
                  const bool ended =
                      std::find(failed.begin(), failed.end(), job_end_key(id)) != failed.end();
                  if (result->committed) {
                    dependencies_.logger.write(LogLevel::kInfo, "batch_job_ended", {{"job", id}});
                  }
                  done(result->committed || ended);
                }));
}

}  // namespace chalkshed
