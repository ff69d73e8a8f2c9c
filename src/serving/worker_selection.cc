#include "src/serving/worker_selection.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

// Tokens of the shared segments, which are all but the last.
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

WorkerSelection::WorkerSelection(RandomGenerator& random, std::string own_zone,
                                 const WorkerKnobs& knobs, const PromptRate& prompt_rate)
    : random_(random), own_zone_(std::move(own_zone)), knobs_(knobs), prompt_rate_(prompt_rate) {
  for (size_t free = 0; free < crowding_.size(); ++free) {
    const double missing = knobs.speed_choice.wanted_free_slots - static_cast<double>(free);
    // Smooth, so that a request more or less never decides for all nodes alike.
    crowding_[free] = knobs.speed_choice.crowding_milliseconds * std::log1p(std::exp(missing));
  }
}

bool WorkerSelection::usable(const ServingWorker& worker, const Choice& choice) const {
  const bool limited = cold_start_limit::limited(worker.cold, choice.service.cold, choice.now);
  if (worker.withdrawn() || (limited && !cold_start_limit::may_send(worker.cold, choice.now))) {
    return false;
  }
  const SlotRequest& request = choice.request;
  const bool may_fill = request.even_if_full && !request.only_if_next;
  const uint32_t queued = request.only_if_next || may_queue(worker, request) ? 1 : 0;
  return may_fill || load_of(worker, choice) < worker.record.slots + queued;
}

std::vector<WorkerSelection::ScarceVersion> WorkerSelection::scarce_versions(
    const SlotRequest& request, const SelectableService& service) const {
  // With more, none is worth keeping free; workers that name no version are one each.
  constexpr size_t kMaxVersions = 8;
  if (request.software != software_id::kUnknown || !service.several_versions) {
    return {};
  }
  std::vector<std::pair<software_id, double>> versions;
  double all = 0;
  for (const WorkerPtr& worker : service.workers) {
    if (!worker->in_service()) {
      continue;
    }
    const auto found = std::find_if(versions.begin(), versions.end(), [&](const auto& version) {
      return version.first == worker->software;
    });
    if (found == versions.end() && versions.size() == kMaxVersions) {
      return {};
    }
    auto& version = found == versions.end() ? versions.emplace_back(worker->software, 0) : *found;
    version.second += worker->record.slots;
    all += worker->record.slots;
  }
  const double enough = knobs_.scarce_version_share * all;
  std::vector<ScarceVersion> scarce;
  for (const auto& [software, slots] : versions) {
    if (slots < enough) {
      scarce.push_back({software, knobs_.scarce_version_milliseconds * (1.0 - slots / enough)});
    }
  }
  return scarce;
}

double WorkerSelection::version_cost(const ServingWorker& worker, const Choice& choice) const {
  for (const ScarceVersion& version : choice.scarce) {
    if (version.software == worker.software) {
      return version.milliseconds;
    }
  }
  return 0.0;
}

double WorkerSelection::slowness(const ServingWorker& worker, MonotonicTime now) const {
  if (!worker.speed.reports()) {
    return 1.0;
  }
  return knobs_.speed_choice.by_slowdown ? worker.speed.slowness(now, knobs_.speed)
                                         : 1.0 / worker.speed.speed();
}

// Workers that count no tokens refuse requests when they are full, and batch never queues.
bool WorkerSelection::may_queue(const ServingWorker& worker, const SlotRequest& request) const {
  return worker.speed.reports() && request.work == WorkClass::kOnline &&
         request.request != nullptr && request.request->prompt_tokens > 0 &&
         worker.speed.speed() >= knobs_.speed_choice.min_speed_to_queue;
}

double WorkerSelection::crowding(uint32_t load, uint32_t slots) const {
  if (load >= slots) {
    return crowding_[0] + knobs_.speed_choice.crowding_milliseconds * (load - slots);
  }
  return crowding_[std::min<size_t>(slots - load, crowding_.size() - 1)];
}

