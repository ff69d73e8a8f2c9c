// Cache of the open jobs and their chunks. Performs no I/O; a stale entry causes a failed claim but
// never affects correctness.
#pragma once

#include <functional>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "src/batch/batch_rows.h"

namespace chalkshed {

// A chunk as last read. Version 0: never claimed.
struct CachedChunk {
  ChunkState state = ChunkState::kPending;
  RowVersion version = 0;
  uint64_t epoch = 0;
  std::string owner;
  bool held = false;  // claimed or being claimed by this node
};

struct CachedJob {
  OpenJobRow row;
  RowVersion version = 0;  // of the open job row
  std::vector<CachedChunk> chunks;
  uint32_t first_chunk = 0;  // first chunk that this node tries to claim
  uint32_t conflicts = 0;    // failed claims since the last scan
};

// A chunk to claim.
struct ClaimCandidate {
  JobId job;
  uint32_t chunk = 0;
  RowVersion version = 0;
  uint64_t epoch = 0;     // of the row as last read
  bool takeover = false;  // from an expired session
};

class OpenJobCache {
 public:
  using SessionPredicate = std::function<bool(const std::string& session)>;

  // Replaces the list of open jobs. @return the jobs newly marked as cancelled.
  std::vector<JobId> update_open_jobs(const std::vector<Row>& rows);
  // Adds one job, for example a newly accepted one.
  void add(const OpenJobRow& row, RowVersion version);
  // @return false when the job is unknown or already marked as cancelled.
  bool mark_cancelled(const JobId& job);
  // Updates all chunks of a job from their rows.
  void update_chunks(const JobId& job, const std::vector<Row>& rows);
  void update_chunk(const JobId& job, uint32_t chunk, const ChunkRow& row, RowVersion version);
  void set_held(const JobId& job, uint32_t chunk, bool held);
  void remove(const JobId& job) { jobs_.erase(job); }

  // Starts at a chunk that depends on the node, so that nodes rarely claim the same chunk.
  // @param
  // claimable whether chunks owned by a session may be taken over.
  std::optional<ClaimCandidate> candidate(const JobId& job,
                                          const SessionPredicate& claimable) const;
  // @return a chunk whose row names the session as owner but that this node does not hold: the
  // response to its claim was lost. No other node can claim it while the session is alive.
  std::optional<ClaimCandidate> unheld_chunk_owned_by(const std::string& session) const;

  // @return running chunks of cancelled jobs that the session owns and this node does not hold.
  std::vector<ClaimCandidate> cancelled_chunks_owned_by(const std::string& session) const;

  const std::map<JobId, CachedJob>& jobs() const { return jobs_; }
  CachedJob* find(const JobId& job);
  // Sessions of other nodes that own running chunks.
  std::set<std::string> owners() const;
  void set_node_position(double position) { node_position_ = position; }

 private:
  std::map<JobId, CachedJob> jobs_;
  double node_position_ = 0;  // in [0, 1)
};

}  // namespace chalkshed
