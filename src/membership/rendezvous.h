// Weighted rendezvous hashing, which assigns an owner to each key. All nodes with the same view
// compute the same owner, and when a member joins or leaves only its own keys move.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/membership/membership_view.h"

namespace chalkshed {

// Restricts the candidates; an empty field places no restriction.
struct RendezvousScope {
  std::string region;
  std::string zone;
};

struct RendezvousCandidate {
  NodeId id;
  double weight = 1.0;  // share of keys in proportion; at most 0 excludes the candidate
};

// Score of a candidate for a key; the candidate with the highest score owns the key. Never
// negative.
double rendezvous_score(std::string_view key, const RendezvousCandidate& candidate);

// @return the owner of `key`, or nothing if no candidate has a positive weight.
std::optional<NodeId> rendezvous_owner(std::string_view key,
                                       const std::vector<RendezvousCandidate>& candidates);

// @return at most `count` candidates: the owner, then its successors in order.
std::vector<NodeId> rendezvous_ranking(std::string_view key,
                                       const std::vector<RendezvousCandidate>& candidates,
                                       size_t count);

// Members that may own keys: alive or suspect, and inside the scope. A suspect keeps its keys until
// it is declared dead, so that a short stall moves no keys; a leaving member owns none.
std::vector<RendezvousCandidate> rendezvous_candidates(const std::vector<Member>& members,
                                                       const RendezvousScope& scope);

// Owner of `key` among the members in scope. If the scope contains no candidate, the whole region
// is used, then all members, so that a key has an owner as long as there is a candidate.
std::optional<NodeId> rendezvous_owner(std::string_view key, const std::vector<Member>& members,
                                       const RendezvousScope& scope = {});

// Computes the owners of many keys over one view. Returns the same owners as rendezvous_owner(),
// but visits only the members of the key's scope and hashes each member's id once.
class RendezvousIndex {
 public:
  explicit RendezvousIndex(const std::vector<Member>& members);

  // @return the owner, or null if there are no candidates at all. Valid as long as the index
  // exists.
  const NodeId* owner(std::string_view key, const RendezvousScope& scope = {}) const;

 private:
  struct Candidate {
    NodeId id;
    uint64_t seed = 0;
  };
  using Candidates = std::vector<Candidate>;

  const Candidates* candidates_of(const RendezvousScope& scope) const;

  Candidates all_;
  std::map<std::string, Candidates, std::less<>> by_region_;
  std::map<std::string, Candidates, std::less<>> by_zone_;
  std::map<std::pair<std::string, std::string>, Candidates> by_region_and_zone_;
};

}  // namespace chalkshed
