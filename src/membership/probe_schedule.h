// The order in which a node probes the others.
#pragma once

#include <vector>

#include "src/core/random.h"
#include "src/membership/member_table.h"

namespace chalkshed {

// Alternates between the next member in ring order, which bounds the time until each member is
// probed by some node, and a round over all members in a new random order each time, which detects
// failures that ring neighbours share.
class ProbeSchedule {
 public:
  explicit ProbeSchedule(RandomGenerator& random) : random_(random) {}

  // @return the member to probe now, or null when there is no other.
  const MemberRecord* next(const MemberTable& table);

  // @return at most `count` distinct live members, in random order, without `excluded`.
  std::vector<const MemberRecord*> sample(const MemberTable& table, size_t count,
                                          const NodeId& excluded);

 private:
  const MemberRecord* next_in_round(const MemberTable& table);

  RandomGenerator& random_;
  std::vector<NodeId> round_;  // remaining members, probed from the back
  bool ring_turn_ = true;
};

}  // namespace chalkshed
