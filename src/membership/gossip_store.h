// The gossip entries that a node knows: the highest version of each kind and key wins.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "src/core/time.h"
#include "src/membership/datagram.h"
#include "src/membership/membership_knobs.h"
#include "src/membership/membership_view.h"

namespace chalkshed {

struct GossipKey {
  std::string kind;
  std::string key;

  auto operator<=>(const GossipKey&) const = default;
};

enum class GossipMerge {
  kStored,   // newer than the known version
  kKnown,    // the same or an older version
  kRefused,  // too large, or the store is full
};

class GossipStore {
 public:
  explicit GossipStore(const MembershipKnobs& knobs) : knobs_(knobs) {}

  GossipMerge merge(const GossipEntry& entry, MonotonicTime now);
  const GossipEntry* find(const GossipKey& key) const;
  std::vector<GossipEntry> entries(const std::string& kind) const;
  // Drops entries of expiring kinds that were not renewed in time.
  void expire(MonotonicTime now);

  // Digest of the persistent entries. Expiring kinds are excluded: they are published again soon,
  // and they expire at a different time on every node.
  const BucketDigests& buckets() const;
  // @return the persistent entries whose bucket differs from `theirs`.
  std::vector<GossipEntry> differing(const BucketDigests& theirs) const;
  size_t size() const { return entries_.size(); }

 private:
  struct Stored {
    GossipEntry entry;
    MonotonicTime learned_at;
  };

  std::map<GossipKey, Stored> entries_;
  const MembershipKnobs& knobs_;
  mutable std::optional<BucketDigests> buckets_;  // empty when out of date
};

// Kinds whose entries expire unless renewed.
bool gossip_kind_expires(const std::string& kind);

}  // namespace chalkshed
