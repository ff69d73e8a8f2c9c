#include "chalkshed/item_scheduler.h"

#include <algorithm>
#include <optional>

namespace chalkshed {

item_scheduler::item_scheduler(JobEnvironment& environment, SessionView& sessions,
                               const owned_job_map& owned, std::function<bool()> may_start)
    : environment_(environment),
      sessions_(sessions),
      owned_(owned),
      may_start_(std::move(may_start)),
      items_timer_(environment.serving.dispatcher.create_timer([this] { start_items(); })),
      preemption_timer_(
          environment.serving.dispatcher.create_timer([this] { preempt_for_online_work(); })) {}

void item_scheduler::start() {
  preemption_timer_->enable(environment_.knobs.preemption_check_interval);
}

void item_scheduler::start_items() {
  if (stopped_) {
    return;
  }
  // Items that cannot start are put off one by one.
  constexpr size_t kMostTried = 2000;
  begin_burst();
  update_places();
  waiting_items& waiting = environment_.waiting;
  waiting.advance(environment_.serving.time_source.monotonic_now());
  full_groups full;
  for (size_t tried = 0; tried < kMostTried && may_start_(); ++tried) {
    if (items_in_burst_ >= environment_.knobs.max_items_per_burst || !start_first(full)) {
      break;
    }
  }
  constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  if (waiting.size() > 0 && !items_timer_->enabled()) {
    items_timer_->enable(kPollInterval);
  }
}

void item_scheduler::begin_burst() {
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  if (now - burst_began_ >= environment_.knobs.item_burst_interval) {
    burst_began_ = now;
    items_in_burst_ = 0;
  }
}

void item_scheduler::update_places() {
  const RouteTablePtr table = environment_.routes.current();
  const uint64_t version = table ? table->version() : 0;
  if (std::exchange(configuration_, version) == version) {
    return;
  }
  for (const auto& [id, owned] : owned_) {
    owned.job->update_places();
  }
}

bool item_scheduler::start_first(full_groups& full) {
  const Duration late_before = environment_.clock.now() + environment_.pace.estimate();
  const auto next = environment_.waiting.first(late_before, full.names);
  if (!next) {
    return false;
  }
  const auto& [item, place] = *next;
  if (!may_run(*item.job)) {
    item.job->delay_item(item.item, item_wait::kStaleView, environment_.knobs.stale_view_delay);
    return true;
  }
  const std::string group = place->group;
  const size_t services = place->services;
  const item_start start = item.job->start_item(item.item);
  items_in_burst_ += start == item_start::kStarted || start == item_start::kEnded ? 1 : 0;
  // Each try of an item that may run at several services draws one of them.
  if (start == item_start::kNoRoom && ++full.refusals[group] >= services) {
    full.names.insert(group);
  }
  return true;
}

// The node that writes the end of a job acknowledges it, even if the owner has not been notified.
// While the store answers no node, no end can be acknowledged, so batch items may still start.
bool item_scheduler::may_run(const OwnedJob& job) const {
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  const Duration age = std::min(environment_.view_age(), now - job.confirmed());
  return age <= environment_.knobs.max_view_age || !sessions_.others_may_reach_store();
}

bool item_scheduler::preempt_one(const OwnedJob::AtWorker& at, preemption_cause cause) {
  OwnedJob* owner = nullptr;
  std::optional<OwnedJob::Preemptible> first;
  for (const auto& [id, owned] : owned_) {
    const auto run = owned.job->first_to_preempt(at);
    if (run && (!first || starts_before(first->slack, run->slack))) {
      owner = owned.job.get();
      first = run;
    }
  }
  if (owner != nullptr) {
    owner->preempt(*first, cause);
  }
  return owner != nullptr;
}

// Online requests never wait behind batch items: urgent runs are preempted too, after all others.
void item_scheduler::preempt_items(const std::string& service, size_t count) {
  const auto of_service = [&](const ServingWorker& worker) {
    return worker.record.service == service;
  };
  while (count > 0 && preempt_one(of_service, preemption_cause::kNoSlot)) {
    --count;
  }
}

void item_scheduler::preempt_for_online_work() {
  preemption_timer_->enable(environment_.knobs.preemption_check_interval);
  preempt_at_queues();
  WorkerSet& workers = environment_.serving.workers;
  for (const std::string& service : workers.services_with_batch()) {
    const MonotonicTime now = environment_.serving.time_source.monotonic_now();
    const double wanted = workers.batch_runs_to_stop(service);
    if (wanted <= 0 || now < next_preemption_[service]) {
      continue;
    }
    next_preemption_[service] = now + sessions_.view_lag();
    preempt_at_service(service, round_at_random(wanted));
  }
}

size_t item_scheduler::round_at_random(double expected) {
  return static_cast<size_t>(expected + environment_.serving.random.unit());
}

void item_scheduler::preempt_at_queues() {
  const std::vector<worker_occupancy> workers = environment_.serving.workers.workers_with_batch();
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  for (const auto& stop : queue_preemption_.runs_to_stop(workers, sessions_.view_lag(), now)) {
    const auto at_worker = [&](const ServingWorker& worker) { return worker.hash == stop.worker; };
    size_t count = round_at_random(stop.runs);
    while (count > 0 && preempt_one(at_worker, preemption_cause::kQueue)) {
      --count;
    }
  }
}

void item_scheduler::preempt_at_service(const std::string& service, size_t count) {
  const WorkerSet& workers = environment_.serving.workers;
  const auto of_service = [&](const ServingWorker& worker) {
    return worker.record.service == service;
  };
  const auto at_full_worker = [&](const ServingWorker& worker) {
    return of_service(worker) && workers.load_of(worker) >= worker.record.slots;
  };
  constexpr preemption_cause kCause = preemption_cause::kHeadroom;
  while (count > 0 && (preempt_one(at_full_worker, kCause) || preempt_one(of_service, kCause))) {
    --count;
  }
}

}  // namespace chalkshed
