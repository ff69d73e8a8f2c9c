// Settings and safeguards of the callers' API.
#pragma once

#include <cstddef>
#include <cstdint>

#include "src/core/time.h"
#include "src/once/claim_knobs.h"

namespace chalkshed {

// Mechanisms that the guarantees depend on. They are disabled only by tests, which show that the
// guarantee fails without them.
struct GatewaySafeguards {
  // Tokens of a resumed stream are checked by index, so that none is duplicated or missing.
  bool resume_checks_token_index = true;
  // A stream is complete only after the engine's end mark with the correct number of tokens.
  bool end_mark_required = true;
  // A request is reported as not run only if no attempt can have run.
  bool not_run_only_when_certain = true;
  // Only repeatable requests are retried after an attempt that may have run.
  bool retry_only_when_safe = true;
  // A non-repeatable request is claimed in the store before it is dispatched.
  bool claim_before_dispatch = true;
  // A non-repeatable request is dispatched over a new connection.
  bool fresh_connection_when_not_repeatable = true;
  // Nothing is dispatched after the request's deadline, e.g. if the node was paused meanwhile.
  bool deadline_checked_before_dispatch = true;
  // A request is cancelled on the engine when its caller disconnects.
  bool cancel_when_caller_gone = true;
};

struct GatewayKnobs {
  // Maximum number of attempts of one request on different workers, including the first. It is high
  // enough to get past a lost zone, whose workers are the first choice of the nodes in it; the
  // retry budget limits retries otherwise.
  uint32_t max_attempts = 8;
  Duration connect_timeout = std::chrono::seconds(1);
  // An attempt fails if its worker has started the answer and then sends nothing for this long.
  // Before the first token the request may be queued at the engine, so the timeout is the larger of
  // this and first_token_share of the time left.
  Duration idle_timeout = std::chrono::seconds(5);
  double first_token_share = 0.5;
  // Maximum body size of a completion request; about a million tokens.
  size_t max_completion_body_bytes = 4UL * 1024 * 1024;
  // Maximum body size of a request to a plain service.
  size_t max_plain_body_bytes = 32UL * 1024 * 1024;
  // Longest deadline that a caller may request.
  Duration longest_deadline = std::chrono::hours(1);
  // A streamed answer is aborted when more bytes than this are buffered for a slow reader.
  size_t max_buffered_answer_bytes = 4UL * 1024 * 1024;
  // Reading a plain answer from the back end is paused while more bytes than this are buffered for
  // the caller. It resumes when half of this or less is left, which is checked at this interval.
  size_t pause_above_buffered_bytes = 1024UL * 1024;
  Duration drain_check_interval = std::chrono::milliseconds(5);
  // Retry-After if no better estimate is known.
  Duration default_retry_after = std::chrono::seconds(1);
  ClaimKnobs claims;
  GatewaySafeguards safeguards;
};

}  // namespace chalkshed
