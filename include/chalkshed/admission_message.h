#ifndef CHALKSHED_ADMISSION_MESSAGE_H
#define CHALKSHED_ADMISSION_MESSAGE_H

/** \file
 * The datagrams of shared admission: a node's report to the relays of its zone, a relay's sum of
 * its zone for the relays of the other zones, and a relay's view for the nodes of its zone. Every
 * message holds current values that replace earlier ones, so that lost, repeated and reordered
 * datagrams leave no lasting error. */

#include <compare>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/time.h"

namespace chalkshed {

/** Rates in counts are in units of 1 / kRateUnits per second: sums of integers can be kept up to
 * date by additions and subtractions without an error that grows. */
constexpr double kRateUnits = 100;

/** The requests of a tenant for a service at a priority. */
struct admission_key {
    /** Hashes of the names; tenant 0 stands for callers without a tenant. */
    uint32_t service = 0;
    uint32_t priority = 0;
    uint32_t tenant = 0;

    auto operator<=>(const admission_key &) const = default;
};

struct admission_count {
    admission_key key;
    /** Rates in units of 1 / kRateUnits per second. */
    uint32_t arrived = 0;
    /** Arrived, over a shorter time. */
    uint32_t recent = 0;
    uint32_t admitted = 0;
    /** Number of requests. */
    uint32_t waiting = 0;
};

/** What a node has seen its requests do at the workers of a service. */
struct served_count {
    uint32_t service = 0;
    /** Rate at which requests free their slots, and the slots that these held on average, both in
     * units of 1 / kRateUnits. Their quotient is the mean time for which a slot is held. */
    uint32_t ended = 0;
    uint32_t busy = 0;
};

struct service_capacity {
    uint32_t service = 0;
    bool overloaded = false;
    /** Requests per second of all nodes together. */
    float capacity = 0;
};

struct admission_level {
    uint32_t service = 0;
    uint32_t priority = 0;
    /** Highest rate of a tenant over all nodes; kNoLevel if none is limited. */
    float level = 0;
    float demand = 0;
    /** Expected wait of a new request. */
    Duration wait{0};
};

/** The demand of a tenant above the level of its priority. */
struct limited_demand {
    admission_key key;
    float demand = 0;
};

/** A request that was refused and may return, probably at another node. */
struct refused_content {
    /** See content_key(). */
    uint64_t content = 0;
    /** Time since its refusal. */
    Duration age{0};
};

enum class admission_message_kind : uint8_t { kReport, kZoneSum, kView };

struct admission_message {
    admission_message_kind kind = admission_message_kind::kReport;
    std::string session;
    /** Increases with every message of the kind, starting at 1; the pages of one message share it.
     */
    uint64_t sequence = 0;
    /** Report and zone sum. */
    std::vector<admission_count> counts;
    std::vector<served_count> served;
    /** Zone sum: number of nodes counted in it. */
    uint16_t nodes = 0;
    /** View and zone sum. */
    std::vector<service_capacity> services;
    /** View. */
    std::vector<admission_level> levels;
    std::vector<limited_demand> shares;
    /** All kinds: refusals since the message before. */
    std::vector<refused_content> contents;
};

/** Hash that identifies a service in messages. */
uint32_t service_hash(std::string_view name);
/** Identifies the requests of a tenant with that content, see request_digest.h. */
uint64_t content_key(uint64_t digest, uint32_t tenant);

std::string encode_admission_message(const admission_message &message);
/** \return std::nullopt for a malformed message. */
std::optional<admission_message> decode_admission_message(std::string_view datagram);

/** Splits a message whose entries don't fit into one datagram of 1,200 bytes. */
std::vector<admission_message> split_admission_message(const admission_message &whole);

} // namespace chalkshed

#endif
