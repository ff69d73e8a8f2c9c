// Datagrams between members and their encoding (FlatBuffers followed by a checksum).
#pragma once

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/membership/membership_view.h"

namespace chalkshed {

enum class DatagramKind : uint8_t {
  kPing,          // asks the target for an ack
  kAck,           // answers a ping
  kPingRequest,   // asks the receiver to ping the target on the sender's behalf
  kNack,          // answers a ping request: no ack from the target, but the requester is reachable
  kGossip,        // updates and entries only
  kSyncRequest,   // digests of the sender's buckets; requests the differing ones
  kSyncResponse,  // digests of the responder's buckets; the requester sends back differing ones
  kSyncPage,      // members and entries of differing buckets
};
constexpr size_t kDatagramKinds = 8;

// @return snake_case name for metrics.
std::string_view datagram_kind_name(DatagramKind kind);

constexpr size_t kDigestBuckets = 32;
using BucketDigests = std::array<uint32_t, kDigestBuckets>;

// A node's claim about a member. Suspect and dead claims carry no addresses.
struct MemberUpdate {
  Member member;
};

struct Datagram {
  DatagramKind kind = DatagramKind::kGossip;
  uint32_t sequence = 0;
  NodeId sender;
  NodeId target;             // pings and ping requests
  uint64_t view_digest = 0;  // pings and acks
  bool introduce = false;    // asks the receiver to send its own update
  bool caught_up = false;    // sync responses: the sender itself has caught up
  uint32_t pages = 0;        // sync responses: pages that follow
  std::vector<MemberUpdate> updates;
  std::vector<GossipEntry> entries;
  std::optional<BucketDigests> member_buckets;  // sync requests and responses
  std::optional<BucketDigests> entry_buckets;
};

std::string encode_datagram(const Datagram& datagram);

// @return nothing if the datagram is malformed or, with `check` set, its checksum does not match.
std::optional<Datagram> decode_datagram(std::string_view bytes, bool check = true);

// @return the kind of a well-formed datagram, without decoding the rest; for measurements.
std::optional<DatagramKind> peek_datagram_kind(std::string_view bytes);

// Upper bounds for the bytes that an element adds to an encoded datagram.
size_t encoded_size_bound(const MemberUpdate& update);
size_t encoded_size_bound(const GossipEntry& entry);
// Upper bound for everything but updates, entries and bucket digests.
size_t encoded_header_bound(const NodeId& sender, const NodeId& target);

}  // namespace chalkshed
