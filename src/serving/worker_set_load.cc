// The part of WorkerSet that knows the load of workers and services.
#include <algorithm>

#include "src/serving/worker_set.h"

namespace chalkshed {

bool WorkerSet::add_peer_load(uint64_t worker, int32_t online, int32_t batch) {
  const auto found = by_hash_.find(worker);
  if (found == by_hash_.end()) {
    return false;
  }
  ServingWorker& loaded = *found->second;
  const int64_t before = loaded.online_of_others();
  loaded.others_online += online;
  loaded.others_batch += batch;
  loaded.counts->online += loaded.online_of_others() - before;
  if (online > 0) {
    observe_online(service_of(loaded.record.service));
  }
  if (online + batch < 0 && on_slot_freed_) {
    on_slot_freed_();
  }
  return true;
}

uint32_t WorkerSet::load_of(const ServingWorker& worker) const {
  return load_at(worker, time_source_.monotonic_now(), knobs_.report_lifetime);
}

void WorkerSet::observe_online(Service& service) {
  const auto online = static_cast<uint32_t>(std::max<int64_t>(service.counts->online, 0));
  service.room.observe_online(online, time_source_.monotonic_now());
}

service_load WorkerSet::load_of_service(const Service& service) const {
  const MonotonicTime now = time_source_.monotonic_now();
  service_load healthy;
  service_load all;
  for (const WorkerPtr& worker : service.workers) {
    if (!worker->in_service()) {
      continue;
    }
    const uint32_t load = load_at(*worker, now, knobs_.report_lifetime);
    service_load one;
    one.slots = worker->record.slots;
    one.free = worker->record.slots - std::min(load, worker->record.slots);
    one.batch = worker->batch_of_all();
    one.own_batch = worker->batch_in_flight;
    all += one;
    if (!worker->outcomes.suspect(now) && !selection_.ejected(*worker, now) &&
        !cold_start_limit::limited(worker->cold, service.cold, now)) {
      healthy += one;
    }
  }
  return healthy.slots > 0 ? healthy : all;
}

double WorkerSet::batch_runs_to_stop(const std::string& name) {
  Service& service = service_of(name);
  return service.room.runs_to_stop(load_of_service(service), time_source_.monotonic_now());
}

std::vector<std::string> WorkerSet::services_with_batch() const {
  std::vector<std::string> names;
  for (const auto& [name, service] : services_) {
    if (service.counts->own_batch > 0) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<worker_occupancy> WorkerSet::workers_with_batch() const {
  std::vector<worker_occupancy> found;
  for (const auto& [hash, worker] : active_) {
    if (worker->batch_in_flight == 0) {
      continue;
    }
    worker_occupancy at;
    at.worker = hash;
    at.slots = worker->record.slots;
    at.online = worker->online_in_flight + static_cast<uint32_t>(worker->online_of_others());
    at.batch = worker->batch_of_all();
    at.own_batch = worker->batch_in_flight;
    found.push_back(at);
  }
  return found;
}

uint32_t WorkerSet::free_slots(std::string_view name) const {
  const Service* service = find_service(name);
  return service == nullptr ? 0 : load_of_service(*service).free;
}

OnlineSlots WorkerSet::online_slots(std::string_view name) const {
  const Service* service = find_service(name);
  OnlineSlots slots;
  if (service == nullptr) {
    return slots;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  for (const WorkerPtr& worker : service->workers) {
    if (!worker->in_service() || worker->outcomes.suspect(now) ||
        cold_start_limit::limited(worker->cold, service->cold, now)) {
      continue;
    }
    const uint32_t load = load_at(*worker, now, knobs_.report_lifetime);
    const uint32_t online = load - std::min(worker->batch_of_all(), load);
    slots.all += worker->record.slots;
    slots.free += worker->record.slots - std::min(online, worker->record.slots);
  }
  return slots;
}

}  // namespace chalkshed
