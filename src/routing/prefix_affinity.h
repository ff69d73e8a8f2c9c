// Records which prompt prefixes were sent to which worker, to predict prefix cache hits, and ranks
// workers for a prefix by rendezvous hashing, so that all nodes agree without communication.
#pragma once

#include <cstdint>
#include <list>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "src/core/time.h"
#include "src/routing/router.h"

namespace chalkshed {

// Digests of a prompt's prefixes, one per complete block; each covers all blocks up to its own.
using PrefixDigests = std::vector<uint64_t>;

class PrefixAffinity {
 public:
  // Size of a block, and the maximum number of blocks considered per prompt.
  static constexpr size_t kBlockBytes = 512;
  static constexpr size_t kMaxBlocks = 16;

  // @param capacity number of entries kept; the least recently used is evicted first.
  // @param lifetime a worker is expected to cache a prefix for this long after its last use.
  PrefixAffinity(uint32_t capacity, Duration lifetime) : capacity_(capacity), lifetime_(lifetime) {}

  static PrefixDigests digests(std::string_view prompt);
  // @return the number of leading blocks shared with a recent prompt.
  size_t shared_blocks(const PrefixDigests& digests, MonotonicTime now) const;
  // @return the number of leading blocks that this node recently sent to the worker.
  size_t blocks_at(const PrefixDigests& digests, const WorkerId& worker, MonotonicTime now) const;
  // Records that the prompt was sent to the worker.
  void remember(const PrefixDigests& digests, const WorkerId& worker, MonotonicTime now);

  // Weight of a worker for a prefix; the highest is preferred.
  static uint64_t rank(uint64_t prefix, const WorkerId& worker);

 private:
  struct Entry {
    uint64_t digest = 0;
    MonotonicTime seen_at;
  };

  bool contains_recent(uint64_t digest, MonotonicTime now) const;
  void touch(uint64_t digest, MonotonicTime now);

  uint32_t capacity_;
  Duration lifetime_;
  std::list<Entry> recent_;  // most recent first
  std::unordered_map<uint64_t, std::list<Entry>::iterator> positions_;
};

}  // namespace chalkshed
