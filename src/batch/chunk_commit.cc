#include "src/batch/chunk_commit.h"

#include <algorithm>

namespace chalkshed {

ChunkCommit::ChunkCommit(NodeDependencies& dependencies, BatchStore& store,
                         const SessionLease& lease, const BatchKnobs& knobs, ClaimedChunk chunk,
                         Done done)
    : dependencies_(dependencies),
      store_(store),
      lease_(lease),
      knobs_(knobs),
      chunk_(std::move(chunk)),
      done_(std::move(done)),
      result_name_(
          result_object_name(chunk_.job, chunk_.number, chunk_.row.epoch, chunk_.row.owner)),
      retry_timer_(dependencies.dispatcher.create_timer([this] {
        const std::function<void()> step = std::exchange(retry_step_, nullptr);
        step();
      })) {}

bool ChunkCommit::passes_lease_check() const {
  return !knobs_.safeguards.lease_checked_before_side_effects || lease_.valid();
}

void ChunkCommit::resume() {
  if (pending_step_) {
    const std::function<void()> step = std::exchange(pending_step_, nullptr);
    step();
  }
}

void ChunkCommit::retry(std::function<void()> step) {
  ++failures_;
  retry_step_ = std::move(step);
  retry_timer_->enable(store_.backoff(failures_));
}

// ---- result ----

void ChunkCommit::save(std::string content, uint32_t completed, uint32_t failed) {
  phase_ = Phase::kSaving;
  content_ = std::make_shared<const std::string>(std::move(content));
  completed_ = completed;
  failed_ = failed;
  put();
}

void ChunkCommit::put() {
  if (!passes_lease_check()) {
    pending_step_ = [this] { put(); };
    return;
  }
  store_.put(StoreUrgency::kResult, result_name_, content_,
             lifetime_.guard([this](const Expected<std::monostate>& result) {
               if (phase_ != Phase::kSaving) {
                 return;
               }
               if (!result) {
                 retry([this] { put(); });
                 return;
               }
               content_.reset();
               failures_ = 0;
               phase_ = Phase::kCommitting;
               commit();
             }));
}

void ChunkCommit::commit() {
  if (!passes_lease_check()) {
    pending_step_ = [this] { commit(); };
    return;
  }
  ChunkRow row = chunk_.row;
  row.state = ChunkState::kDone;
  row.result = result_name_;
  row.completed = completed_;
  row.failed = failed_;
  Transaction transaction;
  if (knobs_.safeguards.epoch_checked_at_commit) {
    transaction.conditions.push_back({chunk_key(chunk_.job, chunk_.number), chunk_.version});
  }
  if (knobs_.safeguards.cancel_checked_at_commit) {
    transaction.conditions.push_back({cancel_key(chunk_.job), 0});
  }
  transaction.writes.push_back({chunk_key(chunk_.job, chunk_.number), encode(row)});
  store_.commit(
      StoreUrgency::kResult, std::move(transaction),
      lifetime_.guard([this](Expected<CommitResult> result) { on_commit(std::move(result)); }));
}

void ChunkCommit::on_commit(Expected<CommitResult> result) {
  if (result && result->committed) {
    end(ChunkOutcome::kDone);
    return;
  }
  if (!result && result.error().ran == Ran::kNo) {
    retry([this] { commit(); });
    return;
  }
  if (!result && !knobs_.safeguards.read_back_lost_commits) {
    end(ChunkOutcome::kDone);
    return;
  }
  if (result) {
    const auto& failed = result->failed_conditions;
    const bool cancelled =
        std::find(failed.begin(), failed.end(), cancel_key(chunk_.job)) != failed.end();
    cancelled_ = cancelled_ || cancelled;
  }
  resolve();
}

// Reads the chunk's row back after a lost response or a failed condition.
void ChunkCommit::resolve() {
  store_.read(StoreUrgency::kResult, chunk_key(chunk_.job, chunk_.number),
              lifetime_.guard([this](const Expected<std::optional<Row>>& row) {
                if (row) {
                  on_row(*row);
                } else {
                  retry([this] { resolve(); });
                }
              }));
}

void ChunkCommit::on_row(const std::optional<Row>& row) {
  const auto chunk = row ? decode_chunk(row->value) : Expected<ChunkRow>(ChunkRow{});
  if (chunk && chunk->state == ChunkState::kDone && chunk->result == result_name_) {
    end(ChunkOutcome::kDone);
  } else if (!row || row->version != chunk_.version) {
    end(ChunkOutcome::kSuperseded);
  } else if (cancelled_) {
    leave(ChunkState::kStopped);
  } else {
    retry([this] { commit(); });
  }
}

// ---- releasing ----

void ChunkCommit::release(MonotonicTime quiesced_at) {
  quiesced_at_ = std::max(quiesced_at_, quiesced_at);
  leave(ChunkState::kPending);
}

void ChunkCommit::cancel(MonotonicTime quiesced_at) {
  quiesced_at_ = std::max(quiesced_at_, quiesced_at);
  cancelled_ = true;
  if (phase_ != Phase::kCommitting) {
    leave(ChunkState::kStopped);
  }
}

void ChunkCommit::leave(ChunkState state) {
  if (phase_ == Phase::kEnded) {
    return;
  }
  leaving_state_ = state;
  if (phase_ == Phase::kLeaving) {
    return;
  }
  phase_ = Phase::kLeaving;
  pending_step_ = nullptr;
  failures_ = 0;
  retry_timer_->disable();
  // The row states that no attempt is running, so it is written only once that is certain.
  const Duration wait = quiesced_at_ - dependencies_.time_source.monotonic_now();
  if (wait > Duration(0)) {
    retry_step_ = [this] { write_state(); };
    retry_timer_->enable(wait);
    return;
  }
  write_state();
}

void ChunkCommit::write_state() {
  ChunkRow row = chunk_.row;
  row.state = leaving_state_;
  Transaction transaction;
  transaction.conditions.push_back({chunk_key(chunk_.job, chunk_.number), chunk_.version});
  transaction.writes.push_back({chunk_key(chunk_.job, chunk_.number), encode(row)});
  store_.commit(StoreUrgency::kResult, std::move(transaction),
                lifetime_.guard([this](const Expected<CommitResult>& result) {
                  if (!result) {
                    // The write may have been committed: repeating it either commits it or finds
                    // the row changed.
                    retry([this] { write_state(); });
                    return;
                  }
                  end(leaving_state_ == ChunkState::kStopped ? ChunkOutcome::kStopped
                                                             : ChunkOutcome::kReleased);
                }));
}

void ChunkCommit::end(ChunkOutcome outcome) {
  phase_ = Phase::kEnded;
  const Done done = std::exchange(done_, nullptr);
  if (done) {
    done(outcome);
  }
}

}  // namespace chalkshed
