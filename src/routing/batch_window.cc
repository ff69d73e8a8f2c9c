#include "src/routing/batch_window.h"

#include <algorithm>
#include <cmath>
#include <limits>

namespace chalkshed {
namespace {

constexpr uint32_t kUnlimited = std::numeric_limits<uint32_t>::max();

double between(double low, double high, double fill) { return low + (high - low) * fill; }

WindowLimits greedy_limits(const WindowConditions& conditions) {
  const double free = conditions.max_sequences - conditions.online_sequences;
  return {static_cast<uint32_t>(std::max(0.0, std::floor(free))), kUnlimited};
}

WindowLimits fixed_limits(const WindowConditions& conditions, const WindowKnobs& knobs) {
  const double share = std::floor(conditions.max_sequences * knobs.fixed_share);
  return {static_cast<uint32_t>(std::max(1.0, share)), kUnlimited};
}

WindowLimits yielding_limits(const WindowConditions& conditions, const WindowKnobs& knobs) {
  const double fill = std::clamp(conditions.batch_fill, 0.0, 1.0);
  const double idle_share = between(knobs.idle_share_low, knobs.idle_share_high, fill);
  const double per_online = between(knobs.yield_per_online_low, knobs.yield_per_online_high, fill);
  const double light_sequences =
      between(knobs.light_sequences_low, knobs.light_sequences_high, fill);
  const double open = conditions.light ? light_sequences - conditions.online_sequences
                                       : conditions.max_sequences * idle_share -
                                             per_online * conditions.online_sequences;
  WindowLimits limits;
  limits.sequences = static_cast<uint32_t>(std::max(0.0, std::floor(open + 0.01)));
  limits.prompt_tokens =
      static_cast<uint32_t>(between(knobs.prompt_tokens_low, knobs.prompt_tokens_high, fill));
  if (conditions.burst) {
    limits.sequences = 0;
  }
  if (!conditions.load_known) {
    limits.sequences = std::min(limits.sequences, 1U);
  }
  return limits;
}

}  // namespace

WindowLimits window_limits(const WindowConditions& conditions, const WindowKnobs& knobs,
                           const RoutingSafeguards& safeguards) {
  if (!safeguards.batch_yields || knobs.policy == BatchPolicy::kGreedy) {
    return greedy_limits(conditions);
  }
  if (knobs.policy == BatchPolicy::kFixedShare) {
    return fixed_limits(conditions, knobs);
  }
  return yielding_limits(conditions, knobs);
}

}  // namespace chalkshed
