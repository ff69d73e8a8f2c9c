#include "src/membership/datagram_sender.h"

#include <algorithm>
#include <cmath>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

// Kinds that have to reach every node within a time limit. They are sent first.
constexpr std::array<std::string_view, 2> kUrgentKinds{"configuration_head", "drain_mark"};
// The suspecting node notifies the suspect directly, so a suspicion need not reach every member: it
// is sent this many times less often than other updates.
constexpr uint32_t kSuspicionShare = 3;
// Separates kind and key in the queue name of an entry.
constexpr char kSeparator = '\0';

std::string queue_name(const GossipKey& key) { return key.kind + kSeparator + key.key; }

// Hardly any rumour fits into less space than this.
constexpr size_t kMinRumourBytes = 160;

Offer does_not_fit(size_t room) { return room < kMinRumourBytes ? Offer::kStop : Offer::kSkipped; }

GossipKey key_of(const std::string& name) {
  const size_t separator = name.find(kSeparator);
  return {name.substr(0, separator), name.substr(separator + 1)};
}

}  // namespace

DatagramSender::DatagramSender(const MemberTable& table, const GossipStore& store,
                               const MembershipKnobs& knobs, const TimeSource& time_source,
                               DatagramTransport& transport, TrafficRecorder& recorder)
    : table_(table),
      store_(store),
      knobs_(knobs),
      time_source_(time_source),
      transport_(transport),
      recorder_(recorder),
      budget_bytes_(knobs.gossip_burst_bytes),
      budget_filled_at_(time_source.monotonic_now()) {}

void DatagramSender::spread_member(const NodeId& id) {
  const MemberRecord* record = table_.find(id);
  const bool suspicion = record != nullptr && record->suspect();
  const uint32_t limit = transmit_limit();
  member_rumours_.add(id, suspicion ? limit - limit / kSuspicionShare : 0);
}

void DatagramSender::spread_entry(const GossipKey& key) {
  const bool urgent =
      std::find(kUrgentKinds.begin(), kUrgentKinds.end(), key.kind) != kUrgentKinds.end();
  RumourQueue& queue = urgent ? urgent_rumours_ : entry_rumours_;
  queue.add(queue_name(key));
}

bool DatagramSender::has_rumours() const {
  return !urgent_rumours_.empty() || !member_rumours_.empty() || !entry_rumours_.empty();
}

void DatagramSender::send_probe(const Address& to, Datagram datagram, bool receiver_agrees) {
  datagram.view_digest = view_digest();
  const size_t room =
      budget_left() ? DatagramTransport::kMaxDatagramBytes : knobs_.probe_bytes_over_budget;
  add_rumours(datagram, room, receiver_agrees);
  send_plain(to, std::move(datagram));
}

bool DatagramSender::send_gossip(const Address& to) {
  Datagram datagram;
  datagram.kind = DatagramKind::kGossip;
  add_rumours(datagram, DatagramTransport::kMaxDatagramBytes, false);
  if (datagram.updates.empty() && datagram.entries.empty()) {
    return false;
  }
  send_plain(to, std::move(datagram));
  return true;
}

void DatagramSender::send_plain(const Address& to, Datagram datagram) {
  datagram.sender = table_.self().id;
  const std::string bytes = encode_datagram(datagram);
  // The size bounds are conservative; a larger datagram would mean a bug in them.
  if (bytes.size() > DatagramTransport::kMaxDatagramBytes) {
    recorder_.dropped();
    return;
  }
  recorder_.sent(datagram.kind, bytes.size());
  if (!datagram.updates.empty() || !datagram.entries.empty()) {
    budget_bytes_ -= static_cast<double>(bytes.size());
  }
  transport_.send(to, bytes);
}

uint64_t DatagramSender::view_digest() const {
  const auto bytes_of = [](const BucketDigests& digests) {
    return std::string_view(reinterpret_cast<const char*>(digests.data()),
                            digests.size() * sizeof(digests[0]));
  };
  return content_hash(bytes_of(table_.buckets()), content_hash(bytes_of(store_.buckets())));
}

bool DatagramSender::budget_left() {
  refill_budget();
  return budget_bytes_ > 0;
}

void DatagramSender::refill_budget() {
  const MonotonicTime now = time_source_.monotonic_now();
  const double seconds = std::chrono::duration<double>(now - budget_filled_at_).count();
  budget_filled_at_ = now;
  const double burst = knobs_.gossip_burst_bytes;
  budget_bytes_ += seconds * knobs_.gossip_bytes_per_second;
  budget_bytes_ = std::clamp(budget_bytes_, -burst, burst);
}

void DatagramSender::add_rumours(Datagram& datagram, size_t size_limit, bool receiver_agrees) {
  size_t used = encoded_header_bound(table_.self().id, datagram.target);
  for (const MemberUpdate& update : datagram.updates) {
    used += encoded_size_bound(update);
  }
  size_t room = size_limit > used ? size_limit - used : 0;
  const uint32_t limit = transmit_limit();
  add_entries(datagram, urgent_rumours_, room, limit, receiver_agrees);
  member_rumours_.offer_each(limit, [&](const std::string& id) {
    const MemberRecord* record = table_.find(id);
    MemberUpdate update{record == nullptr ? table_.self() : record->member};
    // Suspicions are not part of the digest, so an equal digest does not cover them.
    if (receiver_agrees && update.member.state != MemberState::kSuspect) {
      return Offer::kTaken;
    }
    const size_t size = encoded_size_bound(update);
    if (size > room) {
      return does_not_fit(room);
    }
    room -= size;
    datagram.updates.push_back(std::move(update));
    return Offer::kTaken;
  });
  add_entries(datagram, entry_rumours_, room, limit, receiver_agrees);
}

void DatagramSender::add_entries(Datagram& datagram, RumourQueue& queue, size_t& room,
                                 uint32_t limit, bool receiver_agrees) {
  queue.offer_each(limit, [&](const std::string& name) {
    const GossipEntry* entry = store_.find(key_of(name));
    if (entry == nullptr) {
      return Offer::kTaken;  // has expired; counted as sent until it is dropped
    }
    if (receiver_agrees && !gossip_kind_expires(entry->kind)) {
      return Offer::kTaken;
    }
    const size_t size = encoded_size_bound(*entry);
    if (size > room) {
      return does_not_fit(room);
    }
    room -= size;
    datagram.entries.push_back(*entry);
    return Offer::kTaken;
  });
}

uint32_t DatagramSender::transmit_limit() const {
  const double members = static_cast<double>(table_.live_count());
  const auto rounds = static_cast<uint32_t>(std::ceil(std::log10(members + 1)));
  return std::max(knobs_.transmit_multiplier * rounds, knobs_.min_transmissions);
}

}  // namespace chalkshed
