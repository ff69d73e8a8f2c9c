#include "src/serving/worker_set.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

// Identifies one incarnation of a worker.
uint64_t hash_of(const WorkerRecord& record) {
  const auto started = static_cast<uint64_t>(record.started.time_since_epoch().count());
  return content_hash(record.incarnation, started) & UINT32_MAX;
}

// Maps a hash uniformly to [0, 1).
double to_unit_interval(uint64_t hash) { return static_cast<double>(hash >> 11U) * 0x1.0p-53; }

}  // namespace

WorkerSlot::WorkerSlot(WorkerPtr worker, WorkClass work,
                       std::function<void(const WorkerSlot&)> on_freed)
    : worker_(std::move(worker)), work_(work), on_freed_(std::move(on_freed)) {
  count(1);
}

WorkerSlot::~WorkerSlot() {
  count(-1);
  if (on_freed_) {
    on_freed_(*this);
  }
}

void WorkerSlot::count(int change) {
  const bool online = work_ == WorkClass::kOnline;
  (online ? worker_->online_in_flight : worker_->batch_in_flight) += static_cast<uint32_t>(change);
  (online ? worker_->counts->online : worker_->counts->own_batch) += change;
}

WorkerSet::WorkerSet(TimeSource& time_source, RandomGenerator& random, std::string own_zone,
                     const WorkerKnobs& knobs)
    : time_source_(time_source),
      random_(random),
      own_zone_(std::move(own_zone)),
      knobs_(knobs),
      started_(time_source.monotonic_now()),
      order_seed_(random.next()),
      prompt_rate_(knobs.prompt_tokens_per_millisecond),
      selection_(random, own_zone_, knobs_, prompt_rate_),
      cold_limit_(knobs.cold_start) {}

WorkerSet::Service& WorkerSet::service_of(const std::string& name) {
  const auto found = services_.find(name);
  return found != services_.end()
             ? found->second
             : services_
                   .try_emplace(name, batch_room(started_, knobs_.batch_room), batch_ramp(started_))
                   .first->second;
}

const WorkerSet::Service* WorkerSet::find_service(std::string_view name) const {
  const auto found = services_.find(name);
  return found == services_.end() ? nullptr : &found->second;
}

void WorkerSet::move_to_service(const WorkerPtr& worker, const std::string& name) {
  Service& service = service_of(name);
  if (worker->counts) {
    std::erase(service_of(worker->record.service).workers, worker);
    worker->counts->online -= worker->online_in_flight + worker->online_of_others();
    worker->counts->own_batch -= worker->batch_in_flight;
  }
  worker->counts = service.counts;
  worker->counts->online += worker->online_in_flight + worker->online_of_others();
  worker->counts->own_batch += worker->batch_in_flight;
  service.workers.push_back(worker);
}

void WorkerSet::set_listed(ServingWorker& worker, bool listed) {
  if (std::exchange(worker.listed, listed) == listed) {
    return;
  }
  if (on_listing_changed_) {
    on_listing_changed_(worker.record.service);
  }
  service_versions& versions = service_of(worker.record.service).versions;
  const MonotonicTime now = time_source_.monotonic_now();
  if (!listed) {
    versions.note_unlisted(worker.software, now);
    return;
  }
  const size_t before = versions.listed();
  versions.note_listed(worker.software, now);
  if (before == 1 && versions.listed() > 1 && on_second_version_) {
    on_second_version_(worker.record.service);
  }
}

void WorkerSet::update(const WorkerRecord& record) {
  WorkerPtr& worker = workers_[record.incarnation];
  const bool restarted = worker && (worker->record.started != record.started ||
                                    worker->record.version != record.version);
  if (restarted) {
    set_listed(*worker, false);
    drop(worker);
    worker.reset();  // no state of the previous incarnation applies to the new one
  }
  const bool is_new = !worker;
  if (is_new) {
    worker = std::make_shared<ServingWorker>();
    worker->outcomes = worker_outcomes(knobs_.outcomes);
    worker->order_offset = to_unit_interval(content_hash(record.incarnation, order_seed_));
    // Workers with the same hash are seen by peers as one, which happens to one pair in a thousand
    // fleets of 3,000 workers.
    worker->hash = hash_of(record);
    by_hash_[worker->hash] = worker;
  }
  if (is_new || worker->record.service != record.service) {
    set_listed(*worker, false);
    move_to_service(worker, record.service);
  }
  worker->record = record;
  worker->software = software_of(record.service, record.version, record.incarnation);
  worker->replaced = false;
  set_listed(*worker, true);
  worker->evacuated = evacuated_zones_.contains(record.zone);
  cold_limit_.note_cold(worker->cold, record.incarnation, service_of(record.service).cold,
                        record.cold_left, time_source_.monotonic_now());
  drop_expired();
  if (is_new && on_slot_freed_) {
    on_slot_freed_();
  }
}

