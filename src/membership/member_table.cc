#include "src/membership/member_table.h"

#include "src/core/digest.h"

namespace chalkshed {
namespace {

size_t bucket_of(const NodeId& id) { return content_hash(id) % kDigestBuckets; }

uint32_t digest_of(const Member& member, bool leaving) {
  const uint64_t stamp = member.incarnation * 2 + (leaving ? 1 : 0);
  const std::string_view stamp_bytes(reinterpret_cast<const char*>(&stamp), sizeof(stamp));
  return static_cast<uint32_t>(content_hash(stamp_bytes, content_hash(member.id)));
}

// Within one incarnation, a state of higher precedence overrides one of lower precedence.
int precedence(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kLeaving:
      return 1;
    case MemberState::kSuspect:
      return 2;
    case MemberState::kDead:
      return 3;
  }
  return 0;
}

bool overrides(const Member& claim, const Member& known) {
  if (claim.incarnation != known.incarnation) {
    return claim.incarnation > known.incarnation;
  }
  return precedence(claim.state) > precedence(known.state);
}

bool accuses(const Member& claim) {
  return claim.state == MemberState::kSuspect || claim.state == MemberState::kDead;
}

}  // namespace

MemberTable::MemberTable(Member self)
    : self_(std::move(self)), self_position_(content_hash(self_.id), self_.id) {}

void MemberTable::update_self(uint64_t incarnation, MemberState state) {
  self_.incarnation = incarnation;
  self_.state = state;
  changed();
}

MergeOutcome MemberTable::merge(const Member& claim, ClaimSource source, MonotonicTime now) {
  MemberRecord* record = find(claim.id);
  if (record == nullptr) {
    // Suspect and dead claims carry no address, and the member is unknown anyway.
    if (accuses(claim)) {
      return MergeOutcome::kIgnored;
    }
    MemberRecord& added = others_[claim.id];
    added.member = claim;
    added.leaving = claim.state == MemberState::kLeaving;
    ring_.emplace(RingPosition(content_hash(claim.id), claim.id), &added);
    live_others_.reset();
    changed();
    return MergeOutcome::kAdded;
  }
  if (!overrides(claim, record->member)) {
    return MergeOutcome::kIgnored;
  }
  if (!accuses(claim)) {
    const MemberState old_state = record->member.state;
    record->member = claim;
    record->member.state = old_state;
    record->leaving = claim.state == MemberState::kLeaving;
    record->suspected_here = false;
    set_state(*record, claim.state);
    return MergeOutcome::kChanged;
  }
  if (source == ClaimSource::kSync && !record->dead()) {
    return MergeOutcome::kDisputed;
  }
  record->member.incarnation = claim.incarnation;
  if (claim.state == MemberState::kSuspect) {
    suspect(*record);
  } else {
    declare_dead(*record, now);
  }
  return MergeOutcome::kChanged;
}

void MemberTable::suspect(MemberRecord& record) {
  set_state(record, MemberState::kSuspect);
  record.suspected_here = false;
}

void MemberTable::declare_dead(MemberRecord& record, MonotonicTime now) {
  set_state(record, MemberState::kDead);
  record.dead_since = now;
}

void MemberTable::forget_dead(MonotonicTime now, Duration retention) {
  for (auto at = others_.begin(); at != others_.end();) {
    const MemberRecord& record = at->second;
    if (record.dead() && now - record.dead_since > retention) {
      ring_.erase(RingPosition(content_hash(at->first), at->first));
      at = others_.erase(at);
    } else {
      ++at;
    }
  }
}

MemberRecord* MemberTable::find(const NodeId& id) {
  const auto found = others_.find(id);
  return found == others_.end() ? nullptr : &found->second;
}

const MemberRecord* MemberTable::find(const NodeId& id) const {
  const auto found = others_.find(id);
  return found == others_.end() ? nullptr : &found->second;
}

std::vector<Member> MemberTable::members() const {
  std::vector<Member> result;
  result.reserve(live_count());
  bool self_added = false;
  for (const MemberRecord* record : live_others()) {
    if (!self_added && self_.id < record->member.id) {
      result.push_back(self_);
      self_added = true;
    }
    result.push_back(record->member);
    if (record->leaving) {
      result.back().state = MemberState::kLeaving;
    }
  }
  if (!self_added) {
    result.push_back(self_);
  }
  return result;
}

const MemberRecord* MemberTable::ring_successor() const {
  const auto start = ring_.upper_bound(self_position_);
  for (auto at = start; at != ring_.end(); ++at) {
    if (!at->second->dead() && !at->second->suspect()) {
      return at->second;
    }
  }
  for (auto at = ring_.begin(); at != start; ++at) {
    if (!at->second->dead() && !at->second->suspect()) {
      return at->second;
    }
  }
  return nullptr;
}

const BucketDigests& MemberTable::buckets() const {
  if (!buckets_) {
    BucketDigests digests{};
    digests[bucket_of(self_.id)] += digest_of(self_, self_.state == MemberState::kLeaving);
    for (const auto& [id, record] : others_) {
      if (!record.dead()) {
        digests[bucket_of(id)] += digest_of(record.member, record.leaving);
      }
    }
    buckets_ = digests;
  }
  return *buckets_;
}

std::vector<Member> MemberTable::differing(const BucketDigests& theirs) const {
  const BucketDigests& ours = buckets();
  const auto differs = [&](const NodeId& id) {
    const size_t bucket = bucket_of(id);
    return ours[bucket] != theirs[bucket];
  };
  std::vector<Member> result;
  if (differs(self_.id)) {
    result.push_back(self_);
  }
  for (const auto& [id, record] : others_) {
    if (!differs(id)) {
      continue;
    }
    result.push_back(record.member);
    // Suspicions are spread as rumours; a sync carries the last state that the member itself
    // announced.
    if (record.suspect()) {
      result.back().state = record.leaving ? MemberState::kLeaving : MemberState::kAlive;
    }
  }
  return result;
}

const std::vector<const MemberRecord*>& MemberTable::live_others() const {
  if (!live_others_) {
    live_others_.emplace();
    for (const auto& [id, record] : others_) {
      if (!record.dead()) {
        live_others_->push_back(&record);
      }
    }
  }
  return *live_others_;
}

void MemberTable::set_state(MemberRecord& record, MemberState state) {
  const bool was_dead = record.dead();
  record.member.state = state;
  if (was_dead != record.dead()) {
    live_others_.reset();
  }
  changed();
}

}  // namespace chalkshed
