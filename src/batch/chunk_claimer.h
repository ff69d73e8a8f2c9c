// Claims chunks by conditional writes to the table.
#pragma once

#include <functional>

#include "src/batch/batch_store.h"
#include "src/batch/open_job_cache.h"
#include "src/batch/session_lease.h"

namespace chalkshed {

enum class ClaimOutcome {
  kClaimed,
  kTaken,      // the row has changed; the cached chunk is stale
  kCancelled,  // the job is cancelled
  kFailed,     // the store did not respond, or the lease expired in the meantime
};

struct ChunkClaimResult {
  ClaimOutcome end = ClaimOutcome::kFailed;
  ChunkRow row;            // the stored row, if the chunk was claimed, or taken and read back
  RowVersion version = 0;  // 0 when unknown
};

class ChunkClaimer {
 public:
  ChunkClaimer(BatchStore& store, const SessionLease& lease, const BatchKnobs& knobs)
      : store_(store), lease_(lease), knobs_(knobs) {}

  // Writes the row with this node's session and the next epoch, on condition that its version is
  // still that of the candidate and that the job is not cancelled. After a lost response the row is
  // read back.
  void claim(const ClaimCandidate& candidate, std::function<void(ChunkClaimResult)> done);

 private:
  void resolve(const ClaimCandidate& candidate, const ChunkRow& claimed,
               std::function<void(ChunkClaimResult)> done);

  BatchStore& store_;
  const SessionLease& lease_;
  const BatchKnobs& knobs_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
