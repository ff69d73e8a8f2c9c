#include "src/serving/worker_set.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

// Tokens of the parts that other requests share; the last part is the request's own.
uint32_t shared_tokens(const ServingRequest& request) {
  uint32_t tokens = 0;
  for (size_t index = 0; index + 1 < request.prompt.size(); ++index) {
    tokens += request.prompt[index].tokens;
  }
  return tokens;
}

uint64_t prefix_hash(const ServingRequest& request) {
  uint64_t hash = 0;
  for (size_t index = 0; index + 1 < request.prompt.size(); ++index) {
    hash = content_hash(request.prompt[index].id, hash + 1);
  }
  return hash;
}

// @return a number in [0, 1) that the hash stands for.
double unit_of(uint64_t hash) { return static_cast<double>(hash >> 11U) * 0x1.0p-53; }

}  // namespace

WorkerPlace::WorkerPlace(WorkerPtr worker, WorkClass work, std::function<void()> on_freed)
    : worker_(std::move(worker)), work_(work), on_freed_(std::move(on_freed)) {
  ++(work_ == WorkClass::kOnline ? worker_->online_in_flight : worker_->batch_in_flight);
}

WorkerPlace::~WorkerPlace() {
  --(work_ == WorkClass::kOnline ? worker_->online_in_flight : worker_->batch_in_flight);
  if (on_freed_) {
    on_freed_();
  }
}

WorkerSet::WorkerSet(TimeSource& time_source, RandomGenerator& random, std::string own_zone,
                     const WorkerKnobs& knobs)
    : time_source_(time_source),
      random_(random),
      own_zone_(std::move(own_zone)),
      knobs_(knobs),
      started_(time_source.monotonic_now()),
      own_order_(random.next()),
      prompt_rate_(knobs.prompt_tokens_per_millisecond) {}

void WorkerSet::update(const WorkerRecord& record) {
  WorkerPtr& worker = workers_[record.incarnation];
  const bool is_new = !worker;
  if (is_new) {
    worker = std::make_shared<ServingWorker>();
    worker->outcomes = worker_outcomes(knobs_.outcomes);
    // Two workers that share a hash, one pair in a thousand fleets of 3,000, share their load.
    worker->hash = content_hash(record.incarnation) & UINT32_MAX;
    by_hash_[worker->hash] = worker;
  }
  worker->record = record;
  worker->listed = true;
  forget_old();
  if (is_new && on_place_freed_) {
    on_place_freed_();
  }
}

void WorkerSet::remove(const std::string& incarnation) {
  const auto found = workers_.find(incarnation);
  if (found != workers_.end() && found->second->listed) {
    found->second->listed = false;
    found->second->unlisted_since = time_source_.monotonic_now();
  }
  forget_old();
}

void WorkerSet::forget_old() {
  const MonotonicTime now = time_source_.monotonic_now();
  std::erase_if(workers_, [&](const auto& entry) {
    const ServingWorker& worker = *entry.second;
    const bool old = !worker.listed && now - worker.unlisted_since > knobs_.unlisted_grace;
    if (old) {
      by_hash_.erase(worker.hash);
    }
    return old;
  });
}

bool WorkerSet::add_peer_load(uint64_t worker, int32_t online, int32_t batch) {
  const auto found = by_hash_.find(worker);
  if (found == by_hash_.end()) {
    return false;
  }
  found->second->others_online += online;
  found->second->others_batch += batch;
  if (online > 0) {
    observe_online(found->second->record.service);
  }
  if (online + batch < 0 && on_place_freed_) {
    on_place_freed_();
  }
  return true;
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
  return !was_suspect && outcomes.suspect(now) ? found->second : nullptr;
}

void WorkerSet::add_reading(ServingWorker& worker, double tokens) {
  const auto time = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(tokens / prompt_rate_.tokens_per_millisecond()));
  worker.reading_until = std::max(worker.reading_until, time_source_.monotonic_now()) + time;
}

void WorkerSet::add_prompt_tokens(uint64_t worker, uint32_t tokens) {
  const auto found = by_hash_.find(worker);
  if (found != by_hash_.end() && tokens > 0) {
    add_reading(*found->second, tokens);
  }
}

WorkerPtr WorkerSet::find(const std::string& incarnation) const {
  const auto found = workers_.find(incarnation);
  return found == workers_.end() ? nullptr : found->second;
}

bool WorkerSet::knows(std::string_view service) const {
  return std::any_of(workers_.begin(), workers_.end(),
                     [&](const auto& entry) { return entry.second->record.service == service; });
}

uint32_t WorkerSet::load_of(const ServingWorker& worker) const {
  // A worker that was listed after a peer told its load may show less than nothing.
  auto others = static_cast<uint32_t>(std::max(worker.others_online + worker.others_batch, 0));
  if (worker.report) {
    const Duration age = time_source_.monotonic_now() - worker.reported;
    if (age < knobs_.report_lifetime) {
      const uint32_t total = worker.report->running + worker.report->waiting;
      const uint32_t reported_others =
          total > worker.in_flight_when_reported ? total - worker.in_flight_when_reported : 0;
      const double weight = 1.0 - std::chrono::duration<double>(age).count() /
                                      std::chrono::duration<double>(knobs_.report_lifetime).count();
      others = std::max(others, static_cast<uint32_t>(std::lround(weight * reported_others)));
    }
  }
  return worker.in_flight() + others;
}

