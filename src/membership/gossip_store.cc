#include "src/membership/gossip_store.h"

#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr std::string_view kTenantUsage = "tenant_usage";
constexpr std::string_view kMachine = "machine";

uint64_t hash_of(const GossipKey& key) { return content_hash(key.key, content_hash(key.kind)); }

size_t bucket_of(const GossipKey& key) { return hash_of(key) % kDigestBuckets; }

uint32_t digest_of(const GossipKey& key, uint64_t version) {
  const std::string_view version_bytes(reinterpret_cast<const char*>(&version), sizeof(version));
  return static_cast<uint32_t>(content_hash(version_bytes, hash_of(key)));
}

}  // namespace

bool gossip_kind_expires(const std::string& kind) {
  return kind == kTenantUsage || kind == kMachine;
}

GossipMerge GossipStore::merge(const GossipEntry& entry, MonotonicTime now) {
  if (entry.kind.size() + entry.key.size() + entry.value.size() > knobs_.max_entry_bytes) {
    return GossipMerge::kRefused;
  }
  const GossipKey key{entry.kind, entry.key};
  const auto found = entries_.find(key);
  if (found == entries_.end()) {
    if (entries_.size() >= knobs_.max_entries) {
      return GossipMerge::kRefused;
    }
    entries_.emplace(key, Stored{entry, now});
  } else {
    const uint64_t known = found->second.entry.version;
    const bool newer =
        knobs_.safeguards.version_order ? entry.version > known : entry.version != known;
    if (!newer) {
      return GossipMerge::kKnown;
    }
    found->second = Stored{entry, now};
  }
  if (!gossip_kind_expires(entry.kind)) {
    buckets_.reset();
  }
  return GossipMerge::kStored;
}

const GossipEntry* GossipStore::find(const GossipKey& key) const {
  const auto found = entries_.find(key);
  return found == entries_.end() ? nullptr : &found->second.entry;
}

std::vector<GossipEntry> GossipStore::entries(const std::string& kind) const {
  std::vector<GossipEntry> result;
  for (auto at = entries_.lower_bound({kind, ""}); at != entries_.end(); ++at) {
    if (at->first.kind != kind) {
      break;
    }
    result.push_back(at->second.entry);
  }
  return result;
}

void GossipStore::expire(MonotonicTime now) {
  std::erase_if(entries_, [&](const auto& item) {
    const auto& [key, stored] = item;
    const Duration lifetime =
        key.kind == kMachine ? knobs_.machine_lifetime : knobs_.tenant_usage_lifetime;
    return gossip_kind_expires(key.kind) && now - stored.learned_at > lifetime;
  });
}

const BucketDigests& GossipStore::buckets() const {
  if (!buckets_) {
    BucketDigests digests{};
    for (const auto& [key, stored] : entries_) {
      if (!gossip_kind_expires(key.kind)) {
        digests[bucket_of(key)] += digest_of(key, stored.entry.version);
      }
    }
    buckets_ = digests;
  }
  return *buckets_;
}

std::vector<GossipEntry> GossipStore::differing(const BucketDigests& theirs) const {
  const BucketDigests& ours = buckets();
  std::vector<GossipEntry> result;
  for (const auto& [key, stored] : entries_) {
    const size_t bucket = bucket_of(key);
    if (!gossip_kind_expires(key.kind) && ours[bucket] != theirs[bucket]) {
      result.push_back(stored.entry);
    }
  }
  return result;
}

}  // namespace chalkshed
