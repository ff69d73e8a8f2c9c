// Metadata of an admitted request.
#pragma once

#include <string>

#include "src/core/time.h"
#include "src/policy/policy.h"

namespace chalkshed {

struct RequestContext {
  std::string request_id;  // set by the caller or generated; included in the answer and in logs
  std::string tenant;
  std::string service;
  Urgency urgency = Urgency::kNormal;
  // Whether the request may be retried after an attempt that may have run.
  bool repeatable = true;
  MonotonicTime received{};
  MonotonicTime deadline{};
};

}  // namespace chalkshed
