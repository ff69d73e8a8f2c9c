#ifndef CHALKSHED_TURN_MESSAGE_H
#define CHALKSHED_TURN_MESSAGE_H

/** \file
 * Messages between a node that wants to run a suspect content and the node that grants the turns.
 */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

enum class turn_entry_type {
    kAsk,
    kGranted,
    /** No turn yet: the requester has to repeat its request. */
    kBusy,
    /** The sender's run has finished. */
    kOver,
    /** The sender has runs that started before there was any evidence against the content. */
    kRunning,
};

struct turn_entry {
    turn_entry_type type = turn_entry_type::kAsk;
    uint64_t digest = 0;
    /** For kAsk and kOver: how long no node may run the content, as far as the sender knows. */
    Duration wait{0};
};

struct turn_message {
    /** Session id of the sender. */
    std::string session;
    std::vector<turn_entry> entries;
    /** When the asking node sent it, by its own clock; an answer repeats the time of its question.
     * Epoch: the sender's build has none. */
    MonotonicTime asked{};
};

std::string encode_turn_message(const turn_message &message);
/** \return std::nullopt for a malformed message. Skips entries of types that only newer versions
 * know. */
std::optional<turn_message> decode_turn_message(std::string_view datagram);

} // namespace chalkshed

#endif