double WorkerSelection::cost_by_speed(const ServingWorker& worker, const Choice& choice,
                                      double prefill, uint32_t load) const {
  const speed_choice_knobs& knobs = knobs_.speed_choice;
  const double slow = slowness(worker, choice.now);
  double milliseconds = knobs.order_offset_milliseconds * worker.order_offset -
                        (knobs.order_offset_milliseconds - knobs_.order_offset_milliseconds) / 2 +
                        prefill * knobs.share_in_prefill * (slow - 1.0) +
                        crowding(load, worker.record.slots) * slow;
  const uint32_t queued = may_queue(worker, choice.request) ? 1 : 0;
  if (load >= worker.record.slots + queued) {
    // A fast worker frees its slots sooner.
    milliseconds += (knobs_.full_worker_milliseconds +
                     knobs_.waiting_milliseconds * (load - worker.record.slots)) *
                    slow;
  }
  return milliseconds;
}

double WorkerSelection::cost(const ServingWorker& worker, const Choice& choice,
                             double cached) const {
  const uint32_t load = load_of(worker, choice);
  const ServingRequest* request = choice.request.request;
  const double tokens = request == nullptr ? 0.0 : request->prompt_tokens;
  const Duration prefill = std::max(worker.prefill_until - choice.now, Duration(0));
  const double own_prefill = std::max(tokens - cached, 0.0) / prompt_rate_.tokens_per_millisecond();
  double milliseconds = std::chrono::duration<double, std::milli>(prefill).count() + own_prefill +
                        knobs_.milliseconds_per_request * load;
  if (worker.speed.reports()) {
    milliseconds += cost_by_speed(worker, choice, own_prefill, load);
  } else if (load >= worker.record.slots) {
    milliseconds += knobs_.full_worker_milliseconds +
                    knobs_.waiting_milliseconds * (load - worker.record.slots);
  }
  if (cold_start_limit::limited(worker.cold, choice.service.cold, choice.now)) {
    milliseconds += knobs_.cold_milliseconds;
  }
  if (choice.request.alone) {
    milliseconds += knobs_.milliseconds_per_request_at_risk * load;
  }
  if (worker.record.zone != own_zone_) {
    milliseconds += knobs_.other_zone_milliseconds;
  }
  if (failures_ != nullptr && failures_->any()) {
    milliseconds += failure_cost(worker, choice);
  }
  return milliseconds + version_cost(worker, choice);
}

WorkerSelection::PrefixOwners WorkerSelection::prefix_owners(
    const SlotRequest& request, const SelectableService& service) const {
  if (request.request == nullptr || shared_tokens(*request.request) < knobs_.min_shared_tokens) {
    return {};
  }
  struct Ranked {
    uint64_t rank = 0;
    const ServingWorker* worker = nullptr;
  };
  const uint64_t prefix = prefix_hash(*request.request);
  std::vector<Ranked> ranked;
  for (const WorkerPtr& worker : service.workers) {
    if (worker->in_service()) {
      ranked.push_back({content_hash(worker->record.incarnation, prefix), worker.get()});
    }
  }
  const size_t count = std::min(ranked.size(), knobs_.prefix_cached_probability.size());
  std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(),
                    [](const Ranked& a, const Ranked& b) { return a.rank > b.rank; });
  PrefixOwners owners;
  for (size_t index = 0; index < count; ++index) {
    owners.push_back(ranked[index].worker);
  }
  return owners;
}

double WorkerSelection::cached_tokens(const Choice& choice, const ServingWorker& worker) const {
  const auto owner = std::find(choice.owners.begin(), choice.owners.end(), &worker);
  if (owner == choice.owners.end()) {
    return 0.0;
  }
  const double share =
      knobs_.prefix_cached_probability[static_cast<size_t>(owner - choice.owners.begin())];
  return share * shared_tokens(*choice.request.request);
}

bool WorkerSelection::probes(const ServingWorker& worker, const Choice& choice) const {
  const bool batch = choice.request.work == WorkClass::kBatch;
  return choice.request.repeatable && !choice.request.alone &&
         failures_->may_probe(static_cast<uint32_t>(worker.hash), batch, choice.now);
}

