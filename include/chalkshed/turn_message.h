#ifndef CHALKSHED_TURN_MESSAGE_H
#define CHALKSHED_TURN_MESSAGE_H

/** \file
 * What a node that wants to run a suspect content says to the node that gives the turns, and back.
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
    /** Not yet: ask again. */
    kBusy,
    /** The sender's run has ended. */
    kOver,
    /** The sender has runs that began before anything was known against the content. */
    kRunning,
};

struct turn_entry {
    turn_entry_type word = turn_entry_type::kAsk;
    uint64_t digest = 0;
    /** Of kAsk and kOver: by what the sender knows nobody may run the content for so long. */
    Duration wait{0};
};

struct turn_message {
    /** Of the sender. */
    std::string session;
    std::vector<turn_entry> entries;
};

std::string encode_turn_message(const turn_message &message);
/** \return Nothing when the bytes are no such message. Entries with words of a newer build are left
 * out. */
std::optional<turn_message> decode_turn_message(std::string_view datagram);

} // namespace chalkshed

#endif