void WorkerSet::observe_online(const std::string& service) {
  uint32_t online = 0;
  for (const auto& [incarnation, worker] : workers_) {
    if (worker->record.service == service) {
      online +=
          worker->online_in_flight + static_cast<uint32_t>(std::max(worker->others_online, 0));
    }
  }
  room_of(service).observe_online(online, time_source_.monotonic_now());
}

batch_room& WorkerSet::room_of(const std::string& service) {
  return batch_rooms_.try_emplace(service, started_, knobs_.batch_room).first->second;
}

service_load WorkerSet::load_of_service(const std::string& service) const {
  service_load sum;
  for (const auto& [incarnation, worker] : workers_) {
    const bool counts = worker->listed && !worker->record.leaving;
    if (!counts || worker->record.service != service) {
      continue;
    }
    const uint32_t load = load_of(*worker);
    sum.places += worker->record.slots;
    sum.free += worker->record.slots - std::min(load, worker->record.slots);
    sum.batch += worker->batch_in_flight + static_cast<uint32_t>(std::max(worker->others_batch, 0));
    sum.own_batch += worker->batch_in_flight;
  }
  return sum;
}

double WorkerSet::batch_runs_to_stop(const std::string& service) {
  return room_of(service).runs_to_stop(load_of_service(service), time_source_.monotonic_now());
}

bool WorkerSet::has_room(const ServingWorker& worker) const {
  return load_of(worker) < worker.record.slots;
}

uint32_t WorkerSet::free_places(std::string_view service) const {
  uint32_t places = 0;
  for (const auto& [incarnation, worker] : workers_) {
    if (worker->record.service == service && worker->listed && !worker->record.leaving) {
      const uint32_t load = load_of(*worker);
      places += load < worker->record.slots ? worker->record.slots - load : 0;
    }
  }
  return places;
}

bool WorkerSet::usable(const ServingWorker& worker, const PlaceRequest& request) const {
  return worker.record.service == request.service && !worker.record.leaving &&
         (request.even_if_full || has_room(worker));
}

Duration WorkerSet::reading_time(const ServingWorker& worker) const {
  return std::max(worker.reading_until - time_source_.monotonic_now(), Duration(0));
}

double WorkerSet::cost(const ServingWorker& worker, const PlaceRequest& request,
                       double kept) const {
  const uint32_t load = load_of(worker);
  const double tokens = request.request == nullptr ? 0.0 : request.request->prompt_tokens;
  double milliseconds = std::chrono::duration<double, std::milli>(reading_time(worker)).count() +
                        std::max(tokens - kept, 0.0) / prompt_rate_.tokens_per_millisecond() +
                        knobs_.milliseconds_per_request * load;
  if (load >= worker.record.slots) {
    milliseconds +=
        knobs_.full_milliseconds + knobs_.waiting_milliseconds * (load - worker.record.slots);
  }
  if (worker.record.zone != own_zone_) {
    milliseconds += knobs_.other_zone_milliseconds;
  }
  return milliseconds;
}

bool WorkerSet::any_listed(std::string_view service) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const ServingWorker& worker = *entry.second;
    return worker.record.service == service && worker.listed && !worker.record.leaving;
  });
}

WorkerSet::PrefixOwners WorkerSet::prefix_owners(const PlaceRequest& request) const {
  if (request.request == nullptr || shared_tokens(*request.request) < knobs_.least_shared_tokens) {
    return {};
  }
  struct Ranked {
    uint64_t rank = 0;
    const ServingWorker* worker = nullptr;
  };
  const uint64_t prefix = prefix_hash(*request.request);
  std::vector<Ranked> ranked;
  for (const auto& [incarnation, worker] : workers_) {
    const bool stays = worker->listed && !worker->record.leaving;
    if (worker->record.service == request.service && stays) {
      ranked.push_back({content_hash(incarnation, prefix), worker.get()});
    }
  }
  const size_t count = std::min(ranked.size(), knobs_.prefix_kept.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(),
                    [](const Ranked& a, const Ranked& b) { return a.rank > b.rank; });
  PrefixOwners owners;
  for (size_t index = 0; index < count; ++index) {
    owners.push_back(ranked[index].worker);
  }
  return owners;
}

double WorkerSet::kept_tokens(const PlaceRequest& request, const PrefixOwners& owners,
                              const ServingWorker& worker) const {
  const auto owner = std::find(owners.begin(), owners.end(), &worker);
  if (owner == owners.end()) {
    return 0.0;
  }
  const double share = knobs_.prefix_kept[static_cast<size_t>(owner - owners.begin())];
  return share * shared_tokens(*request.request);
}

