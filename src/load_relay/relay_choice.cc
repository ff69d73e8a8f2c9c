#include "chalkshed/relay_choice.h"

#include <algorithm>

#include "src/core/digest.h"

namespace chalkshed {

std::vector<const relay_candidate *> choose_relays(const std::vector<relay_candidate> &peers,
                                                   const relay_candidate &own,
                                                   const std::string &zone, size_t count) {
    std::vector<const relay_candidate *> ranked;
    for (const relay_candidate &peer : peers) {
        if (peer.zone == zone && peer.fit) {
            ranked.push_back(&peer);
        }
    }
    if (zone == own.zone) {
        ranked.push_back(&own);
    }
    const uint64_t seed = content_hash(zone);
    count = std::min(count, ranked.size());
    std::partial_sort(ranked.begin(), ranked.begin() + static_cast<ptrdiff_t>(count), ranked.end(),
                      [seed](const relay_candidate *a, const relay_candidate *b) {
                          return a->capacity != b->capacity
                                     ? a->capacity > b->capacity
                                     : content_hash(a->node, seed) > content_hash(b->node, seed);
                      });
    ranked.resize(count);
    return ranked;
}

} // namespace chalkshed
