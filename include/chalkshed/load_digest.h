#ifndef CHALKSHED_LOAD_DIGEST_H
#define CHALKSHED_LOAD_DIGEST_H

/** \file
 * The datagram by which a relay reports the combined load of many nodes on the workers.
 *
 * A digest is absolute: it replaces what an earlier one reported for the same range of workers.
 * Lost, repeated or reordered datagrams therefore leave no lasting error. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/worker_speed.h"
#include "src/peers/heartbeat.h"
#include "src/platform/watched_store.h"

namespace chalkshed {

/** Unit in which prompt tokens are counted: 16 bits can then hold a million tokens between two
 * digests, and a prompt shorter than a unit is processed within a millisecond. */
constexpr uint32_t kPromptUnit = 16;

struct digest_entry {
    /** Hash of the worker's incarnation. */
    uint32_t worker = 0;
    uint8_t online = 0;
    uint8_t batch = 0;
    /** Prompt tokens sent to the worker so far, in units of kPromptUnit; wraps around. */
    uint16_t prompt_units = 0;
};

struct load_digest {
    /** Session id of the relay. */
    std::string session;
    /** Increases with every digest of the session. */
    uint64_t sequence = 0;
    /** Whether this is the load of the relay's own zone, for relays of other zones. Otherwise it is
     * the load of all nodes except the receiver. */
    bool zone_sum = false;
    /** Range of workers that the entries cover; a worker in it without an entry has no load. */
    uint32_t first = 0;
    uint32_t last = UINT32_MAX;
    /** Sorted by worker. */
    std::vector<digest_entry> entries;
    /** Hashes of the sessions that the relay considers lapsed; std::nullopt: not included in this
     * datagram. */
    std::optional<std::vector<uint64_t>> lapsed;
    /** Newest store version that the relay has seen. */
    StoreVersion store_version = 0;
    KnownVersions known;
    /** What the relay knows of the samples of all nodes, or of those of its zone if `zone_sum`;
     * only some workers at a time. */
    std::vector<worker_speed_entry> speeds;
};

std::string encode_load_digest(const load_digest &digest);
/** \return std::nullopt for a malformed digest. */
std::optional<load_digest> decode_load_digest(std::string_view datagram);

/** Splits a digest of all workers into digests that each fit into a datagram. */
std::vector<load_digest> split_digest(load_digest whole, size_t max_entries);

} // namespace chalkshed

#endif
