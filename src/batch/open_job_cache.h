// What this node knows of the open jobs and their chunks. No I/O; a stale entry costs a failed
// claim, never correctness.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/batch/batch_rows.h"

namespace chalkshed {

// One chunk as last seen. Version 0: nobody has claimed it yet.
struct CachedChunk {
  ChunkState state = ChunkState::kPending;
  RowVersion version = 0;
  uint64_t epoch = 0;
  std::string owner;
  bool held = false;  // claimed, or being claimed, by this node
};

struct CachedJob {
  OpenJobRow row;
  RowVersion version = 0;  // of the open job row
  std::vector<CachedChunk> chunks;
  uint32_t first_chunk = 0;  // where this node begins to claim
  uint32_t conflicts = 0;    // failed claims since the last scan
};

// A chunk to claim.
struct ClaimCandidate {
  JobId job;
  uint32_t chunk = 0;
  RowVersion version = 0;
  uint64_t epoch = 0;     // of the row as seen
  bool takeover = false;  // from a session that is dead
};

class OpenJobCache {
 public:
  using Owns = std::function<bool(const std::string& session)>;

  // Takes the complete list of open jobs. @return jobs that are newly marked as cancelled.
  std::vector<JobId> update_open_jobs(const std::vector<Row>& rows);
  // Adds one job, such as one just accepted.
  void add(const OpenJobRow& row, RowVersion version);
  // @return false when the job is unknown or was known to be cancelled.
  bool mark_cancelled(const JobId& job);
  // Takes all chunk rows of a job.
  void update_chunks(const JobId& job, const std::vector<Row>& rows);
  void update_chunk(const JobId& job, uint32_t chunk, const ChunkRow& row, RowVersion version);
  void set_held(const JobId& job, uint32_t chunk, bool held);
  void remove(const JobId& job) { jobs_.erase(job); }

  // @param node picks where this node begins, so that nodes seldom claim the same chunk.
  // @param claimable whether chunks owned by the session are free to be taken.
  std::optional<ClaimCandidate> candidate(const JobId& job, const Owns& claimable) const;
  // @return a chunk that the session owns in its row but does not hold: a claim whose answer was
  // lost. Nobody else can take it while the session lives.
  std::optional<ClaimCandidate> unheld_chunk_of(const std::string& session) const;

  // @return running chunks of cancelled jobs that the session owns and this node does not hold.
  std::vector<ClaimCandidate> cancelled_chunks_of(const std::string& session) const;

  const std::map<JobId, CachedJob>& jobs() const { return jobs_; }
  CachedJob* find(const JobId& job);
  // Sessions of others that own running chunks.
  std::set<std::string> owners() const;
  void set_node_position(double position) { node_position_ = position; }

 private:
  std::map<JobId, CachedJob> jobs_;
  double node_position_ = 0;  // in [0, 1)
};

}  // namespace chalkshed
