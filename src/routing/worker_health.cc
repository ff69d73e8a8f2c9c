#include "src/routing/worker_health.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr double kSlownessSmoothing = 0.2;
constexpr uint32_t kMaxDoublings = 10;

}  // namespace

void WorkerHealth::request_started(uint64_t ticket, MonotonicTime now) {
  awaiting_first_token_.emplace(ticket, now);
}

void WorkerHealth::first_token_seen(uint64_t ticket, Duration latency, Duration expected) {
  awaiting_first_token_.erase(ticket);
  const double ratio =
      static_cast<double>(latency.count()) / std::max<double>(1.0, expected.count());
  slowness_ = samples_ == 0 ? ratio : slowness_ + kSlownessSmoothing * (ratio - slowness_);
  ++samples_;
}

void WorkerHealth::success(MonotonicTime now, const HealthKnobs& knobs) {
  consecutive_failures_ = 0;
  if (recovering_ && now >= ejected_until_ + knobs.slow_start) {
    recovering_ = false;
    ejections_ = 0;
  }
}

void WorkerHealth::failure() { ++consecutive_failures_; }

void WorkerHealth::eject(MonotonicTime now, const HealthKnobs& knobs) {
  const uint32_t doublings = std::min(ejections_, kMaxDoublings);
  const Duration length =
      std::min<Duration>(knobs.longest_ejection, knobs.first_ejection * (1U << doublings));
  ejected_until_ = now + length;
  recovering_ = true;
  ++ejections_;
  consecutive_failures_ = 0;
  samples_ = 0;
  slowness_ = 1.0;
}

double WorkerHealth::traffic_share(MonotonicTime now, const HealthKnobs& knobs) const {
  if (ejected(now)) {
    return 0.0;
  }
  if (!recovering_) {
    return 1.0;
  }
  const double progress = std::chrono::duration<double>(now - ejected_until_) /
                          std::chrono::duration<double>(knobs.slow_start);
  return std::min(1.0, knobs.slow_start_share + (1.0 - knobs.slow_start_share) * progress);
}

void WorkerHealth::reset() {
  const auto awaiting = std::move(awaiting_first_token_);
  *this = WorkerHealth();
}

bool WorkerHealth::failing(const HealthKnobs& knobs) const {
  // During the recovery, one failure is enough.
  const uint32_t bound = recovering_ ? 1 : knobs.consecutive_failures;
  return consecutive_failures_ >= bound;
}

bool WorkerHealth::stalled(MonotonicTime now, const HealthKnobs& knobs) const {
  if (awaiting_first_token_.empty()) {
    return false;
  }
  return now - awaiting_first_token_.begin()->second > knobs.stalled_after;
}

}  // namespace chalkshed