double WorkerSelection::failure_cost(const ServingWorker& worker, const Choice& choice) const {
  if (ejected(worker, choice.now)) {
    return probes(worker, choice) ? -knobs_.probe_milliseconds : knobs_.probe_milliseconds;
  }
  const double cost = failures_->cost(static_cast<uint32_t>(worker.hash), choice.now);
  return choice.request.repeatable ? cost : knobs_.once_failure_factor * cost;
}

bool WorkerSelection::healthy(const ServingWorker& worker, const Choice& choice) const {
  if (worker.avoided_until > choice.now) {
    return false;
  }
  if (ejected(worker, choice.now)) {
    // Probes don't wait for the pause after failed connections, which can last longer than the
    // failure.
    return probes(worker, choice);
  }
  const bool batch = choice.request.work == WorkClass::kBatch;
  if (worker.outcomes.paused(choice.now) ||
      (batch && failures_ != nullptr &&
       failures_->pauses_batch(static_cast<uint32_t>(worker.hash), choice.now))) {
    return false;
  }
  return choice.request.repeatable || !worker.outcomes.suspect(choice.now);
}

bool WorkerSelection::excluded(const ServingWorker& worker, const SlotRequest& request) {
  const bool other_software =
      request.software != software_id::kUnknown && request.software != worker.software;
  const std::vector<software_id>* crashing = request.excluded_software;
  const bool may_crash = crashing != nullptr && std::find(crashing->begin(), crashing->end(),
                                                          worker.software) != crashing->end();
  return other_software || may_crash ||
         (request.tried != nullptr && request.tried->contains(worker.record.incarnation));
}

bool WorkerSelection::any_healthy(const Choice& choice) const {
  return std::any_of(choice.service.workers.begin(), choice.service.workers.end(),
                     [&](const WorkerPtr& worker) {
                       return worker->in_service() && !excluded(*worker, choice.request) &&
                              healthy(*worker, choice);
                     });
}

// The random part spreads the requests of this node over workers of equal cost; the order offset
// spreads those of different nodes.
double WorkerSelection::rank_of(const ServingWorker& worker, double cost) {
  if (worker.speed.reports()) {
    return cost + random_.unit();
  }
  return cost + knobs_.order_offset_milliseconds * worker.order_offset + random_.unit();
}

WorkerPtr WorkerSelection::choose(const Choice& choice, bool ignore_failures) {
  const std::vector<WorkerPtr>& workers = choice.service.workers;
  // When the records of a service all disappear together, the store may have a fault.
  const bool use_unlisted =
      ignore_failures && std::none_of(workers.begin(), workers.end(),
                                      [](const WorkerPtr& worker) { return worker->in_service(); });
  WorkerPtr best;
  double least_rank = 0;
  for (const WorkerPtr& worker : workers) {
    const bool known = worker->listed || (use_unlisted && worker->removal_doubtful);
    const bool good = ignore_failures || healthy(*worker, choice);
    if (!known || !good || excluded(*worker, choice.request) || !usable(*worker, choice)) {
      continue;
    }
    const double rank = rank_of(*worker, cost(*worker, choice, cached_tokens(choice, *worker)));
    if (!best || rank < least_rank) {
      best = worker;
      least_rank = rank;
    }
  }
  return best;
}

SelectedWorker WorkerSelection::select(const SlotRequest& request, const SelectableService& service,
                                       MonotonicTime now) {
  const Choice choice{request, service, now, prefix_owners(request, service),
                      scarce_versions(request, service)};
  WorkerPtr worker = choose(choice, false);
  // Prefer waiting for a healthy worker over sending to a failing one, which looks idle: in a burst
  // with 13 of 89 workers down, 177 requests were sent to four failing workers and refused.
  if (!worker && request.work == WorkClass::kOnline && !any_healthy(choice)) {
    worker = choose(choice, true);
  }
  const double cached = worker ? cached_tokens(choice, *worker) : 0.0;
  return {std::move(worker), cached};
}

}  // namespace chalkshed
