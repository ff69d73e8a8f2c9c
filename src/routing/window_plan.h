// Selects which of a node's held workers are kept light, that is, lightly loaded for online work.
// Pure functions of the known load of the workers.
//
// A step of an engine takes a fixed time plus a little for each sequence, so batch work is most
// efficient when packed into full workers, and online work is fastest on light ones. Online work
// therefore concentrates on a few light workers, as many as its load needs (the router selects the
// worker with the earliest predicted first token), and the others are filled with batch work. When
// the online load grows, as in a burst, more workers become light at once.
#pragma once

#include <cstdint>
#include <vector>

#include "src/routing/batch_window.h"
#include "src/routing/routing_knobs.h"

namespace chalkshed {

// One held worker of a service.
struct PlannedWorker {
  double online_sequences = 0;
  bool usable = true;
  bool light = false;  // input: the previous plan; output: the new plan
};

// Inputs of a plan besides the workers.
struct PlanConditions {
  double arrivals_per_second = 0;  // recent online requests at this node
  double batch_fill = 0.5;         // set by the policy; 0 favours online work, 1 favours batch
  bool may_shrink = false;         // the online load has been low for the knobs' hold time
  bool burst = false;              // online requests arrive in a burst
  bool idle = true;                // there was no online work for the knobs' light_kept_for
};

// The short-term and long-term rate of online arrivals at this node, and burst detection.
class ArrivalRate {
 public:
  void arrived(MonotonicTime now, const WindowKnobs& knobs);
  // Exponentially weighted arrivals per second over the knobs' arrival_window.
  double per_second(MonotonicTime now, const WindowKnobs& knobs) const;
  bool in_burst(MonotonicTime now) const { return now < burst_until_; }

 private:
  double recent_ = 0;    // per second, as of the last arrival
  double baseline_ = 0;  // the same over the knobs' burst_baseline
  MonotonicTime last_at_{};
  MonotonicTime burst_until_{};
};

// Selects the light workers, with as few changes as possible.
void plan_light_workers(std::vector<PlannedWorker>& workers, const PlanConditions& conditions,
                        const WindowKnobs& knobs);

// @return the target number of online sequences on one light worker at that batch_fill.
double online_per_light_worker(double batch_fill, const WindowKnobs& knobs);

}  // namespace chalkshed
