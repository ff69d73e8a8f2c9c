#include "src/membership/probe_schedule.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr size_t kDrawsPerChoice = 4;

void shuffle(std::vector<NodeId>& ids, RandomGenerator& random) {
  for (size_t left = ids.size(); left > 1; --left) {
    std::swap(ids[left - 1], ids[random.below(left)]);
  }
}

}  // namespace

const MemberRecord* ProbeSchedule::next(const MemberTable& table) {
  ring_turn_ = !ring_turn_;
  if (ring_turn_) {
    const MemberRecord* successor = table.ring_successor();
    if (successor != nullptr) {
      return successor;
    }
  }
  return next_in_round(table);
}

const MemberRecord* ProbeSchedule::next_in_round(const MemberTable& table) {
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!round_.empty()) {
      const MemberRecord* record = table.find(round_.back());
      round_.pop_back();
      if (record != nullptr && !record->dead()) {
        return record;
      }
    }
    for (const MemberRecord* record : table.live_others()) {
      round_.push_back(record->member.id);
    }
    shuffle(round_, random_);
  }
  return nullptr;
}

std::vector<const MemberRecord*> ProbeSchedule::sample(const MemberTable& table, size_t count,
                                                       const NodeId& excluded) {
  const std::vector<const MemberRecord*>& live = table.live_others();
  std::vector<const MemberRecord*> chosen;
  // Draws with replacement and skips duplicates; some extra draws compensate for them.
  const size_t draws = count * kDrawsPerChoice;
  for (size_t draw = 0; draw < draws && chosen.size() < count && !live.empty(); ++draw) {
    const MemberRecord* drawn = live[random_.below(live.size())];
    const bool repeated = std::find(chosen.begin(), chosen.end(), drawn) != chosen.end();
    if (!repeated && drawn->member.id != excluded) {
      chosen.push_back(drawn);
    }
  }
  return chosen;
}

}  // namespace chalkshed
