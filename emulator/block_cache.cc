#include "emulator/block_cache.h"

namespace chalkshed {

uint32_t BlockCache::cached_prefix(const std::vector<uint64_t>& hashes) const {
  uint32_t count = 0;
  while (count < hashes.size() && blocks_.contains(hashes[count])) {
    ++count;
  }
  return count;
}

void BlockCache::add_reference(uint64_t hash) {
  Block& block = blocks_.at(hash);
  if (block.references == 0) {
    idle_.erase(block.idle_position);
    ++pinned_;
  }
  ++block.references;
}

void BlockCache::pin(const std::vector<uint64_t>& hashes, uint32_t count) {
  for (uint32_t index = 0; index < count; ++index) {
    add_reference(hashes[index]);
  }
}

void BlockCache::unpin(const std::vector<uint64_t>& hashes, uint32_t count) {
  // Unpins from the end, so that the first block of a prefix is evicted last.
  for (uint32_t index = count; index > 0; --index) {
    const uint64_t hash = hashes[index - 1];
    Block& block = blocks_.at(hash);
    --block.references;
    if (block.references == 0) {
      --pinned_;
      block.idle_position = idle_.insert(idle_.end(), hash);
    }
  }
}

bool BlockCache::allocate(uint32_t blocks) {
  if (used() + blocks > total_) {
    return false;
  }
  private_blocks_ += blocks;
  while (private_blocks_ + blocks_.size() > total_) {
    const uint64_t evicted = idle_.front();
    idle_.pop_front();
    blocks_.erase(evicted);
    changes_.push_back(CacheChange{evicted, false});
  }
  return true;
}

void BlockCache::publish(const std::vector<uint64_t>& hashes, uint32_t from, uint32_t to) {
  for (uint32_t index = from; index < to; ++index) {
    --private_blocks_;
    const uint64_t hash = hashes[index];
    const auto [entry, added] = blocks_.try_emplace(hash);
    if (added) {
      entry->second.idle_position = idle_.insert(idle_.end(), hash);
      changes_.push_back(CacheChange{hash, true});
    }
    add_reference(hash);
  }
}

void BlockCache::clear() { *this = BlockCache(total_); }

}  // namespace chalkshed