void WorkerSet::remove(const std::string& incarnation) {
  const auto found = workers_.find(incarnation);
  if (found != workers_.end() && found->second->listed) {
    set_listed(*found->second, false);
    found->second->removal_doubtful = removals_doubtful_();
    found->second->unlisted_since = time_source_.monotonic_now();
    unlisted_.push_back({found->second, found->second->unlisted_since});
  }
  drop_expired();
}

void WorkerSet::reject(const std::string& incarnation) {
  const WorkerPtr worker = find(incarnation);
  remove(incarnation);
  if (worker) {
    worker->record.leaving = true;
  }
}

void WorkerSet::note_unseen_workers() {
  const MonotonicTime now = time_source_.monotonic_now();
  for (auto& [name, service] : services_) {
    service.versions.note_unseen(now);
    if (on_second_version_) {
      on_second_version_(name);
    }
  }
}

void WorkerSet::drop_expired() {
  const MonotonicTime now = time_source_.monotonic_now();
  while (!unlisted_.empty() && now - unlisted_.front().since > knobs_.unlisted_grace) {
    const WorkerPtr worker = unlisted_.front().worker.lock();
    const MonotonicTime since = unlisted_.front().since;
    unlisted_.pop_front();
    // Since then it may have been listed again, removed again, or restarted.
    const bool gone = worker && !worker->listed && worker->unlisted_since == since;
    const auto found = gone ? workers_.find(worker->record.incarnation) : workers_.end();
    if (found != workers_.end() && found->second == worker) {
      workers_.erase(found);
      drop(worker);
    }
  }
}

size_t WorkerSet::evacuate(const std::string& zone) {
  evacuated_zones_.insert(zone);
  size_t workers = 0;
  for (const auto& [incarnation, worker] : workers_) {
    if (worker->record.zone == zone) {
      worker->evacuated = true;
      workers += worker->listed ? 1 : 0;
    }
  }
  return workers;
}

