// A set of ids whose destruction is cheap.
#pragma once

#include <cstdint>
#include <string_view>
#include <vector>

namespace chalkshed {

// Hash set of 128-bit digests with open addressing in one block of memory, so that destroying the
// ids of a large job does not block the event loop, as freeing tens of thousands of set nodes
// would. Ids with equal digests count as equal.
class IdSet {
 public:
  IdSet();
  // @return false if the id was already present.
  bool insert(std::string_view id);

 private:
  struct Digest {
    uint64_t first = 0;
    uint64_t second = 0;  // both 0: an empty slot

    bool operator==(const Digest&) const = default;
  };

  bool insert_digest(const Digest& digest);
  void grow();

  std::vector<Digest> slots_;  // size is a power of two, at most half full
  size_t size_ = 0;
};

}  // namespace chalkshed
