#include "src/routing/prefix_affinity.h"

#include <algorithm>

#include "src/core/digest.h"

namespace chalkshed {

PrefixDigests PrefixAffinity::digests(std::string_view prompt) {
  PrefixDigests digests;
  const size_t blocks = std::min(prompt.size() / kBlockBytes, kMaxBlocks);
  uint64_t digest = 0;
  for (size_t block = 0; block < blocks; ++block) {
    digest = content_hash(prompt.substr(block * kBlockBytes, kBlockBytes), digest);
    digests.push_back(digest);
  }
  return digests;
}

size_t PrefixAffinity::shared_blocks(const PrefixDigests& digests, MonotonicTime now) const {
  size_t blocks = 0;
  while (blocks < digests.size() && contains_recent(digests[blocks], now)) {
    ++blocks;
  }
  return blocks;
}

size_t PrefixAffinity::blocks_at(const PrefixDigests& digests, const WorkerId& worker,
                                 MonotonicTime now) const {
  size_t blocks = 0;
  while (blocks < digests.size() && contains_recent(rank(digests[blocks], worker), now)) {
    ++blocks;
  }
  return blocks;
}

void PrefixAffinity::remember(const PrefixDigests& digests, const WorkerId& worker,
                              MonotonicTime now) {
  for (const uint64_t digest : digests) {
    touch(digest, now);
    touch(rank(digest, worker), now);
  }
}

uint64_t PrefixAffinity::rank(uint64_t prefix, const WorkerId& worker) {
  return content_hash(worker, prefix);
}

bool PrefixAffinity::contains_recent(uint64_t digest, MonotonicTime now) const {
  const auto found = positions_.find(digest);
  return found != positions_.end() && now - found->second->seen_at <= lifetime_;
}

void PrefixAffinity::touch(uint64_t digest, MonotonicTime now) {
  const auto found = positions_.find(digest);
  if (found != positions_.end()) {
    recent_.splice(recent_.begin(), recent_, found->second);
    recent_.front().seen_at = now;
    return;
  }
  recent_.push_front({digest, now});
  positions_.emplace(digest, recent_.begin());
  if (recent_.size() > capacity_) {
    positions_.erase(recent_.back().digest);
    recent_.pop_back();
  }
}

}  // namespace chalkshed
