// Checks the serving guarantees against a recorded history.
#pragma once

#include <array>
#include <string>
#include <string_view>
#include <vector>

#include "src/history/event.h"

namespace chalkshed {

enum class Guarantee {
  kExactlyOnce,
  kCancelledStops,
  kOnlineBeforeBatch,
  kWholeAnswers,
  kNotRunIsTrue,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kPlannedStopCutsNothing,
  kConfigurationInForce,
};
constexpr size_t kGuaranteeCount = 9;

// @return the stable snake_case name, e.g. "exactly_once".
std::string_view guarantee_name(Guarantee guarantee);

struct GuaranteeResult {
  uint64_t checked = 0;                 // cases in which the guarantee could have been violated
  std::vector<std::string> violations;  // one sentence each
};

struct CheckResult {
  std::array<GuaranteeResult, kGuaranteeCount> guarantees;

  GuaranteeResult& operator[](Guarantee guarantee) {
    return guarantees[static_cast<size_t>(guarantee)];
  }
  const GuaranteeResult& operator[](Guarantee guarantee) const {
    return guarantees[static_cast<size_t>(guarantee)];
  }
  size_t violation_count() const;
};

// Bounds for the guarantees that have a deadline.
struct CheckerBounds {
  // A leaving back end receives no new work after this long. If the sender or the node that
  // received the leave order was paused or partitioned, the time counts from the end of that fault.
  Duration leaving_grace = std::chrono::seconds(3);
  // Maximum time from acceptance until a version is in effect on every reachable node.
  Duration configuration_propagation = std::chrono::seconds(10);
  // Maximum time from a node's receipt of an online request until it sends it to an engine.
  Duration online_dispatch = std::chrono::milliseconds(50);
  // Engine steps that an online request may wait while batch runs: the step in progress when it
  // arrives and the step that admits it.
  uint64_t online_wait_steps = 2;
};

CheckResult check_history(const History& history, const CheckerBounds& bounds = {});

}  // namespace chalkshed
