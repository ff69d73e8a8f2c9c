#ifndef CHALKSHED_ORIGIN_MESSAGE_H
#define CHALKSHED_ORIGIN_MESSAGE_H

/** \file
 * The datagram by which nodes exchange the origins of streams (origin_message.fbs). */

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/origin_decision.h"
#include "chalkshed/origin_table.h"
#include "src/core/address.h"

namespace chalkshed {

struct placed_origin {
    stream_key stream{};
    software_id software = software_id::kUnknown;
};

struct origin_question {
    uint64_t number = 0;
    uint16_t asked = 0;
    stream_key stream{};
    /** Empty if several services come into question: then only a record tells the origin. */
    std::string service;
    /** How far back the stream may have begun. */
    Duration longest{0};
    Address reply_to;
    /** Of the request, for its route; empty if older builds ask. */
    std::string host;
    std::string path;
};

struct origin_answer {
    uint64_t number = 0;
    uint16_t asked = 0;
    origin_evidence evidence;
};

struct origin_message {
    std::vector<placed_origin> placed;
    std::optional<origin_question> question;
    std::optional<origin_answer> answer;
};

/** A question with a longer host and path does not fit into a datagram. */
inline constexpr size_t kMaxRouteBytes = 800;

/** Placed origins that fit into one datagram. */
inline constexpr size_t kMaxPlacedOrigins = 64;

std::string encode_origin_message(const origin_message &message);
/** \return Nothing if the datagram is another one or malformed. */
std::optional<origin_message> decode_origin_message(std::string_view datagram);

} // namespace chalkshed

#endif