bool WorkerSet::sound(const ServingWorker& worker, const PlaceRequest& request) const {
  const MonotonicTime now = time_source_.monotonic_now();
  if (worker.avoided_until > now || worker.outcomes.paused(now)) {
    return false;
  }
  return request.repeatable || !worker.outcomes.suspect(now);
}

bool WorkerSet::any_sound(const PlaceRequest& request) const {
  return std::any_of(workers_.begin(), workers_.end(), [&](const auto& entry) {
    const ServingWorker& worker = *entry.second;
    const bool tried = request.tried != nullptr && request.tried->contains(entry.first);
    return worker.record.service == request.service && worker.listed && !worker.record.leaving &&
           !tried && sound(worker, request);
  });
}

// The random part spreads requests of this node over equal workers, the order those of many nodes.
double WorkerSet::rank_of(const ServingWorker& worker, double cost) {
  const double place = unit_of(content_hash(worker.record.incarnation, own_order_));
  return cost + knobs_.own_order_milliseconds * place + random_.unit();
}

WorkerPtr WorkerSet::choose(const PlaceRequest& request, bool ignore_failures) {
  const PrefixOwners owners = prefix_owners(request);
  // All records of a service vanish together only while the store is in trouble.
  const bool use_unlisted = ignore_failures && !any_listed(request.service);
  WorkerPtr best;
  double least_rank = 0;
  for (const auto& [incarnation, worker] : workers_) {
    const bool known = worker->listed || use_unlisted;
    const bool good = ignore_failures || sound(*worker, request);
    const bool tried = request.tried != nullptr && request.tried->contains(incarnation);
    if (!known || !good || tried || !usable(*worker, request)) {
      continue;
    }
    const double rank =
        rank_of(*worker, cost(*worker, request, kept_tokens(request, owners, *worker)));
    if (!best || rank < least_rank) {
      best = worker;
      least_rank = rank;
    }
  }
  return best;
}

WorkerPlacePtr WorkerSet::take_place(const PlaceRequest& request) {
  if (request.work == WorkClass::kBatch &&
      !room_of(request.service)
           .may_start(load_of_service(request.service), request.urgency,
                      time_source_.monotonic_now())) {
    return nullptr;
  }
  WorkerPtr worker = choose(request, false);
  // What runs once rather waits for a sound worker than goes to one that may lose it.
  const bool may_risk = request.repeatable || !any_sound(request);
  if (!worker && request.work == WorkClass::kOnline && may_risk) {
    worker = choose(request, true);
  }
  if (!worker) {
    return nullptr;
  }
  const double kept = kept_tokens(request, prefix_owners(request), *worker);
  const double tokens =
      request.request == nullptr ? 0.0 : std::max(request.request->prompt_tokens - kept, 0.0);
  const bool was_idle = reading_time(*worker) == Duration(0);
  worker->prompt_tokens_sent += static_cast<uint32_t>(tokens);
  const bool many = ++places_taken_ % knobs_.notable_places == 0;
  notable_changes_ += many || tokens >= knobs_.long_prompt_tokens ? 1 : 0;
  add_reading(*worker, tokens);
  // A place may outlive this node's parts: its request is destroyed in a later turn of the loop.
  auto place = std::make_unique<WorkerPlace>(std::move(worker), request.work,
                                             lifetime_.guard([this] { note_place_freed(); }));
  place->worker_was_idle = was_idle;
  if (request.work == WorkClass::kOnline) {
    observe_online(request.service);
  }
  if (on_load_changed_) {
    on_load_changed_();
  }
  return place;
}

void WorkerSet::note_place_freed() {
  if (on_place_freed_) {
    on_place_freed_();
  }
  if (on_load_changed_) {
    on_load_changed_();
  }
}

void WorkerSet::note_report(ServingWorker& worker, const WorkerLoadReport& report) {
  worker.report = report;
  worker.reported = time_source_.monotonic_now();
  worker.in_flight_when_reported = worker.in_flight();
}

void WorkerSet::note_success(ServingWorker& worker) {
  const MonotonicTime now = time_source_.monotonic_now();
  if (worker.outcomes.suspect(now)) {
    ++notable_changes_;
    ++outcome_changes_;
  }
  worker.outcomes.note_success(now);
  worker.avoided_until = {};
}

void WorkerSet::note_refusal(ServingWorker& worker) {
  worker.avoided_until = time_source_.monotonic_now() + knobs_.refusal_pause;
}

void WorkerSet::note_failure(ServingWorker& worker, MonotonicTime sent) {
  worker.outcomes.note_failure(sent, time_source_.monotonic_now());
  ++notable_changes_;
  ++outcome_changes_;
  if (on_load_changed_) {
    on_load_changed_();
  }
}

void WorkerSet::note_replaced(ServingWorker& worker) {
  worker.record.leaving = true;
  worker.avoided_until = time_source_.monotonic_now() + knobs_.outcomes.longest_pause;
}

}  // namespace chalkshed
