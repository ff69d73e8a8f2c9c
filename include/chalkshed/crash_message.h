#ifndef CHALKSHED_CRASH_MESSAGE_H
#define CHALKSHED_CRASH_MESSAGE_H

/** \file
 * Messages between nodes about runs that were lost with their workers. Times are sent as ages,
 * since monotonic clocks of different nodes aren't comparable. */

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/crash_evidence.h"

namespace chalkshed {

/** A run that brought a complete answer. */
struct answered_run {
    uint64_t digest = 0;
    MonotonicTime sent{};
};

struct crash_message {
    std::vector<broken_run> broken;
    std::vector<answered_run> answered;
    /** Lost just now: sent before a common cause could be detected. */
    std::vector<broken_run> suspected;
};

/** Entries that fit into one datagram with margin: 24 bytes each. */
inline constexpr size_t kMaxCrashEntries = 40;

std::string encode_crash_message(const crash_message &message, MonotonicTime now);
/** \return std::nullopt for a malformed message. */
std::optional<crash_message> decode_crash_message(std::string_view datagram, MonotonicTime now);

} // namespace chalkshed

#endif
