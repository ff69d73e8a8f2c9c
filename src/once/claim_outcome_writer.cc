#include "src/once/claim_outcome_writer.h"

#include <algorithm>

namespace chalkshed {

ClaimOutcomeWriter::ClaimOutcomeWriter(TableStore& store, Dispatcher& dispatcher, Logger& logger,
                                       const ClaimKnobs& knobs)
    : store_(store), dispatcher_(dispatcher), logger_(logger), knobs_(knobs) {}

void ClaimOutcomeWriter::write(ClaimRow row, ClaimRecord record) {
  if (outcomes_.size() >= knobs_.max_pending_outcomes) {
    finish_outcome(outcomes_.begin()->first, "claim_outcome_dropped");
  }
  const size_t answer_bytes = record.answer ? record.answer->body.size() : 0;
  if (pending_answer_bytes() + answer_bytes > knobs_.max_pending_answer_bytes) {
    record.answer.reset();
  }
  const OutcomeId id = next_id_++;
  Outcome& outcome = outcomes_[id];
  outcome.row = std::move(row);
  outcome.record = std::move(record);
  outcome.retry_timer = dispatcher_.create_timer([this, id] { attempt(id); });
  attempt(id);
}

size_t ClaimOutcomeWriter::pending_answer_bytes() const {
  size_t bytes = 0;
  for (const auto& [id, outcome] : outcomes_) {
    bytes += outcome.record.answer ? outcome.record.answer->body.size() : 0;
  }
  return bytes;
}

void ClaimOutcomeWriter::attempt(OutcomeId id) {
  Outcome& outcome = outcomes_.at(id);
  ++outcome.attempts;
  if (outcome.row.version) {
    commit(id);
  } else {
    look_up(id);
  }
}

void ClaimOutcomeWriter::look_up(OutcomeId id) {
  store_.read(outcomes_.at(id).row.key,
              lifetime_.guard([this, id](const Expected<std::optional<Row>>& row) {
                const auto found = outcomes_.find(id);
                if (found == outcomes_.end()) {
                  return;
                }
                if (!row || !*row) {
                  // A missing row may still appear, since its commit may be in progress.
                  return retry_later(id);
                }
                const Expected<ClaimRecord> record = decode_claim_record((*row)->value);
                if (!record || record->attempt != found->second.record.attempt) {
                  return finish_outcome(id, "claim_outcome_superseded");
                }
                found->second.row.version = (*row)->version;
                commit(id);
              }));
}

void ClaimOutcomeWriter::commit(OutcomeId id) {
  const Outcome& outcome = outcomes_.at(id);
  Transaction transaction;
  transaction.conditions.push_back({outcome.row.key, *outcome.row.version});
  transaction.writes.push_back({outcome.row.key, encode_claim_record(outcome.record)});
  store_.commit(std::move(transaction),
                lifetime_.guard([this, id](const Expected<CommitResult>& result) {
                  if (!outcomes_.contains(id)) {
                    return;
                  }
                  if (!result) {
                    return retry_later(id);
                  }
                  // A failed condition means that an earlier attempt succeeded and its answer was
                  // lost: only this writer replaces a claimed row.
                  finish_outcome(id, "claim_outcome_stored");
                }));
}

void ClaimOutcomeWriter::retry_later(OutcomeId id) {
  Outcome& outcome = outcomes_.at(id);
  if (outcome.attempts >= knobs_.max_outcome_attempts) {
    return finish_outcome(id, "claim_outcome_given_up");
  }
  outcome.retry_timer->enable(delay_after(outcome.attempts));
}

void ClaimOutcomeWriter::finish_outcome(OutcomeId id, std::string_view event) {
  const auto found = outcomes_.find(id);
  const bool stored = event == "claim_outcome_stored";
  logger_.write(stored ? LogLevel::kDebug : LogLevel::kWarning, event,
                {{"claim", found->second.row.key.key}, {"attempt", found->second.record.attempt}});
  outcomes_.erase(found);
}

Duration ClaimOutcomeWriter::delay_after(uint32_t attempts) const {
  constexpr uint32_t kMaxDoublings = 16;
  const uint32_t doublings = std::min(attempts - 1, kMaxDoublings);
  return std::min(knobs_.first_outcome_delay * (1U << doublings), knobs_.max_outcome_delay);
}

}  // namespace chalkshed
