// Checks of the product's guarantees over a recorded history.
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
  uint64_t checked = 0;                 // occasions on which the guarantee could have been broken
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

// Bounds within which the guarantees that speak of time must hold.
struct CheckerBounds {
  // After this a leaving back end receives nothing new; counted from the end of the pause or cut
  // for a node that was paused or cut off, or that took the order and was.
  Duration leaving_grace = std::chrono::seconds(3);
  // From acceptance until a version is in force on every node that can be reached.
  Duration configuration_spread = std::chrono::seconds(10);
  // From a node's taking up an online request until it hands it to an engine.
  Duration online_dispatch = std::chrono::milliseconds(50);
  // Engine steps that an online request may wait while batch runs: the one under way when it came
  // and the one that takes it in.
  uint64_t online_wait_steps = 2;
};

CheckResult check_history(const History& history, const CheckerBounds& bounds = {});

}  // namespace chalkshed
