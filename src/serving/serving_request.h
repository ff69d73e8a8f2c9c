// A caller's request. The content is opaque: it is forwarded to a worker byte for byte, and so is
// the worker's answer to the caller. The metadata that routing needs is kept beside it.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/http_message.h"
#include "src/core/time.h"

namespace chalkshed {

// A segment of a prompt, which other requests may share as part of a common prefix.
struct PromptPart {
  std::string id;
  uint32_t tokens = 0;
};

struct ServingRequest {
  std::string id;    // set by the caller, unique to each of its attempts
  std::string host;  // selects the route together with the path
  // Method, path, query, body, and the headers that are forwarded.
  HttpRequest message;
  std::optional<Duration> time_limit;  // how long the caller waits
  std::string tenant;                  // owner of the API key; empty without one
  // The tenant's priority, which overrides the route's.
  std::optional<uint32_t> priority;
  // The segments in order; the last one is specific to this request. Empty if the service doesn't
  // generate text.
  std::vector<PromptPart> prompt;
  std::string model;  // as the caller names it; empty if it names none
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  // Tokens that an item of a batch job counts towards the queue limit of its route.
  uint64_t queue_tokens = 0;
  // The caller resumes a stream after this event.
  std::optional<uint64_t> resume_after;
  // Id of the caller's attempt that brought the first event of that stream; empty: not named.
  std::string resumes;
  // Hash of the content (request_digest.h), equal for all attempts of a caller. Set on admission.
  uint64_t digest = 0;
  // Hashes of the segments of the prompt that other requests may share. Set on admission.
  std::vector<uint64_t> shared_parts;
  // An accepted batch item: it must run until it is listed, however many workers crashed under it.
  bool owed = false;
};

}  // namespace chalkshed
