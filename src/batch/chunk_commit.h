// Store operations of a claimed chunk: writing its result, and releasing or stopping it.
#pragma once

#include <functional>
#include <string>

#include "src/batch/batch_store.h"
#include "src/batch/session_lease.h"

namespace chalkshed {

// Outcome of a chunk for its owner.
enum class ChunkOutcome {
  kDone,       // the result is committed
  kReleased,   // released for other nodes to claim
  kStopped,    // the job is cancelled and the owner has confirmed that it stopped
  kSuperseded  // another session owns it
};

// The chunk's row as written by the owner's claim.
struct ClaimedChunk {
  JobId job;
  uint32_t number = 0;
  ChunkRow row;
  RowVersion version = 0;
};

// Writes the result object, then updates the chunk's row to refer to it, on condition that the row
// is unchanged since the claim and that the job is not cancelled. After a lost response the row is
// read back; while the store is unavailable, steps are retried with backoff; while the lease is
// expired, they wait.
class ChunkCommit {
 public:
  using Done = std::function<void(ChunkOutcome)>;

  // @param done called once, never from within a method of this class.
  ChunkCommit(NodeDependencies& dependencies, BatchStore& store, const SessionLease& lease,
              const BatchKnobs& knobs, ClaimedChunk chunk, Done done);

  // @param content one line per item.
  void save(std::string content, uint32_t completed, uint32_t failed);
  // Releases the chunk. Must not be called while a result is being saved.
  // @param quiesced_at time by which all attempts of the owner are guaranteed to have ended; the
  // row is written then.
  void release(MonotonicTime quiesced_at);
  // Confirms in the row of a cancelled job's chunk that the owner has stopped, unless a commit in
  // progress turns out to have succeeded.
  void cancel(MonotonicTime quiesced_at);
  // Continues after the lease has become valid again.
  void resume();

 private:
  enum class Phase { kIdle, kSaving, kCommitting, kLeaving, kEnded };

  void put();
  void commit();
  void on_commit(Expected<CommitResult> result);
  void resolve();
  void on_row(const std::optional<Row>& row);
  void leave(ChunkState state);
  void write_state();
  void end(ChunkOutcome outcome);
  void retry(std::function<void()> step);
  bool passes_lease_check() const;

  NodeDependencies& dependencies_;
  BatchStore& store_;
  const SessionLease& lease_;
  const BatchKnobs& knobs_;
  ClaimedChunk chunk_;
  Done done_;
  Phase phase_ = Phase::kIdle;
  bool cancelled_ = false;
  MonotonicTime quiesced_at_{};
  ChunkState leaving_state_ = ChunkState::kPending;
  std::string result_name_;
  std::shared_ptr<const std::string> content_;
  uint32_t completed_ = 0;
  uint32_t failed_ = 0;
  uint32_t failures_ = 0;
  std::function<void()> pending_step_;  // runs once the lease is valid again
  std::function<void()> retry_step_;    // steps are sequential, so at most one is pending
  TimerPtr retry_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
