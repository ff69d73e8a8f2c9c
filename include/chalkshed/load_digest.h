#ifndef CHALKSHED_LOAD_DIGEST_H
#define CHALKSHED_LOAD_DIGEST_H

/** \file
 * The datagram by which a relay reports the load that many nodes together have put on the workers.
 *
 * A digest is absolute: it replaces what an earlier one said of the same range of workers. Lost,
 * repeated or reordered datagrams therefore leave nothing wrong behind.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/peers/heartbeat.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

/** Prompt tokens are counted in units of this many: 16 bits then hold a million between two
 * digests, and a prompt shorter than a unit is read within a millisecond. */
constexpr uint32_t kPromptUnit = 16;

struct digest_entry {
    /** Hash of the worker's incarnation. */
    uint32_t worker = 0;
    uint8_t online = 0;
    uint8_t batch = 0;
    /** Prompt tokens sent to the worker so far, in units; wraps. */
    uint16_t prompt_units = 0;
};

struct load_digest {
    /** Of the relay. */
    std::string session;
    /** Grows with every digest of the session. */
    uint64_t sequence = 0;
    /** Holds the load of the relay's own zone, for relays of other zones. Otherwise it holds the
     * load of all nodes except the receiver. */
    bool zone_sum = false;
    /** The workers that the entries cover; a worker in this range without an entry has no load. */
    uint32_t first = 0;
    uint32_t last = UINT32_MAX;
    /** In rising order of the workers. */
    std::vector<digest_entry> entries;
    /** Hashes of the sessions that the relay takes for gone; nothing: not said in this datagram. */
    std::optional<std::vector<uint64_t>> lapsed;
    /** Newest version of the store that the relay has seen. */
    StoreVersion store_version = 0;
    KnownVersions known;
};

std::string encode_load_digest(const load_digest &digest);
/** \return Nothing when the bytes form no digest. */
std::optional<load_digest> decode_load_digest(std::string_view datagram);

/** Splits a digest of all workers into digests that fit into a datagram each. */
std::vector<load_digest> split_digest(load_digest whole, size_t most_entries);

} // namespace chalkshed

#endif
