// Names of urgencies in policies, configurations and requests.
#pragma once

#include <optional>
#include <string_view>

#include "src/policy/policy.h"

namespace chalkshed {

// @return "urgent", "normal" or "deferrable".
inline std::string_view urgency_name(Urgency urgency) {
  switch (urgency) {
    case Urgency::kUrgent:
      return "urgent";
    case Urgency::kNormal:
      return "normal";
    case Urgency::kDeferrable:
      return "deferrable";
  }
  return "normal";
}

// @return the urgency with this name, if it exists.
inline std::optional<Urgency> urgency_from_name(std::string_view name) {
  for (const Urgency urgency : {Urgency::kUrgent, Urgency::kNormal, Urgency::kDeferrable}) {
    if (urgency_name(urgency) == name) {
      return urgency;
    }
  }
  return std::nullopt;
}

}  // namespace chalkshed
