// The part of WorkerSet that learns how fast the workers are.
#include <algorithm>
#include <cmath>

#include "src/serving/worker_set.h"

namespace chalkshed {
namespace {

double to_milliseconds(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

}  // namespace

void WorkerSet::note_first_token(const ServingWorker& worker, uint32_t prompt_tokens,
                                 Duration took) {
  // The rate is that of a worker of speed 1.
  const double speed = worker.speed.speed();
  prompt_rate_.add_sample(prompt_tokens,
                          speed == 1.0 ? took : std::chrono::duration_cast<Duration>(took * speed));
}

void WorkerSet::note_pace(ServingWorker& worker, const PaceSample& sample) {
  if (!sample.load.slowdown || sample.per_unit <= Duration(0)) {
    return;
  }
  const double lasted = std::max(to_milliseconds(sample.measured), 1.0);
  // The report was true for about half of its lifetime, in the mean.
  const double reported_share =
      std::min(to_milliseconds(knobs_.speed.slowdown_lifetime) / 2 / lasted, 1.0);
  const double slowed = 1.0 + (*sample.load.slowdown - 1.0) * reported_share;
  const double log_duration = std::log(to_milliseconds(sample.per_unit) / slowed);
  const double running = std::min(sample.load.running, worker.record.slots);
  service_pace& pace = service_of(worker.record.service).paces[static_cast<size_t>(sample.kind)];
  const std::optional<double> expected = pace.expected(running);
  const double confidence = pace.confidence();
  // Corrected by the speed, because fast workers run more requests: the load would otherwise seem
  // to make workers faster.
  pace.add(running, log_duration + std::log(worker.speed.speed()));
  if (!expected) {
    return;
  }
  // Cached prefixes and queues distort the time to the first event.
  constexpr double kWeightOfFirstEvent = 0.25;
  const double weight = sample.kind == PaceKind::kFirstEvent ? kWeightOfFirstEvent : 1.0;
  const speed_samples counted = worker.speed.add({*expected - log_duration, weight * confidence},
                                                 time_source_.monotonic_now(), knobs_.speed);
  worker.unreported_speed.add(counted);
  note_speed_update(find_hash(worker.hash));
  report_speed_change(worker);
}

void WorkerSet::note_speed_update(const WorkerPtr& worker) {
  if (worker && !std::exchange(worker->speed_unreported, true)) {
    speed_updates_.push_back(worker);
  }
}

std::vector<worker_speed_entry> WorkerSet::take_speed_updates(size_t most) {
  const MonotonicTime now = time_source_.monotonic_now();
  std::vector<worker_speed_entry> updates;
  while (!speed_updates_.empty() && updates.size() < most) {
    ServingWorker& worker = *speed_updates_.front();
    worker.speed_unreported = false;
    worker_speed_entry entry;
    entry.worker = static_cast<uint32_t>(worker.hash);
    entry.samples = std::exchange(worker.unreported_speed, {});
    entry.slowdown = worker.speed.recent_slowdown(now, knobs_.speed);
    entry.slowdown_age = worker.speed.slowdown_age(now);
    if (entry.slowdown || entry.samples.weight > 0) {
      updates.push_back(entry);
    }
    speed_updates_.pop_front();
  }
  return updates;
}

void WorkerSet::add_peer_speed(const worker_speed_entry& told) {
  const WorkerPtr worker = find_hash(told.worker);
  if (!worker) {
    return;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  if (told.samples.weight > 0) {
    worker->speed.add(told.samples, now, knobs_.speed);
  }
  if (told.slowdown) {
    worker->speed.note_slowdown(*told.slowdown, now - told.slowdown_age);
  }
  report_speed_change(*worker);
}

void WorkerSet::set_shared_speed(const worker_speed_entry& told) {
  const WorkerPtr worker = find_hash(told.worker);
  if (!worker) {
    return;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  if (told.samples.weight > 0) {
    worker->speed.set_shared(told.samples, now, knobs_.speed);
  }
  if (told.slowdown) {
    worker->speed.note_slowdown(*told.slowdown, now - told.slowdown_age);
  }
  report_speed_change(*worker);
}

speed_samples WorkerSet::known_speed(uint64_t worker) const {
  const WorkerPtr known = find_hash(worker);
  return known ? known->speed.samples(time_source_.monotonic_now(), knobs_.speed) : speed_samples{};
}

void WorkerSet::report_speed_change(ServingWorker& worker) {
  const std::optional<double> before =
      worker.speed.take_notable_change(time_source_.monotonic_now(), knobs_.speed);
  if (before && on_speed_changed_) {
    on_speed_changed_(worker, *before);
  }
}

std::optional<WorkerSet::SpeedSpread> WorkerSet::speed_spread(std::string_view name) const {
  const Service* service = find_service(name);
  std::vector<double> speeds;
  for (const WorkerPtr& worker : service == nullptr ? std::vector<WorkerPtr>{} : service->workers) {
    if (worker->listed && worker->speed.reports()) {
      speeds.push_back(worker->speed.speed());
    }
  }
  if (speeds.empty()) {
    return std::nullopt;
  }
  std::sort(speeds.begin(), speeds.end());
  return SpeedSpread{speeds.front(), speeds[speeds.size() / 2], speeds.back()};
}

}  // namespace chalkshed
