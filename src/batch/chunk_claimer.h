// Claims of chunks in the table.
#pragma once

#include <functional>

#include "src/batch/batch_store.h"
#include "src/batch/open_job_cache.h"
#include "src/batch/session_lease.h"

namespace chalkshed {

enum class ClaimEnd {
  kClaimed,
  kTaken,      // the row changed; the board is out of date there
  kCancelled,  // the job is cancelled
  kFailed,     // the store did not answer, or the lease lapsed meanwhile
};

struct ChunkClaimResult {
  ClaimEnd end = ClaimEnd::kFailed;
  ChunkRow row;            // as in the table, when claimed, or taken and read
  RowVersion version = 0;  // 0 when unknown
};

class ChunkClaimer {
 public:
  ChunkClaimer(BatchStore& store, const SessionLease& lease, const BatchKnobs& knobs)
      : store_(store), lease_(lease), knobs_(knobs) {}

  // Writes the row with this node's session and the next epoch, on the condition that it is still
  // as the candidate says and that the job is not cancelled. A lost answer is read back.
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
