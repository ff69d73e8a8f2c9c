// Decisions of the policy programs written by operators: pure functions of a request's attributes.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/error.h"
#include "src/core/time.h"

namespace chalkshed {

// Attributes of a request that are known before it is routed.
struct RequestAttributes {
  std::string service;
  std::string tenant;
  std::string model;
  std::string path;
  uint32_t prompt_tokens = 0;  // estimate
  uint32_t max_tokens = 0;
  bool streamed = false;
  bool batch = false;                // a batch item
  std::optional<Duration> deadline;  // set by the caller
  std::string urgency_hint;          // value of the caller's X-Urgency header
};

enum class Urgency {
  kUrgent,      // must never wait
  kNormal,      // online
  kDeferrable,  // online, rejected first under overload
};

struct PolicyDecision {
  Urgency urgency = Urgency::kNormal;
  std::optional<Duration> deadline;  // for the whole response; empty: the service's default
  // How much batch work may share a worker with online work: 0 yields the most (lowest impact on
  // online tail latency), 1 fills the most (highest batch throughput).
  double batch_fill = 0.5;
  double batch_weight = 1.0;  // multiplies the tenant's weight
  bool refuse = false;
  std::string refusal_reason;
};

class PolicyEvaluator {
 public:
  virtual ~PolicyEvaluator() = default;
  // Evaluates the active policy of the service. A failing policy yields the default decision and is
  // counted; it never fails the request.
  virtual PolicyDecision evaluate(const RequestAttributes& attributes) = 0;
};

}  // namespace chalkshed
