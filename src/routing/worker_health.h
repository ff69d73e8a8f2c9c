// Failures, latency and ejection state of one worker.
#pragma once

#include <cstdint>
#include <map>

#include "src/core/time.h"
#include "src/routing/routing_knobs.h"

namespace chalkshed {

class WorkerHealth {
 public:
  // A request was sent and awaits its first token; `ticket` identifies it.
  void request_started(uint64_t ticket, MonotonicTime now);
  // @param expected predicted latency; the ratio of observed to predicted latency is averaged.
  void first_token_seen(uint64_t ticket, Duration latency, Duration expected);
  void request_ended(uint64_t ticket) { awaiting_first_token_.erase(ticket); }
  // A success after the slow start completes the recovery from an ejection.
  void success(MonotonicTime now, const HealthKnobs& knobs);
  void failure();

  // Ejects the worker. The duration doubles with each ejection until a recovery is complete.
  void eject(MonotonicTime now, const HealthKnobs& knobs);
  bool ejected(MonotonicTime now) const { return now < ejected_until_; }
  // The worker's share of traffic: 0 while ejected, then growing to 1.
  double traffic_share(MonotonicTime now, const HealthKnobs& knobs) const;
  // Clears all state for a new incarnation.
  void reset();

  bool failing(const HealthKnobs& knobs) const;
  // Whether the oldest request without a first token has waited too long.
  bool stalled(MonotonicTime now, const HealthKnobs& knobs) const;
  uint32_t samples() const { return samples_; }
  // Mean ratio of observed to expected time to first token; meaningful if samples() is large
  // enough.
  double slowness() const { return slowness_; }
  uint32_t ejections() const { return ejections_; }

 private:
  uint32_t consecutive_failures_ = 0;
  uint32_t ejections_ = 0;  // since the last complete recovery
  uint32_t samples_ = 0;
  double slowness_ = 1.0;
  MonotonicTime ejected_until_{};
  bool recovering_ = false;  // was ejected and has not completed its recovery
  std::map<uint64_t, MonotonicTime> awaiting_first_token_;
};

}  // namespace chalkshed
