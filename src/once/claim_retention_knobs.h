// Tunables and safeguards of the removal of expired claims.
#pragma once

#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

// Mechanisms that implement the at-most-once guarantee. Disabled only by tests that show that each
// is necessary.
struct ClaimRetentionSafeguards {
  // A row is removed only if its version is still the one that was examined.
  bool conditional_removal = true;
  // A claim with an unknown outcome is kept for `unfinished_retention`.
  bool unfinished_kept_longer = true;
};

struct ClaimRetentionKnobs {
  // Age after which a claim with a known outcome is removed. A later resend is a new request.
  Duration retention = std::chrono::hours(24);
  // Age after which a claim is removed even if its outcome never became known.
  Duration unfinished_retention = std::chrono::hours(24 * 7);
  // Added to both, to allow for different wall clocks of the claiming and the sweeping node.
  Duration clock_margin = std::chrono::minutes(10);
  // Every bucket is swept once in this time by the node that owns it.
  Duration sweep_interval = std::chrono::hours(12);
  // Interval between two pages. A page costs one scan and, if it has expired rows, one commit.
  Duration page_interval = std::chrono::seconds(5);
  // Rows per page. Kept small because answers may be large.
  uint32_t page_rows = 32;
  // Delay after a store failure; longer if the store's error has a longer retry_after.
  Duration failure_delay = std::chrono::minutes(1);
  ClaimRetentionSafeguards safeguards;
};

}  // namespace chalkshed
