// Collects the event history of one simulated run.
#pragma once

#include "sim/virtual_time.h"
#include "src/history/event.h"

namespace chalkshed {

class HistoryRecorder {
 public:
  explicit HistoryRecorder(const VirtualClock& clock) : clock_(clock) {}
  void record(EventData data) { history_.push_back({clock_.monotonic_now(), std::move(data)}); }
  const History& history() const { return history_; }

 private:
  const VirtualClock& clock_;
  History history_;
};

}  // namespace chalkshed
