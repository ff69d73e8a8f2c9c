// Writes the outcomes of claims to the store, with retries up to a limit.
#pragma once

#include <cstdint>
#include <map>
#include <memory>

#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/once/claim_knobs.h"
#include "src/once/claim_record.h"

namespace chalkshed {

// The claim's row as known to the writer.
struct ClaimRow {
  RowKey key;
  // Empty if the claim's commit answer was lost and reading it back failed: the row is then first
  // looked up by its attempt.
  std::optional<RowVersion> version;
};

class ClaimOutcomeWriter {
 public:
  ClaimOutcomeWriter(TableStore& store, Dispatcher& dispatcher, Logger& logger,
                     const ClaimKnobs& knobs);

  // Replaces the claim's row with `record`, provided that the row still belongs to record.attempt.
  void write(ClaimRow row, ClaimRecord record);
  // @return the number of outcomes that are not stored yet; a planned stop waits for them.
  size_t pending() const { return outcomes_.size(); }

 private:
  struct Outcome {
    ClaimRow row;
    ClaimRecord record;
    uint32_t attempts = 0;
    TimerPtr retry_timer;
  };
  using OutcomeId = uint64_t;

  size_t pending_answer_bytes() const;
  void attempt(OutcomeId id);
  void look_up(OutcomeId id);
  void commit(OutcomeId id);
  void retry_later(OutcomeId id);
  void finish_outcome(OutcomeId id, std::string_view event);
  Duration delay_after(uint32_t attempts) const;

  TableStore& store_;
  Dispatcher& dispatcher_;
  Logger& logger_;
  ClaimKnobs knobs_;
  std::map<OutcomeId, Outcome> outcomes_;
  OutcomeId next_id_ = 0;
  Lifetime lifetime_;
};

}  // namespace chalkshed
