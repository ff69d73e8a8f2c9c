#ifndef CHALKSHED_QUOTA_MESSAGE_H
#define CHALKSHED_QUOTA_MESSAGE_H

/** \file
 * The datagrams that distribute the tenants' usage of their limits: a node's report to the relays
 * of its zone, a relay's sum of its zone for the relays of the other zones, and a relay's view of
 * the remaining quota for the nodes of its zone. Counts are absolute and levels replace earlier
 * ones, so that lost, repeated and reordered datagrams leave no lasting error. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalkshed {

struct tenant_count {
    /** Hash of the tenant's name. */
    uint32_t tenant = 0;
    /** Requests since the start of counting; wraps around. */
    uint32_t asked = 0;
    uint32_t admitted = 0;
};

struct tenant_level {
    uint32_t tenant = 0;
    /** Requests that may be admitted now; negative if too many have been. */
    float level = 0;
    /** Requests per second at all nodes together. */
    float demand = 0;
};

enum class quota_message_kind : uint8_t { kReport, kZoneSum, kView };

struct quota_message {
    quota_message_kind kind = quota_message_kind::kReport;
    std::string session;
    /** Number of the sender's term as a relay; the counts of its sums start at 0 in each term. */
    uint32_t run = 0;
    /** Increases with every message of the kind and run, starting at 1. */
    uint64_t sequence = 0;
    std::vector<tenant_count> counts;
    /** Zone sum: number of nodes counted in it. */
    uint16_t nodes = 0;
    /** View: the receiver's last report that is included in the levels. */
    uint64_t acknowledged = 0;
    /** View: share of the limits that the counted nodes together may use. */
    float coverage = 1;
    /** View: all tenants in the range that aren't nearly full, sorted by tenant. */
    std::vector<tenant_level> levels;
    uint32_t first = 0;
    uint32_t last = UINT32_MAX;
};

/** Hash that identifies a tenant in messages. Among 480 tenants, two share a hash with a
 * probability of 1 in 40,000; they would share a limit. */
uint32_t tenant_hash(std::string_view name);

std::string encode_quota_message(const quota_message &message);
/** \return std::nullopt for a malformed message. */
std::optional<quota_message> decode_quota_message(std::string_view datagram);

/** Number of counts or levels that fit into a datagram besides the other fields. */
constexpr size_t kMaxQuotaEntries = 80;
/** Splits a message whose entries don't fit into one datagram. */
std::vector<quota_message> split_quota_message(const quota_message &whole);

} // namespace chalkshed

#endif
