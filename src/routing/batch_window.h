// The amount of batch work that a worker may run, as pure functions of its known load.
#pragma once

#include <cstdint>

#include "src/routing/routing_knobs.h"

namespace chalkshed {

// The known load of a worker, at the node that holds it.
struct WindowConditions {
  double online_sequences = 0;
  uint32_t max_sequences = 0;
  double batch_fill = 0.5;  // set by the policy; 0 favours online work, 1 favours batch throughput
  bool light = false;       // kept lightly loaded for online work
  bool burst = false;       // online requests arrive in a burst
  bool load_known = false;  // a load report is recent enough to open the window fully
};

struct WindowLimits {
  uint32_t sequences = 0;      // batch sequences in flight
  uint32_t prompt_tokens = 0;  // batch prompt tokens awaiting prefill
};

// @return the limits under the knobs' batch policy.
WindowLimits window_limits(const WindowConditions& conditions, const WindowKnobs& knobs,
                           const RoutingSafeguards& safeguards);

// The state of one worker's window at the node that holds it.
struct BatchWindow {
  bool held = false;   // this node holds the worker
  bool light = false;  // kept lightly loaded for online work
  WindowLimits limits;
};

}  // namespace chalkshed
