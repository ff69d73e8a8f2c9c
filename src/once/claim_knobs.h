// Tunables and safeguards of claims.
#pragma once

#include <cstddef>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

// Mechanisms that implement the at-most-once guarantee. Disabled only by tests that show that each
// is necessary.
struct ClaimSafeguards {
  // The claim is inserted only if no other holds the key.
  bool conditional_insert = true;
  // A claim whose commit answer was lost is used only after it has been read back.
  bool read_back_lost_commit = true;
  // A key reused for a different request is refused instead of being answered with the other
  // request's answer.
  bool digest_checked = true;
};

struct ClaimKnobs {
  // Maximum number of inserts for one claim while commit answers are lost or the key's row changes.
  uint32_t max_inserts = 3;
  // Answers larger than this aren't stored; a resend then gets an error which states that the
  // request ran.
  size_t max_stored_answer_bytes = 256UL * 1024;
  // Maximum number of outcomes waiting in memory to be stored. Beyond it, the oldest is dropped;
  // its key then stays claimed, which is safe.
  size_t max_pending_outcomes = 1024;
  // Maximum total size of answers in these outcomes. Beyond it, an outcome is stored without its
  // answer.
  size_t max_pending_answer_bytes = 32UL * 1024 * 1024;
  // Attempts to store an outcome, with an exponential delay between the two bounds.
  uint32_t max_outcome_attempts = 40;
  Duration first_outcome_delay = std::chrono::milliseconds(100);
  Duration max_outcome_delay = std::chrono::seconds(10);
  ClaimSafeguards safeguards;
};

}  // namespace chalkshed
