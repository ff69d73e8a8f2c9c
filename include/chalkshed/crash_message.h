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

/** A run that brought a complete answer; for a part, one that was written on at that software. */
struct answered_run {
    uint64_t digest = 0;
    /** When the run was sent; for a part, when its answer began. */
    MonotonicTime sent{};
    crash_suspect suspect = crash_suspect::kContent;
    software_id software = software_id::kUnknown;
};

struct crash_message {
    std::vector<broken_run> broken;
    std::vector<answered_run> answered;
    /** Lost just now: sent before a common cause could be detected. */
    std::vector<broken_run> suspected;
};

/** Entries that fit into one datagram with margin: 24 bytes each at most. */
inline constexpr size_t kMaxCrashEntries = 40;

std::string encode_crash_message(const crash_message &message, MonotonicTime now);
/** \return std::nullopt for a malformed message. */
std::optional<crash_message> decode_crash_message(std::string_view datagram, MonotonicTime now);

} // namespace chalkshed

#endif
