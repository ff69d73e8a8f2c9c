// KV memory of one emulated engine: a fixed number of blocks, divided between private blocks of
// running sequences and prompt prefix blocks that remain cached after their sequence has ended.
#pragma once

#include <cstdint>
#include <list>
#include <unordered_map>
#include <vector>

namespace chalkshed {

// An addition to or removal from the set of cached prefix blocks.
struct CacheChange {
  uint64_t block_hash = 0;
  bool added = false;
};

class BlockCache {
 public:
  explicit BlockCache(uint32_t total_blocks) : total_(total_blocks) {}

  // @return the number of leading blocks that are cached.
  uint32_t cached_prefix(const std::vector<uint64_t>& hashes) const;
  // Takes references on the first `count` blocks of `hashes`; all must be cached.
  void pin(const std::vector<uint64_t>& hashes, uint32_t count);
  void unpin(const std::vector<uint64_t>& hashes, uint32_t count);
  // Allocates private blocks, evicting unreferenced cached blocks in LRU order.
  // @return whether there was enough space; otherwise nothing is allocated.
  bool allocate(uint32_t blocks);
  void free(uint32_t blocks) { private_blocks_ -= blocks; }
  // Converts private blocks to cached, pinned blocks of the prefix hashes[from, to). If a block is
  // already cached, the cached one is pinned and the private one is freed.
  void publish(const std::vector<uint64_t>& hashes, uint32_t from, uint32_t to);

  uint32_t total() const { return total_; }
  // Blocks in use by sequences.
  uint32_t used() const { return private_blocks_ + pinned_; }
  // Cached blocks, referenced or not.
  size_t cached() const { return blocks_.size(); }
  void clear();
  std::vector<CacheChange> take_changes() { return std::exchange(changes_, {}); }

 private:
  struct Block {
    uint32_t references = 0;
    std::list<uint64_t>::iterator idle_position;  // valid when references == 0
  };
  void add_reference(uint64_t hash);

  uint32_t total_;
  uint32_t private_blocks_ = 0;
  uint32_t pinned_ = 0;                         // cached blocks with references
  std::unordered_map<uint64_t, Block> blocks_;  // never iterated
  std::list<uint64_t> idle_;                    // unreferenced, least recently used first
  std::vector<CacheChange> changes_;
};

}  // namespace chalkshed