// The workers may have become cold just before, and their records may be updated only later, so
// they are assumed to be cold.
size_t WorkerSet::readmit(const std::string& zone) {
  if (evacuated_zones_.erase(zone) == 0) {
    return 0;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  size_t workers = 0;
  for (const auto& [incarnation, worker] : workers_) {
    if (worker->record.zone != zone) {
      continue;
    }
    worker->evacuated = false;
    const cold_start& cold = service_of(worker->record.service).cold;
    cold_limit_.note_cold(worker->cold, incarnation, cold, cold.lasts, now);
    workers += worker->listed ? 1 : 0;
  }
  if (workers > 0 && on_slot_freed_) {
    on_slot_freed_();
  }
  return workers;
}

bool WorkerSet::all_evacuated(std::string_view name) const {
  const Service* service = evacuated_zones_.empty() ? nullptr : find_service(name);
  if (service == nullptr) {
    return false;
  }
  const auto listed = [](const WorkerPtr& worker) { return worker->listed; };
  const auto open = [&](const WorkerPtr& worker) { return listed(worker) && !worker->evacuated; };
  return std::any_of(service->workers.begin(), service->workers.end(), listed) &&
         std::none_of(service->workers.begin(), service->workers.end(), open);
}

void WorkerSet::set_cold_starts(const std::map<std::string, cold_start>& services) {
  for (auto& [name, service] : services_) {
    service.cold = {};
  }
  for (const auto& [name, cold] : services) {
    service_of(name).cold = cold;
  }
  nodes_changed();  // the number of sending nodes depends on the rate
}

void WorkerSet::set_batch_sharers(size_t sharers, Duration view_lag) {
  if (time_source_.monotonic_now() - started_ >= batch_ramp_knobs{}.lasts) {
    return;
  }
  for (auto& [name, service] : services_) {
    service.ramp.set_sharers(sharers, view_lag, sharers > 1 ? random_.unit() : 0.0);
  }
}

MonotonicTime WorkerSet::note_nodes_listed() {
  cold_limit_.note_nodes_listed(time_source_.monotonic_now());
  return *cold_limit_.settled();
}

void WorkerSet::nodes_changed() {
  const MonotonicTime now = time_source_.monotonic_now();
  for (auto& [name, service] : services_) {
    if (service.cold.requests_per_second <= 0) {
      continue;
    }
    for (const WorkerPtr& worker : service.workers) {
      if (worker->cold.until > now) {
        cold_limit_.draw_sender(worker->cold, worker->record.incarnation, service.cold, now);
      }
    }
  }
}

void WorkerSet::drop(const WorkerPtr& worker) {
  by_hash_.erase(worker->hash);
  std::erase(service_of(worker->record.service).workers, worker);
  worker->counts->online -= worker->online_of_others();
  worker->others_online = 0;
}

WorkerPtr WorkerSet::add_peer_outcomes(uint64_t worker, const outcome_times& told) {
  const auto found = by_hash_.find(worker);
  if (found == by_hash_.end()) {
    return nullptr;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  worker_outcomes& outcomes = found->second->outcomes;
  const bool was_suspect = outcomes.suspect(now);
  outcomes.merge(told);
  if (outcomes.worth_telling(now)) {
    active_[worker] = found->second;  // a success at this node is newer than the failure
  }
  return !was_suspect && outcomes.suspect(now) ? found->second : nullptr;
}

void WorkerSet::add_prefill(ServingWorker& worker, double tokens) {
  const auto time = std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(
      tokens / prompt_rate_.tokens_per_millisecond() / worker.speed.speed()));
  worker.prefill_until = std::max(worker.prefill_until, time_source_.monotonic_now()) + time;
}

void WorkerSet::add_prompt_tokens(uint64_t worker, uint32_t tokens) {
  const auto found = by_hash_.find(worker);
  if (found != by_hash_.end() && tokens > 0) {
    add_prefill(*found->second, tokens);
  }
}

WorkerPtr WorkerSet::find(const std::string& incarnation) const {
  const auto found = workers_.find(incarnation);
  return found == workers_.end() ? nullptr : found->second;
}

WorkerPtr WorkerSet::find_hash(uint64_t hash) const {
  const auto found = by_hash_.find(hash);
  return found == by_hash_.end() ? nullptr : found->second;
}

void WorkerSet::note_active(const ServingWorker& worker) {
  if (const WorkerPtr known = find_hash(worker.hash)) {
    active_[worker.hash] = known;
  }
}

const std::map<uint64_t, WorkerPtr>& WorkerSet::active_workers() {
  const MonotonicTime now = time_source_.monotonic_now();
  std::erase_if(active_, [now](const auto& entry) {
    return entry.second->in_flight() == 0 && !entry.second->outcomes.worth_telling(now);
  });
  return active_;
}

bool WorkerSet::knows(std::string_view service) const {
  const Service* found = find_service(service);
  return found != nullptr && !found->workers.empty();
}

bool WorkerSet::may_get_slot(std::string_view name, const std::set<std::string>& tried,
                             software_id software) const {
  const Service* service = find_service(name);
  const MonotonicTime now = time_source_.monotonic_now();
  SlotRequest request;
  request.tried = &tried;
  request.software = software;
  return service != nullptr && std::any_of(service->workers.begin(), service->workers.end(),
                                           [&](const WorkerPtr& worker) {
                                             return worker->in_service() &&
                                                    !WorkerSelection::excluded(*worker, request) &&
                                                    !worker->outcomes.suspect(now);
                                           });
}

version_span WorkerSet::versions(std::string_view name, Duration longest) const {
  const Service* service = find_service(name);
  return service == nullptr ? version_span{}
                            : service->versions.span(longest, time_source_.monotonic_now());
}

std::map<std::string, uint32_t> WorkerSet::workers_by_version(std::string_view name) const {
  std::map<std::string, uint32_t> workers;
  if (const Service* service = find_service(name)) {
    for (const WorkerPtr& worker : service->workers) {
      workers[worker->record.version] += worker->listed ? 1 : 0;
    }
  }
  return workers;
}

bool WorkerSet::serves(std::string_view name, software_id software) const {
  const Service* service = find_service(name);
  return service != nullptr && std::any_of(service->workers.begin(), service->workers.end(),
                                           [&](const WorkerPtr& worker) {
                                             return worker->software == software &&
                                                    worker->in_service();
                                           });
}

Duration WorkerSet::prefill_backlog(const ServingWorker& worker) const {
  return std::max(worker.prefill_until - time_source_.monotonic_now(), Duration(0));
}

WorkerSlotPtr WorkerSet::acquire_slot(const SlotRequest& request) {
  Service& service = service_of(request.service);
  const MonotonicTime now = time_source_.monotonic_now();
  const bool online = request.work == WorkClass::kOnline;
  if (!online) {
    const double room = service.room.room(load_of_service(service), request.urgency, now);
    if (room < 1 || !service.ramp.may_start(room, now)) {
      return nullptr;
    }
  }
  const SelectableService selectable{service.workers, service.cold, service.versions.listed() > 1};
  SelectedWorker selected = selection_.select(request, selectable, now);
  if (selected.worker && !online) {
    service.ramp.note_started();
  }
  return selected.worker ? make_slot(std::move(selected), request, service) : nullptr;
}

WorkerSlotPtr WorkerSet::make_slot(SelectedWorker selected, const SlotRequest& request,
                                   const Service& service) {
  const MonotonicTime now = time_source_.monotonic_now();
  const WorkerPtr worker = std::move(selected.worker);
  const double tokens =
      request.request == nullptr
          ? 0.0
          : std::max(request.request->prompt_tokens - selected.cached_tokens, 0.0);
  const bool was_idle = prefill_backlog(*worker) == Duration(0);
  worker->prompt_tokens_sent += static_cast<uint32_t>(tokens);
  const bool many = ++slots_acquired_ % knobs_.notable_slots == 0;
  notable_changes_ += many || tokens >= knobs_.long_prompt_tokens ? 1 : 0;
  add_prefill(*worker, tokens);
  active_[worker->hash] = worker;
  if (selection_.ejected(*worker, now)) {
    failures_->note_probe(static_cast<uint32_t>(worker->hash), now);
  }
  if (cold_start_limit::limited(worker->cold, service.cold, now)) {
    cold_limit_.note_sent(worker->cold, service.cold, now);
  }
  // A slot may outlive this object: its request is destroyed in a later iteration of the event
  // loop.
  auto slot = std::make_unique<WorkerSlot>(
      worker, request.work, lifetime_.guard([this, acquired = now](const WorkerSlot& freed) {
        note_slot_freed(freed, acquired);
      }));
  slot->worker_was_idle = was_idle;
  if (request.work == WorkClass::kOnline) {
    observe_online(service_of(request.service));
  }
  if (on_load_changed_) {
    on_load_changed_();
  }
  return slot;
}

void WorkerSet::note_slot_freed(const WorkerSlot& slot, MonotonicTime acquired) {
  if (on_online_ended_ && slot.work() == WorkClass::kOnline && !slot.refused) {
    on_online_ended_(slot.worker().record.service, time_source_.monotonic_now() - acquired);
  }
  if (on_slot_freed_) {
    on_slot_freed_();
  }
  if (on_load_changed_) {
    on_load_changed_();
  }
}

void WorkerSet::note_report(ServingWorker& worker, const WorkerLoadReport& report) {
  worker.report = report;
  worker.reported = time_source_.monotonic_now();
  worker.in_flight_when_reported = worker.in_flight();
  if (report.slowdown) {
    worker.speed.note_slowdown(*report.slowdown, worker.reported);
    constexpr double kNotableSlowdown = 1.2;
    if (*report.slowdown >= kNotableSlowdown) {
      note_speed_update(find_hash(worker.hash));
    }
  }
}

void WorkerSet::note_success(ServingWorker& worker) {
  const MonotonicTime now = time_source_.monotonic_now();
  if (worker.outcomes.suspect(now)) {
    ++notable_changes_;
    ++outcome_changes_;
  }
  worker.outcomes.note_success(now);
  note_active(worker);
  worker.avoided_until = {};
}

void WorkerSet::note_refusal(ServingWorker& worker) {
  worker.avoided_until = time_source_.monotonic_now() + knobs_.refusal_pause;
}

void WorkerSet::note_failure(ServingWorker& worker, MonotonicTime sent) {
  worker.outcomes.note_failure(sent, time_source_.monotonic_now());
  note_active(worker);
  ++notable_changes_;
  ++outcome_changes_;
  if (on_load_changed_) {
    on_load_changed_();
  }
}

void WorkerSet::note_answer(const ServingWorker& worker, uint64_t content, answer_fault fault,
                            MonotonicTime sent) {
  if (failures_ == nullptr) {
    return;
  }
  if (fault != answer_fault::kNone && on_failed_answer_) {
    on_failed_answer_(worker.record.service, fault);
  }
  failures_->note({static_cast<uint32_t>(worker.hash), content_hash(worker.record.service), content,
                   fault, sent},
                  time_source_.monotonic_now());
}

void WorkerSet::note_answer_begun(const ServingWorker& worker, uint64_t content,
                                  MonotonicTime sent) {
  if (failures_ != nullptr && failures_->any()) {
    failures_->note_begun({static_cast<uint32_t>(worker.hash), content_hash(worker.record.service),
                           content, answer_fault::kNone, sent},
                          time_source_.monotonic_now());
  }
}

std::optional<worker_place> WorkerSet::place_of(uint64_t hash) const {
  const auto found = by_hash_.find(hash);
  if (found == by_hash_.end()) {
    return std::nullopt;
  }
  const std::string& name = found->second->record.service;
  const Service* service = find_service(name);
  return worker_place{content_hash(name), service == nullptr ? 0 : service->workers.size()};
}

void WorkerSet::note_readmitted(uint64_t hash) {
  if (const WorkerPtr worker = find_hash(hash)) {
    outcome_times cleared;
    cleared.succeeded = time_source_.monotonic_now();
    worker->outcomes.merge(cleared);
    if (on_slot_freed_) {
      on_slot_freed_();
    }
  }
}

void WorkerSet::note_replaced(ServingWorker& worker) {
  worker.replaced = true;
  worker.avoided_until = time_source_.monotonic_now() + knobs_.outcomes.max_backoff;
}

}  // namespace chalkshed
