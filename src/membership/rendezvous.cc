#include "src/membership/rendezvous.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

// A double represents integers of up to 53 bits exactly.
constexpr unsigned kUnusedHashBits = 11;

struct ScoredCandidate {
  double score = 0;
  const RendezvousCandidate* candidate = nullptr;
};

// Ties are broken by id so that all nodes agree.
bool ranks_before(const ScoredCandidate& left, const ScoredCandidate& right) {
  if (left.score != right.score) {
    return left.score > right.score;
  }
  return left.candidate->id < right.candidate->id;
}

std::vector<ScoredCandidate> score_all(std::string_view key,
                                       const std::vector<RendezvousCandidate>& candidates) {
  std::vector<ScoredCandidate> scored;
  scored.reserve(candidates.size());
  for (const RendezvousCandidate& candidate : candidates) {
    if (candidate.weight > 0) {
      scored.push_back({rendezvous_score(key, candidate), &candidate});
    }
  }
  return scored;
}

bool may_own(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kSuspect;
}

bool in_scope(const Member& member, const RendezvousScope& scope) {
  const bool region_fits = scope.region.empty() || member.region == scope.region;
  const bool zone_fits = scope.zone.empty() || member.zone == scope.zone;
  return region_fits && zone_fits;
}

}  // namespace

double rendezvous_score(std::string_view key, const RendezvousCandidate& candidate) {
  if (candidate.weight <= 0) {
    return 0;
  }
  const uint64_t hash = content_hash(key, content_hash(candidate.id));
  // A uniform number in (0, 1); half a step is added so that it is never 0.
  const double uniform = (static_cast<double>(hash >> kUnusedHashBits) + 0.5) * 0x1.0p-53;
  return candidate.weight / -std::log(uniform);
}

std::optional<NodeId> rendezvous_owner(std::string_view key,
                                       const std::vector<RendezvousCandidate>& candidates) {
  const std::vector<ScoredCandidate> scored = score_all(key, candidates);
  if (scored.empty()) {
    return std::nullopt;
  }
  return std::min_element(scored.begin(), scored.end(), ranks_before)->candidate->id;
}

std::vector<NodeId> rendezvous_ranking(std::string_view key,
                                       const std::vector<RendezvousCandidate>& candidates,
                                       size_t count) {
  std::vector<ScoredCandidate> scored = score_all(key, candidates);
  count = std::min(count, scored.size());
  const auto middle = scored.begin() + static_cast<std::ptrdiff_t>(count);
  std::partial_sort(scored.begin(), middle, scored.end(), ranks_before);
  std::vector<NodeId> ranking;
  ranking.reserve(count);
  for (size_t index = 0; index < count; ++index) {
    ranking.push_back(scored[index].candidate->id);
  }
  return ranking;
}

std::vector<RendezvousCandidate> rendezvous_candidates(const std::vector<Member>& members,
                                                       const RendezvousScope& scope) {
  std::vector<RendezvousCandidate> candidates;
  for (const Member& member : members) {
    if (may_own(member) && in_scope(member, scope)) {
      candidates.push_back({member.id, 1.0});
    }
  }
  return candidates;
}

std::optional<NodeId> rendezvous_owner(std::string_view key, const std::vector<Member>& members,
                                       const RendezvousScope& scope) {
  const RendezvousScope widening[] = {scope, {scope.region, ""}, {}};
  for (const RendezvousScope& attempt : widening) {
    const std::vector<RendezvousCandidate> candidates = rendezvous_candidates(members, attempt);
    if (!candidates.empty()) {
      return rendezvous_owner(key, candidates);
    }
  }
  return std::nullopt;
}

RendezvousIndex::RendezvousIndex(const std::vector<Member>& members) {
  for (const Member& member : members) {
    if (!may_own(member)) {
      continue;
    }
    const Candidate candidate{member.id, content_hash(member.id)};
    all_.push_back(candidate);
    by_region_[member.region].push_back(candidate);
    by_zone_[member.zone].push_back(candidate);
    by_region_and_zone_[{member.region, member.zone}].push_back(candidate);
  }
}

const NodeId* RendezvousIndex::owner(std::string_view key, const RendezvousScope& scope) const {
  const Candidates* candidates = candidates_of(scope);
  const Candidate* best = nullptr;
  uint64_t best_rank = 0;
  for (const Candidate& candidate : *candidates) {
    // With equal weights the score increases with these bits, so no logarithm is needed.
    const uint64_t rank = content_hash(key, candidate.seed) >> kUnusedHashBits;
    const bool tie_won = best != nullptr && rank == best_rank && candidate.id < best->id;
    if (best == nullptr || rank > best_rank || tie_won) {
      best = &candidate;
      best_rank = rank;
    }
  }
  return best == nullptr ? nullptr : &best->id;
}

const RendezvousIndex::Candidates* RendezvousIndex::candidates_of(
    const RendezvousScope& scope) const {
  if (!scope.zone.empty() && !scope.region.empty()) {
    const auto found = by_region_and_zone_.find({scope.region, scope.zone});
    if (found != by_region_and_zone_.end()) {
      return &found->second;
    }
  } else if (!scope.zone.empty()) {
    const auto found = by_zone_.find(scope.zone);
    if (found != by_zone_.end()) {
      return &found->second;
    }
  }
  if (!scope.region.empty()) {
    const auto found = by_region_.find(scope.region);
    if (found != by_region_.end()) {
      return &found->second;
    }
  }
  return &all_;
}

}  // namespace chalkshed
