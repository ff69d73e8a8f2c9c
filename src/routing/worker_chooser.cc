#include "src/routing/worker_chooser.h"

#include <algorithm>

namespace chalkshed {
namespace {

bool is_excluded(const RouteRequest& request, const WorkerId& id) {
  const auto& excluded = request.excluded;
  return std::find(excluded.begin(), excluded.end(), id) != excluded.end();
}

}  // namespace

WorkerHandle WorkerChooser::choose(const std::vector<WorkerHandle>& workers,
                                   const RouteRequest& request, const ServiceProfile& profile,
                                   MonotonicTime now) {
  const std::vector<WorkerHandle> candidates = eligible(workers, request, now);
  if (candidates.empty()) {
    return nullptr;
  }
  switch (knobs_.choice.policy) {
    case ChoicePolicy::kRandom:
      return candidates[random_.below(candidates.size())];
    case ChoicePolicy::kRoundRobin:
      return candidates[round_robin_[request.service]++ % candidates.size()];
    case ChoicePolicy::kTwoChoices:
      return less_loaded_of_two(candidates);
    case ChoicePolicy::kLeastCost:
      break;
  }
  return least_cost(candidates, request, profile, now);
}

std::vector<WorkerHandle> WorkerChooser::eligible(const std::vector<WorkerHandle>& workers,
                                                  const RouteRequest& request, MonotonicTime now) {
  std::vector<WorkerHandle> healthy;
  std::vector<WorkerHandle> fallback;
  for (const WorkerHandle& worker : workers) {
    if (!worker->usable() || is_excluded(request, worker->id)) {
      continue;
    }
    fallback.push_back(worker);
    if (draws_traffic_share(*worker, now) && !worker->health.stalled(now, knobs_.health)) {
      healthy.push_back(worker);
    }
  }
  // If every worker is ejected, the cause is more likely the network than the workers.
  return healthy.empty() ? fallback : healthy;
}

bool WorkerChooser::draws_traffic_share(const Worker& worker, MonotonicTime now) {
  const double share = worker.health.traffic_share(now, knobs_.health);
  return share >= 1.0 || (share > 0.0 && random_.unit() < share);
}

WorkerHandle WorkerChooser::less_loaded_of_two(const std::vector<WorkerHandle>& candidates) {
  const WorkerHandle& first = candidates[random_.below(candidates.size())];
  const WorkerHandle& second = candidates[random_.below(candidates.size())];
  return second->load.own_online() < first->load.own_online() ? second : first;
}

std::vector<WorkerHandle> WorkerChooser::sample(const std::vector<WorkerHandle>& candidates) {
  std::vector<WorkerHandle> near;
  std::vector<WorkerHandle> elsewhere;
  for (const WorkerHandle& candidate : candidates) {
    (candidate->zone == locality_.zone ? near : elsewhere).push_back(candidate);
  }
  const auto shorten = [this](std::vector<WorkerHandle>& pool, size_t count) {
    const size_t sample_size = std::min(count, pool.size());
    for (size_t index = 0; index < sample_size; ++index) {
      std::swap(pool[index], pool[index + random_.below(pool.size() - index)]);
    }
    pool.resize(sample_size);
  };
  shorten(near, knobs_.choice.candidates);
  shorten(elsewhere, near.empty() ? knobs_.choice.candidates : knobs_.choice.candidates_elsewhere);
  near.insert(near.end(), elsewhere.begin(), elsewhere.end());
  return near;
}

WorkerHandle WorkerChooser::least_cost(const std::vector<WorkerHandle>& candidates,
                                       const RouteRequest& request, const ServiceProfile& profile,
                                       MonotonicTime now) {
  const PrefixDigests digests = PrefixAffinity::digests(request.prompt);
  const size_t shared = affinity_.shared_blocks(digests, now);
  std::vector<WorkerHandle> sampled = sample(candidates);
  if (shared > 0) {
    if (WorkerHandle preferred = preferred_for(digests[shared - 1], candidates, now)) {
      sampled.push_back(std::move(preferred));
    }
  }
  const double tokens_per_block = request.prompt.empty()
                                      ? 0.0
                                      : static_cast<double>(request.prompt_tokens) *
                                            PrefixAffinity::kBlockBytes / request.prompt.size();
  WorkerHandle best;
  Duration best_cost = Duration::max();
  for (const WorkerHandle& candidate : sampled) {
    const size_t blocks = affinity_.blocks_at(digests, candidate->id, now);
    const auto cached = static_cast<uint32_t>(tokens_per_block * static_cast<double>(blocks));
    const uint32_t prompt_tokens = request.prompt_tokens - std::min(request.prompt_tokens, cached);
    const Duration first_token = candidate->load.predicted_first_token(
        now, prompt_tokens, round_trip(*candidate), profile, knobs_.estimate);
    const Duration step = candidate->load.predicted_step(now, profile, knobs_.estimate);
    const Duration cost =
        first_token + std::chrono::duration_cast<Duration>(step * knobs_.choice.step_weight);
    if (cost < best_cost) {
      best = candidate;
      best_cost = cost;
    }
  }
  affinity_.remember(digests, best->id, now);
  return best;
}

WorkerHandle WorkerChooser::preferred_for(uint64_t prefix,
                                          const std::vector<WorkerHandle>& candidates,
                                          MonotonicTime now) const {
  double total = 0;
  for (const WorkerHandle& candidate : candidates) {
    total += candidate->load.online_sequences(now, knobs_.estimate);
  }
  const double mean = total / static_cast<double>(candidates.size());
  const double bound = knobs_.choice.affinity_load_bound * mean + 1.0;
  WorkerHandle preferred;
  uint64_t best_rank = 0;
  for (const WorkerHandle& candidate : candidates) {
    if (candidate->load.online_sequences(now, knobs_.estimate) > bound) {
      continue;
    }
    const uint64_t rank = PrefixAffinity::rank(prefix, candidate->id);
    if (preferred == nullptr || rank > best_rank) {
      preferred = candidate;
      best_rank = rank;
    }
  }
  return preferred;
}

Duration WorkerChooser::round_trip(const Worker& worker) const {
  if (worker.region != locality_.region) {
    return knobs_.choice.far_round_trip;
  }
  return worker.zone == locality_.zone ? knobs_.choice.zone_round_trip
                                       : knobs_.choice.region_round_trip;
}

}  // namespace chalkshed
