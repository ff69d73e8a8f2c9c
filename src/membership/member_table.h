// The members that a node knows and the rules for merging claims about them.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "src/core/time.h"
#include "src/membership/datagram.h"
#include "src/membership/membership_view.h"

namespace chalkshed {

struct MemberRecord {
  Member member;
  bool leaving = false;  // stays set while a leaving member is suspected
  // Set for suspects only.
  bool suspected_here = false;  // this node's own probe failed
  MonotonicTime suspicion_deadline;
  MonotonicTime next_challenge;  // when the suspect is next pinged with the claim
  // Set for dead members only.
  MonotonicTime dead_since;

  bool dead() const { return member.state == MemberState::kDead; }
  bool suspect() const { return member.state == MemberState::kSuspect; }
};

// Where a claim came from. Rumours are recent. A sync also carries old claims, which may have been
// refuted on the other side of a healed partition, so a claim against a live member is verified
// first.
enum class ClaimSource { kRumour, kSync };

enum class MergeOutcome {
  kIgnored,   // nothing new
  kAdded,     // a previously unknown member
  kChanged,   // the claim was applied to the record
  kDisputed,  // a sync claims that a member which this node considers live is suspect or dead
};

class MemberTable {
 public:
  explicit MemberTable(Member self);

  const Member& self() const { return self_; }
  // Changes this node's own state or incarnation.
  void update_self(uint64_t incarnation, MemberState state);

  // Merges a claim about another member. The caller has to set the deadline of a suspect.
  MergeOutcome merge(const Member& claim, ClaimSource source, MonotonicTime now);
  void suspect(MemberRecord& record);
  void declare_dead(MemberRecord& record, MonotonicTime now);
  // Removes members that have been dead for longer than `retention`.
  void forget_dead(MonotonicTime now, Duration retention);

  MemberRecord* find(const NodeId& id);
  const MemberRecord* find(const NodeId& id) const;
  // The other members, dead ones included, ordered by id.
  const std::map<NodeId, MemberRecord>& others() const { return others_; }
  std::map<NodeId, MemberRecord>& others() { return others_; }
  // Members that are not dead, self included, ordered by id. A leaving suspect is listed as
  // leaving.
  std::vector<Member> members() const;
  // The other members that are not dead, ordered by id. Valid until the next change.
  const std::vector<const MemberRecord*>& live_others() const;
  size_t live_count() const { return live_others().size() + 1; }  // self included

  // The next member in ring order that is neither suspect nor dead; null when there is none.
  const MemberRecord* ring_successor() const;

  // Digests of the members that are not dead. Suspicions are excluded because they are short-lived.
  const BucketDigests& buckets() const;
  // @return this node's members in the buckets that differ, dead ones included.
  std::vector<Member> differing(const BucketDigests& theirs) const;

 private:
  using RingPosition = std::pair<uint64_t, NodeId>;

  void set_state(MemberRecord& record, MemberState state);
  void changed() { buckets_.reset(); }

  Member self_;
  RingPosition self_position_;
  std::map<NodeId, MemberRecord> others_;
  std::map<RingPosition, MemberRecord*> ring_;
  // Caches; empty when invalidated.
  mutable std::optional<BucketDigests> buckets_;
  mutable std::optional<std::vector<const MemberRecord*>> live_others_;
};

}  // namespace chalkshed
