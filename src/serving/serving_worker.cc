#include "src/serving/serving_worker.h"

#include <cmath>

namespace chalkshed {
namespace {

double to_seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

}  // namespace

uint32_t load_at(const ServingWorker& worker, MonotonicTime now, Duration report_lifetime) {
  auto others = static_cast<uint32_t>(std::max(worker.others_online + worker.others_batch, 0));
  if (worker.report) {
    const Duration age = now - worker.reported;
    if (age < report_lifetime) {
      const uint32_t total = worker.report->running + worker.report->waiting;
      const uint32_t reported_others =
          total > worker.in_flight_when_reported ? total - worker.in_flight_when_reported : 0;
      const double weight = 1.0 - to_seconds(age) / to_seconds(report_lifetime);
      others = std::max(others, static_cast<uint32_t>(std::lround(weight * reported_others)));
    }
  }
  return worker.in_flight() + others;
}

}  // namespace chalkshed
