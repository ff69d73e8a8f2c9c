#include "src/batch/chunk_claimer.h"

#include <algorithm>

namespace chalkshed {

void ChunkClaimer::claim(const ClaimCandidate& candidate,
                         std::function<void(ChunkClaimResult)> done) {
  ChunkRow row;
  row.state = ChunkState::kRunning;
  row.epoch = candidate.epoch + 1;
  row.owner = lease_.session();
  const RowKey cancel = cancel_key(candidate.job);
  Transaction transaction;
  transaction.conditions.push_back({chunk_key(candidate.job, candidate.chunk), candidate.version});
  if (knobs_.safeguards.cancel_checked_at_commit) {
    transaction.conditions.push_back({cancel, 0});
  }
  transaction.writes.push_back({chunk_key(candidate.job, candidate.chunk), encode(row)});
  store_.commit(
      StoreUrgency::kBackground, std::move(transaction),
      lifetime_.guard([this, candidate, row, cancel, done](Expected<CommitResult> result) {
        if (result && result->committed) {
          const bool ours = lease_.session() == row.owner;
          done({ours ? ClaimOutcome::kClaimed : ClaimOutcome::kFailed, row,
                result->versions.front()});
          return;
        }
        if (!result && result.error().ran == Ran::kUnknown) {
          resolve(candidate, row, done);
          return;
        }
        if (!result) {
          done({ClaimOutcome::kFailed, {}, 0});
          return;
        }
        const auto& failed = result->failed_conditions;
        const bool cancelled = std::find(failed.begin(), failed.end(), cancel) != failed.end();
        done({cancelled ? ClaimOutcome::kCancelled : ClaimOutcome::kTaken, {}, 0});
      }));
}

void ChunkClaimer::resolve(const ClaimCandidate& candidate, const ChunkRow& claimed,
                           std::function<void(ChunkClaimResult)> done) {
  store_.read(
      StoreUrgency::kBackground, chunk_key(candidate.job, candidate.chunk),
      lifetime_.guard([this, claimed, done](Expected<std::optional<Row>> row) {
        if (!row || !row->has_value()) {
          // If the claim is committed later, a scan finds a chunk that this session owns but does
          // not hold, and it is claimed again.
          done({ClaimOutcome::kFailed, {}, 0});
          return;
        }
        const auto chunk = decode_chunk((*row)->value);
        if (!chunk) {
          done({ClaimOutcome::kFailed, {}, 0});
          return;
        }
        const bool ours = chunk->state == ChunkState::kRunning && chunk->owner == claimed.owner &&
                          chunk->epoch == claimed.epoch && lease_.session() == claimed.owner;
        done({ours ? ClaimOutcome::kClaimed : ClaimOutcome::kTaken, *chunk, (*row)->version});
      }));
}

}  // namespace chalkshed
