// A request in progress in the gateway.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string_view>

#include "src/core/error.h"

namespace chalkshed {

enum class RequestEnd {
  kAnswered,    // the complete answer was written
  kFailed,      // ended with an error that is visible to the caller
  kCallerGone,  // the caller disconnected, or was disconnected because it read too slowly
};

// @return the stable name used in logs and metrics.
std::string_view request_end_name(RequestEnd end);

struct RequestOutcome {
  RequestEnd end = RequestEnd::kAnswered;
  Ran ran = Ran::kUnknown;          // without an answer: whether the request may have run
  std::optional<Error> error = {};  // set if it failed
};

// Called once, when the request has ended. The callback must not destroy the request.
using DoneCallback = std::function<void(const RequestOutcome&)>;

class ActiveRequest {
 public:
  virtual ~ActiveRequest() = default;
  virtual void start() = 0;
};
using ActiveRequestPtr = std::unique_ptr<ActiveRequest>;

}  // namespace chalkshed
