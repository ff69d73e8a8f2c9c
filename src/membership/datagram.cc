#include "src/membership/datagram.h"

#include <cstring>

#include "src/core/digest.h"
#include "src/membership/datagram_generated.h"

namespace chalkshed {
namespace {

using Checksum = uint32_t;

// Sizes of the FlatBuffers tables without variable-length content, padding included.
constexpr size_t kUpdateTableBytes = 72;
constexpr size_t kEntryTableBytes = 48;
constexpr size_t kHeaderTableBytes = 112;
constexpr size_t kStringOverheadBytes = 8;  // length, terminator and padding
constexpr flatbuffers::uoffset_t kMaxVerifiedTables = 1024;
constexpr flatbuffers::uoffset_t kMaxVerifiedDepth = 8;

Checksum checksum_of(std::string_view bytes) { return static_cast<Checksum>(content_hash(bytes)); }

bool carries_addresses(const Member& member) {
  return member.state == MemberState::kAlive || member.state == MemberState::kLeaving;
}

using StringOffset = flatbuffers::Offset<flatbuffers::String>;

// Omits empty strings. Addresses and zones repeat within a datagram, so they are stored once.
StringOffset shared_string(flatbuffers::FlatBufferBuilder& builder, const std::string& text) {
  return text.empty() ? StringOffset() : builder.CreateSharedString(text);
}

flatbuffers::Offset<wire::MemberUpdate> encode_update(flatbuffers::FlatBufferBuilder& builder,
                                                      const Member& member) {
  const StringOffset id = builder.CreateString(member.id);
  const bool addressed = carries_addresses(member);
  StringOffset http_ip;
  StringOffset peer_ip;
  StringOffset zone;
  StringOffset region;
  if (addressed) {
    http_ip = shared_string(builder, member.http_address.ip);
    if (member.peer_address.ip != member.http_address.ip) {
      peer_ip = shared_string(builder, member.peer_address.ip);
    }
    zone = shared_string(builder, member.zone);
    region = shared_string(builder, member.region);
  }
  wire::MemberUpdateBuilder update(builder);
  update.add_incarnation(member.incarnation);
  update.add_id(id);
  update.add_state(static_cast<uint8_t>(member.state));
  if (addressed) {
    update.add_http_ip(http_ip);
    update.add_peer_ip(peer_ip);
    update.add_zone(zone);
    update.add_region(region);
    update.add_http_port(member.http_address.port);
    update.add_peer_port(member.peer_address.port);
  }
  return update.Finish();
}

flatbuffers::Offset<wire::GossipEntry> encode_entry(flatbuffers::FlatBufferBuilder& builder,
                                                    const GossipEntry& entry) {
  const StringOffset kind = builder.CreateSharedString(entry.kind);
  const StringOffset key = builder.CreateString(entry.key);
  const StringOffset value =
      entry.value.empty() ? StringOffset() : builder.CreateString(entry.value);
  return wire::CreateGossipEntry(builder, kind, key, entry.version, value);
}

std::string text_of(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::optional<MemberUpdate> decode_update(const wire::MemberUpdate& wire_update) {
  if (wire_update.state() > static_cast<uint8_t>(MemberState::kDead)) {
    return std::nullopt;
  }
  MemberUpdate update;
  Member& member = update.member;
  member.id = wire_update.id()->str();
  member.incarnation = wire_update.incarnation();
  member.state = static_cast<MemberState>(wire_update.state());
  member.http_address = {text_of(wire_update.http_ip()), wire_update.http_port()};
  member.peer_address = {text_of(wire_update.peer_ip()), wire_update.peer_port()};
  if (member.peer_address.ip.empty()) {
    member.peer_address.ip = member.http_address.ip;
  }
  member.zone = text_of(wire_update.zone());
  member.region = text_of(wire_update.region());
  const bool lacks_address = member.peer_address.ip.empty() || member.peer_address.port == 0;
  if (member.id.empty() || (carries_addresses(member) && lacks_address)) {
    return std::nullopt;
  }
  return update;
}

std::optional<BucketDigests> decode_buckets(const flatbuffers::Vector<uint32_t>* buckets) {
  if (buckets == nullptr || buckets->size() != kDigestBuckets) {
    return std::nullopt;
  }
  BucketDigests digests{};
  for (size_t index = 0; index < kDigestBuckets; ++index) {
    digests[index] = buckets->Get(static_cast<flatbuffers::uoffset_t>(index));
  }
  return digests;
}

// @return false when an update is invalid.
bool decode_updates(const wire::Datagram& wire_datagram, std::vector<MemberUpdate>& updates) {
  if (wire_datagram.updates() == nullptr) {
    return true;
  }
  for (const wire::MemberUpdate* wire_update : *wire_datagram.updates()) {
    std::optional<MemberUpdate> update = decode_update(*wire_update);
    if (!update) {
      return false;
    }
    updates.push_back(std::move(*update));
  }
  return true;
}

void decode_entries(const wire::Datagram& wire_datagram, std::vector<GossipEntry>& entries) {
  if (wire_datagram.entries() == nullptr) {
    return;
  }
  for (const wire::GossipEntry* entry : *wire_datagram.entries()) {
    entries.push_back(
        {entry->kind()->str(), entry->key()->str(), entry->version(), text_of(entry->value())});
  }
}

const wire::Datagram* verified_root(std::string_view body) {
  const auto* data = reinterpret_cast<const uint8_t*>(body.data());
  flatbuffers::Verifier verifier(data, body.size(), kMaxVerifiedDepth, kMaxVerifiedTables);
  return wire::VerifyDatagramBuffer(verifier) ? wire::GetDatagram(data) : nullptr;
}

}  // namespace

std::string_view datagram_kind_name(DatagramKind kind) {
  switch (kind) {
    case DatagramKind::kPing:
      return "ping";
    case DatagramKind::kAck:
      return "ack";
    case DatagramKind::kPingRequest:
      return "ping_request";
    case DatagramKind::kNack:
      return "nack";
    case DatagramKind::kGossip:
      return "gossip";
    case DatagramKind::kSyncRequest:
      return "sync_request";
    case DatagramKind::kSyncResponse:
      return "sync_response";
    case DatagramKind::kSyncPage:
      return "sync_page";
  }
  return "unknown";
}

std::string encode_datagram(const Datagram& datagram) {
  flatbuffers::FlatBufferBuilder builder(1024);
  std::vector<flatbuffers::Offset<wire::MemberUpdate>> updates;
  for (const MemberUpdate& update : datagram.updates) {
    updates.push_back(encode_update(builder, update.member));
  }
  std::vector<flatbuffers::Offset<wire::GossipEntry>> entries;
  for (const GossipEntry& entry : datagram.entries) {
    entries.push_back(encode_entry(builder, entry));
  }
  const auto sender = builder.CreateString(datagram.sender);
  const StringOffset target = shared_string(builder, datagram.target);
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::MemberUpdate>>> update_vector;
  flatbuffers::Offset<flatbuffers::Vector<flatbuffers::Offset<wire::GossipEntry>>> entry_vector;
  flatbuffers::Offset<flatbuffers::Vector<uint32_t>> member_buckets;
  flatbuffers::Offset<flatbuffers::Vector<uint32_t>> entry_buckets;
  if (!updates.empty()) {
    update_vector = builder.CreateVector(updates);
  }
  if (!entries.empty()) {
    entry_vector = builder.CreateVector(entries);
  }
  if (datagram.member_buckets) {
    member_buckets = builder.CreateVector(datagram.member_buckets->data(), kDigestBuckets);
  }
  if (datagram.entry_buckets) {
    entry_buckets = builder.CreateVector(datagram.entry_buckets->data(), kDigestBuckets);
  }
  builder.Finish(wire::CreateDatagram(builder, static_cast<uint8_t>(datagram.kind),
                                      datagram.sequence, sender, target, datagram.view_digest,
                                      datagram.introduce, datagram.caught_up, datagram.pages,
                                      update_vector, entry_vector, member_buckets, entry_buckets));
  std::string bytes(reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize());
  const Checksum checksum = checksum_of(bytes);
  bytes.append(reinterpret_cast<const char*>(&checksum), sizeof(checksum));
  return bytes;
}

std::optional<Datagram> decode_datagram(std::string_view bytes, bool check) {
  if (bytes.size() <= sizeof(Checksum)) {
    return std::nullopt;
  }
  const std::string_view body = bytes.substr(0, bytes.size() - sizeof(Checksum));
  Checksum checksum = 0;
  std::memcpy(&checksum, bytes.data() + body.size(), sizeof(checksum));
  if (check && checksum != checksum_of(body)) {
    return std::nullopt;
  }
  const wire::Datagram* root = verified_root(body);
  if (root == nullptr || root->kind() >= kDatagramKinds || root->sender()->size() == 0) {
    return std::nullopt;
  }
  Datagram datagram;
  datagram.kind = static_cast<DatagramKind>(root->kind());
  datagram.sequence = root->sequence();
  datagram.sender = root->sender()->str();
  datagram.target = text_of(root->target());
  datagram.view_digest = root->view_digest();
  datagram.introduce = root->introduce();
  datagram.caught_up = root->caught_up();
  datagram.pages = root->pages();
  datagram.member_buckets = decode_buckets(root->member_buckets());
  datagram.entry_buckets = decode_buckets(root->entry_buckets());
  if (!decode_updates(*root, datagram.updates)) {
    return std::nullopt;
  }
  decode_entries(*root, datagram.entries);
  return datagram;
}

std::optional<DatagramKind> peek_datagram_kind(std::string_view bytes) {
  if (bytes.size() <= sizeof(Checksum)) {
    return std::nullopt;
  }
  const wire::Datagram* root = verified_root(bytes.substr(0, bytes.size() - sizeof(Checksum)));
  if (root == nullptr || root->kind() >= kDatagramKinds) {
    return std::nullopt;
  }
  return static_cast<DatagramKind>(root->kind());
}

size_t encoded_size_bound(const MemberUpdate& update) {
  const Member& member = update.member;
  size_t strings = member.id.size() + kStringOverheadBytes;
  if (carries_addresses(member)) {
    strings += member.http_address.ip.size() + kStringOverheadBytes;
    strings += member.peer_address.ip.size() + kStringOverheadBytes;
    strings += member.zone.size() + kStringOverheadBytes;
    strings += member.region.size() + kStringOverheadBytes;
  }
  return kUpdateTableBytes + strings;
}

size_t encoded_size_bound(const GossipEntry& entry) {
  const size_t strings = entry.kind.size() + entry.key.size() + entry.value.size();
  return kEntryTableBytes + strings + 3 * kStringOverheadBytes;
}

size_t encoded_header_bound(const NodeId& sender, const NodeId& target) {
  return kHeaderTableBytes + sender.size() + target.size() + 2 * kStringOverheadBytes +
         sizeof(Checksum);
}

}  // namespace chalkshed
