#include "src/batch/id_set.h"

#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr size_t kInitialSlots = 64;
constexpr uint64_t kFirstSeed = 1;
constexpr uint64_t kSecondSeed = 2;

}  // namespace

IdSet::IdSet() : slots_(kInitialSlots) {}

bool IdSet::insert(std::string_view id) {
  // Setting the lowest bit distinguishes a digest from an empty slot.
  const Digest digest{content_hash(id, kFirstSeed), content_hash(id, kSecondSeed) | 1U};
  if (!insert_digest(digest)) {
    return false;
  }
  ++size_;
  if (2 * size_ > slots_.size()) {
    grow();
  }
  return true;
}

bool IdSet::insert_digest(const Digest& digest) {
  const size_t mask = slots_.size() - 1;
  size_t position = digest.first & mask;
  while (slots_[position] != Digest{}) {
    if (slots_[position] == digest) {
      return false;
    }
    position = (position + 1) & mask;
  }
  slots_[position] = digest;
  return true;
}

void IdSet::grow() {
  std::vector<Digest> larger(2 * slots_.size());
  slots_.swap(larger);
  for (const Digest& digest : larger) {
    if (digest != Digest{}) {
      insert_digest(digest);
    }
  }
}

}  // namespace chalkshed
