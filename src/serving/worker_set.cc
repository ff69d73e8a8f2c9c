#include "src/serving/worker_set.h"

#include <algorithm>

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
    : time_source_(time_source), random_(random), own_zone_(std::move(own_zone)), knobs_(knobs) {}

void WorkerSet::update(const WorkerRecord& record) {
  WorkerPtr& worker = workers_[record.incarnation];
  const bool is_new = !worker;
  if (is_new) {
    worker = std::make_shared<ServingWorker>();
    worker->hash = content_hash(record.incarnation);
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

void WorkerSet::add_peer_load(uint64_t worker, int32_t online, int32_t batch) {
  const auto found = by_hash_.find(worker);
  if (found == by_hash_.end()) {
    return;
  }
  found->second->others_online += online;
  found->second->others_batch += batch;
  if (online + batch < 0 && on_place_freed_) {
    on_place_freed_();
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
      others = std::max(others, static_cast<uint32_t>(weight * reported_others + 0.5));
    }
  }
  return worker.in_flight() + others;
}

bool WorkerSet::has_room(const ServingWorker& worker, WorkClass work) const {
  const uint32_t load = load_of(worker);
  if (work == WorkClass::kOnline) {
    return load < worker.record.slots;
  }
  return load < static_cast<uint32_t>(knobs_.batch_share * worker.record.slots);
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
         (request.even_if_full || has_room(worker, request.work));
}

// Milliseconds that a request waits for its first token at the worker, roughly.
double WorkerSet::cost(const ServingWorker& worker) const {
  const uint32_t load = load_of(worker);
  double milliseconds = knobs_.milliseconds_per_request * load;
  if (load >= worker.record.slots) {
    // Has to wait for others to end.
    milliseconds += 100.0 + 50.0 * (load - worker.record.slots);
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

WorkerPtr WorkerSet::choose(const PlaceRequest& request, bool ignore_failures) const {
  const MonotonicTime now = time_source_.monotonic_now();
  const uint32_t shared = request.request == nullptr ? 0 : shared_tokens(*request.request);
  const bool by_prefix = shared >= knobs_.least_shared_tokens;
  const uint64_t prefix = by_prefix ? prefix_hash(*request.request) : 0;
  struct Candidate {
    WorkerPtr worker;
    double cost = 0;
    uint64_t rank = 0;
  };
  std::vector<Candidate> candidates;
  std::vector<uint64_t> ranks;  // of all workers of the service, full ones too
  // All records of a service vanish together only while the store is in trouble.
  const bool use_unlisted = ignore_failures && !any_listed(request.service);
  for (const auto& [incarnation, worker] : workers_) {
    const bool known = worker->listed || use_unlisted;
    const bool sound = worker->avoided_until <= now || ignore_failures;
    if (worker->record.service != request.service || !known || !sound) {
      continue;
    }
    const uint64_t rank = by_prefix ? content_hash(incarnation, prefix) : 0;
    ranks.push_back(rank);
    if (!usable(*worker, request) ||
        (request.tried != nullptr && request.tried->contains(incarnation))) {
      continue;
    }
    // A random part spreads equal workers.
    candidates.push_back({worker, cost(*worker) + random_.unit(), rank});
  }
  if (by_prefix && !ranks.empty()) {
    const size_t copies = std::min<size_t>(knobs_.prefix_copies, ranks.size());
    std::nth_element(ranks.begin(), ranks.begin() + static_cast<ptrdiff_t>(copies) - 1, ranks.end(),
                     std::greater<>());
    const uint64_t least_rank = ranks[copies - 1];
    for (Candidate& candidate : candidates) {
      if (candidate.rank < least_rank) {
        candidate.cost += shared / knobs_.prompt_tokens_per_millisecond;
      }
    }
  }
  const auto best =
      std::min_element(candidates.begin(), candidates.end(),
                       [](const Candidate& a, const Candidate& b) { return a.cost < b.cost; });
  return best == candidates.end() ? nullptr : best->worker;
}

WorkerPlacePtr WorkerSet::take_place(const PlaceRequest& request) {
  WorkerPtr worker = choose(request, false);
  if (!worker && request.work == WorkClass::kOnline) {
    worker = choose(request, true);
  }
  if (!worker) {
    return nullptr;
  }
  auto place = std::make_unique<WorkerPlace>(std::move(worker), request.work, [this] {
    if (on_place_freed_) {
      on_place_freed_();
    }
    if (on_load_changed_) {
      on_load_changed_();
    }
  });
  if (on_load_changed_) {
    on_load_changed_();
  }
  return place;
}

void WorkerSet::note_report(ServingWorker& worker, const WorkerLoadReport& report) {
  worker.report = report;
  worker.reported = time_source_.monotonic_now();
  worker.in_flight_when_reported = worker.in_flight();
}

void WorkerSet::note_success(ServingWorker& worker) {
  worker.failures_in_a_row = 0;
  worker.avoided_until = {};
}

void WorkerSet::note_refusal(ServingWorker& worker) {
  worker.avoided_until = time_source_.monotonic_now() + knobs_.refusal_pause;
}

void WorkerSet::note_failure(ServingWorker& worker) {
  constexpr uint32_t kMostDoublings = 4;
  const uint32_t doublings = std::min(worker.failures_in_a_row++, kMostDoublings);
  const Duration pause =
      std::min(knobs_.failure_pause * (1U << doublings), knobs_.longest_failure_pause);
  worker.avoided_until = time_source_.monotonic_now() + pause;
}

void WorkerSet::note_replaced(ServingWorker& worker) {
  worker.record.leaving = true;
  worker.avoided_until = time_source_.monotonic_now() + knobs_.longest_failure_pause;
}

}  // namespace chalkshed
