#include "src/routing/outlier_detector.h"

#include <algorithm>
#include <cmath>

namespace chalkshed {
namespace {

// Minimum number of peers with enough samples for a meaningful median.
constexpr size_t kMinPeers = 2;

bool is_slow(const Worker& suspect, const std::vector<WorkerHandle>& workers,
             const HealthKnobs& knobs) {
  if (suspect.health.samples() < knobs.slow_minimum_samples) {
    return false;
  }
  std::vector<double> peers;
  for (const WorkerHandle& worker : workers) {
    if (worker->id != suspect.id && worker->health.samples() >= knobs.slow_minimum_samples) {
      peers.push_back(worker->health.slowness());
    }
  }
  if (peers.size() < kMinPeers) {
    return false;
  }
  const auto middle = peers.begin() + static_cast<std::ptrdiff_t>(peers.size() / 2);
  std::nth_element(peers.begin(), middle, peers.end());
  return suspect.health.slowness() > knobs.slow_factor * std::max(1.0, *middle);
}

bool may_eject_one_more(const std::vector<WorkerHandle>& workers, MonotonicTime now,
                        const HealthKnobs& knobs) {
  size_t ejected = 0;
  size_t usable = 0;
  for (const WorkerHandle& worker : workers) {
    if (worker->usable()) {
      ++usable;
      ejected += worker->health.ejected(now) ? 1 : 0;
    }
  }
  const auto share =
      static_cast<size_t>(std::floor(static_cast<double>(usable) * knobs.maximum_ejected_fraction));
  const size_t limit = usable >= 2 ? std::max<size_t>(1, share) : 0;
  return ejected < limit;
}

}  // namespace

bool eject_if_unhealthy(Worker& suspect, const std::vector<WorkerHandle>& workers,
                        MonotonicTime now, const HealthKnobs& knobs) {
  if (suspect.health.ejected(now)) {
    return false;
  }
  if (!suspect.health.failing(knobs) && !is_slow(suspect, workers, knobs)) {
    return false;
  }
  if (!may_eject_one_more(workers, now, knobs)) {
    return false;
  }
  suspect.health.eject(now, knobs);
  return true;
}

}  // namespace chalkshed
