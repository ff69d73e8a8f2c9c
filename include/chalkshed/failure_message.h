#ifndef CHALKSHED_FAILURE_MESSAGE_H
#define CHALKSHED_FAILURE_MESSAGE_H

/** \file
 * Messages between nodes about workers that fail requests. Times are sent as ages, since monotonic
 * clocks of different nodes aren't comparable. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

/** How an answer of a worker failed. Values are part of the wire format. */
enum class answer_fault : uint8_t {
    kNone = 0,
    kStatus = 1,    // a 5xx for a request that the worker ran
    kWrong = 2,     // not authentic, encoded, or the answer to another request
    kTruncated = 3, // the answer had started, and its end is missing
    kReset = 4,     // the connection was lost before the answer started
    kSilent = 5,    // nothing arrived within the silence timeout
};

/** \return The stable name used in metrics. */
std::string_view answer_fault_name(answer_fault fault);

struct failed_answer {
    uint64_t content = 0; // digest of the request
    uint32_t worker = 0;  // hash of the worker's incarnation
    MonotonicTime at{};
    answer_fault fault = answer_fault::kNone;
};

enum class worker_state : uint8_t { kNormal = 0, kEjected = 1, kReadmitted = 2 };

/** A node's view of one worker. */
struct worker_standing {
    uint32_t worker = 0;
    worker_state state = worker_state::kNormal;
    /** When the state began. */
    MonotonicTime since{};
    /** Number of ejections that followed soon after a readmission. */
    uint8_t level = 0;
    /** Probes that were answered in a row, as of result_at. */
    uint8_t passed = 0;
    MonotonicTime result_at{};
    /** Probes to be answered in a row for the readmission. */
    uint8_t needed = 0;
    /** When the newest probe was sent. */
    MonotonicTime probed{};
    /** Complete answers that the sender has received from the worker within the window. */
    uint16_t successes = 0;
    /** When the newest request was sent that succeeded, or whose answer began well. */
    MonotonicTime succeeded{};
};

struct service_successes {
    uint64_t service = 0; // hash of its name
    uint32_t successes = 0;
};

struct failure_report {
    uint64_t sender = 0; // hash of its session
    std::vector<failed_answer> failures;
    std::vector<worker_standing> workers;
    std::vector<service_successes> services;
};

/** Entries of each kind that fit into one datagram of 1,200 bytes together. */
inline constexpr size_t kMaxFailureEntries = 28;
inline constexpr size_t kMaxStandingEntries = 20;
inline constexpr size_t kMaxServiceEntries = 8;

std::string encode_failure_report(const failure_report &report, MonotonicTime now);
/** \return std::nullopt for a malformed message. */
std::optional<failure_report> decode_failure_report(std::string_view datagram, MonotonicTime now);

} // namespace chalkshed

#endif
