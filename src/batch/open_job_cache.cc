#include "src/batch/open_job_cache.h"

namespace chalkshed {

std::vector<JobId> OpenJobCache::update_open_jobs(const std::vector<Row>& rows) {
  std::vector<JobId> cancelled;
  std::set<JobId> present;
  for (const Row& row : rows) {
    const CachedJob* known = find(row.key);
    if (known != nullptr && known->version == row.version) {
      present.insert(row.key);
      continue;
    }
    const auto open_job = decode_open_job(row.value);
    if (!open_job) {
      continue;
    }
    present.insert(row.key);
    const bool was_cancelled = known != nullptr && known->row.cancelled;
    add(*open_job, row.version);
    if (open_job->cancelled && !was_cancelled) {
      cancelled.push_back(row.key);
    }
  }
  std::erase_if(jobs_, [&](const auto& entry) { return !present.contains(entry.first); });
  return cancelled;
}

void OpenJobCache::add(const OpenJobRow& row, RowVersion version) {
  CachedJob& known = jobs_[row.job.id];
  const bool cancelled = known.row.cancelled || row.cancelled;
  known.row = row;
  known.row.cancelled = cancelled;
  known.version = version;
  if (known.chunks.size() != row.job.chunks) {
    known.chunks.resize(row.job.chunks);
    known.first_chunk = static_cast<uint32_t>(node_position_ * row.job.chunks);
  }
}

bool OpenJobCache::mark_cancelled(const JobId& job) {
  CachedJob* known = find(job);
  if (known == nullptr || known->row.cancelled) {
    return false;
  }
  known->row.cancelled = true;
  return true;
}

void OpenJobCache::update_chunks(const JobId& job, const std::vector<Row>& rows) {
  CachedJob* known = find(job);
  if (known == nullptr) {
    return;
  }
  known->conflicts = 0;
  for (const Row& row : rows) {
    const auto number = chunk_number(row.key);
    if (!number || *number >= known->chunks.size() ||
        known->chunks[*number].version == row.version) {
      continue;
    }
    const auto chunk = decode_chunk(row.value);
    if (chunk) {
      update_chunk(job, *number, *chunk, row.version);
    }
  }
}

void OpenJobCache::update_chunk(const JobId& job, uint32_t chunk, const ChunkRow& row,
                                RowVersion version) {
  CachedJob* known = find(job);
  // Versions of a row only grow, so an answer that comes late never hides a newer one.
  if (known == nullptr || chunk >= known->chunks.size() || version < known->chunks[chunk].version) {
    return;
  }
  CachedChunk& entry = known->chunks[chunk];
  entry.state = row.state;
  entry.version = version;
  entry.epoch = row.epoch;
  entry.owner = row.owner;
}

void OpenJobCache::set_held(const JobId& job, uint32_t chunk, bool held) {
  CachedJob* known = find(job);
  if (known != nullptr && chunk < known->chunks.size()) {
    known->chunks[chunk].held = held;
  }
}

std::optional<ClaimCandidate> OpenJobCache::candidate(const JobId& job,
                                                      const Owns& claimable) const {
  const auto found = jobs_.find(job);
  if (found == jobs_.end() || found->second.row.cancelled) {
    return std::nullopt;
  }
  const CachedJob& known = found->second;
  const auto count = static_cast<uint32_t>(known.chunks.size());
  for (uint32_t step = 0; step < count; ++step) {
    const uint32_t number = (known.first_chunk + step) % count;
    const CachedChunk& chunk = known.chunks[number];
    if (chunk.held) {
      continue;
    }
    const bool takeover = chunk.state == ChunkState::kRunning && claimable(chunk.owner);
    if (chunk.state == ChunkState::kPending || takeover) {
      return ClaimCandidate{job, number, chunk.version, chunk.epoch, takeover};
    }
  }
  return std::nullopt;
}

std::optional<ClaimCandidate> OpenJobCache::unheld_chunk_of(const std::string& session) const {
  for (const auto& [id, job] : jobs_) {
    for (uint32_t number = 0; number < job.chunks.size() && !job.row.cancelled; ++number) {
      const CachedChunk& chunk = job.chunks[number];
      if (chunk.state == ChunkState::kRunning && !chunk.held && chunk.owner == session) {
        return ClaimCandidate{id, number, chunk.version, chunk.epoch, true};
      }
    }
  }
  return std::nullopt;
}

std::vector<ClaimCandidate> OpenJobCache::cancelled_chunks_of(const std::string& session) const {
  std::vector<ClaimCandidate> found;
  for (const auto& [id, job] : jobs_) {
    if (!job.row.cancelled) {
      continue;
    }
    for (uint32_t number = 0; number < job.chunks.size(); ++number) {
      const CachedChunk& chunk = job.chunks[number];
      if (chunk.state == ChunkState::kRunning && !chunk.held && chunk.owner == session) {
        found.push_back({id, number, chunk.version, chunk.epoch, false});
      }
    }
  }
  return found;
}

CachedJob* OpenJobCache::find(const JobId& job) {
  const auto found = jobs_.find(job);
  return found == jobs_.end() ? nullptr : &found->second;
}

std::set<std::string> OpenJobCache::owners() const {
  std::set<std::string> sessions;
  for (const auto& [id, job] : jobs_) {
    for (const CachedChunk& chunk : job.chunks) {
      if (chunk.state == ChunkState::kRunning && !chunk.held && !chunk.owner.empty()) {
        sessions.insert(chunk.owner);
      }
    }
  }
  return sessions;
}

}  // namespace chalkshed
