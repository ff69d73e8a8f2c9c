// A caller's request whose content is opaque: it reaches a worker byte for byte, and the worker's
// answer comes back byte for byte. What routing needs to know of it stands beside.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "src/core/http_message.h"
#include "src/core/time.h"

namespace chalkshed {

// A part of a prompt that other requests may share.
struct PromptPart {
  std::string id;
  uint32_t tokens = 0;
};

struct ServingRequest {
  std::string id;    // the caller's; every attempt of a caller has its own
  std::string host;  // selects the route together with the path
  // Method, path, query, body, and the headers that are passed on.
  HttpRequest message;
  std::optional<Duration> time_limit;  // how long the caller waits
  std::string tenant;                  // whose key came with it; empty: nobody in particular
  // The tenant's, which goes before the route's.
  std::optional<uint32_t> priority;
  // The parts in order; the last is the request's own. Empty for plain services.
  std::vector<PromptPart> prompt;
  uint32_t prompt_tokens = 0;
  uint32_t max_output_tokens = 0;
  // What an item of a batch job counts against the queue limit of its route, in tokens.
  uint64_t queue_tokens = 0;
  // The caller continues a stream behind this event.
  std::optional<uint64_t> resume_after;
  // Of its content (request_digest.h): the same for all attempts of a caller. Set once it is taken
  // in.
  uint64_t digest = 0;
};

}  // namespace chalkshed
