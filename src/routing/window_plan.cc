#include "src/routing/window_plan.h"

#include <algorithm>
#include <cmath>

namespace chalkshed {
namespace {

size_t count_light(const std::vector<PlannedWorker>& workers) {
  return static_cast<size_t>(
      std::count_if(workers.begin(), workers.end(),
                    [](const PlannedWorker& worker) { return worker.light && worker.usable; }));
}

// Workers are made light in order and filled in reverse order, so that the first ones stay light
// and keep the prefixes of online prompts in their cache.
bool lighten_one(std::vector<PlannedWorker>& workers) {
  const auto next = std::find_if(workers.begin(), workers.end(), [](const PlannedWorker& worker) {
    return !worker.light && worker.usable;
  });
  if (next == workers.end()) {
    return false;
  }
  next->light = true;
  return true;
}

void fill_one(std::vector<PlannedWorker>& workers) {
  const auto last = std::find_if(workers.rbegin(), workers.rend(), [](const PlannedWorker& worker) {
    return worker.light && worker.usable;
  });
  if (last != workers.rend()) {
    last->light = false;
  }
}

double decayed(double rate, Duration passed, Duration window) {
  return rate *
         std::exp(-std::chrono::duration<double>(passed) / std::chrono::duration<double>(window));
}

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

void ArrivalRate::arrived(MonotonicTime now, const WindowKnobs& knobs) {
  const Duration passed = now - last_at_;
  recent_ = decayed(recent_, passed, knobs.arrival_window) + 1.0 / seconds(knobs.arrival_window);
  baseline_ =
      decayed(baseline_, passed, knobs.burst_baseline) + 1.0 / seconds(knobs.burst_baseline);
  last_at_ = now;
  const bool many = recent_ * seconds(knobs.arrival_window) >= knobs.burst_arrivals;
  if (many && recent_ >= knobs.burst_factor * baseline_) {
    burst_until_ = now + knobs.burst_hold;
  }
}

double ArrivalRate::per_second(MonotonicTime now, const WindowKnobs& knobs) const {
  return decayed(recent_, now - last_at_, knobs.arrival_window);
}

double online_per_light_worker(double batch_fill, const WindowKnobs& knobs) {
  const double fill = std::clamp(batch_fill, 0.0, 1.0);
  const double low = knobs.online_per_light_low;
  return std::max(1.0, low + (knobs.online_per_light_high - low) * fill);
}

void plan_light_workers(std::vector<PlannedWorker>& workers, const PlanConditions& conditions,
                        const WindowKnobs& knobs) {
  double online = 0;
  for (PlannedWorker& worker : workers) {
    online += worker.online_sequences;
    worker.light = worker.light && worker.usable;
  }
  const double expected =
      online + conditions.arrivals_per_second * seconds(knobs.arrival_lookahead);
  const double each = online_per_light_worker(conditions.batch_fill, knobs);
  const size_t fewest = conditions.idle ? 0 : knobs.fewest_light;
  const size_t by_load = std::max(fewest, static_cast<size_t>(std::ceil(expected / each)));
  const size_t needed = conditions.burst ? workers.size() : by_load;
  size_t light = count_light(workers);
  while (light < needed && lighten_one(workers)) {
    ++light;
  }
  // Fill one worker at a time, so that a short pause within a burst costs little.
  if (light > needed && conditions.may_shrink) {
    fill_one(workers);
  }
}

}  // namespace chalkshed
