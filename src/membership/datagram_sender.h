// Sends datagrams, filled with as many rumours as fit, within a byte budget.
#pragma once

#include <string>

#include "src/core/time.h"
#include "src/membership/datagram.h"
#include "src/membership/gossip_store.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_knobs.h"
#include "src/membership/rumour_queue.h"
#include "src/membership/traffic.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

class DatagramSender {
 public:
  DatagramSender(const MemberTable& table, const GossipStore& store, const MembershipKnobs& knobs,
                 const TimeSource& time_source, DatagramTransport& transport,
                 TrafficRecorder& recorder);

  // Queues the newest state of a member, or an entry, for gossip.
  void spread_member(const NodeId& id);
  void spread_entry(const GossipKey& key);
  bool has_rumours() const;

  // Sends a probe or its response; the digest and rumours are added.
  // @param receiver_agrees whether the receiver's digest is known to equal this node's. In that
  // case it lacks at most suspicions and expiring entries, and all other rumours count as sent.
  void send_probe(const Address& to, Datagram datagram, bool receiver_agrees = false);
  // Sends a datagram of rumours only, if there are any. @return false when nothing was sent.
  bool send_gossip(const Address& to);
  // Sends the datagram without adding a digest or rumours.
  void send_plain(const Address& to, Datagram datagram);

  // A digest that is equal on nodes with the same view and the same persistent entries.
  uint64_t view_digest() const;
  // @return whether the byte budget for dedicated rumour datagrams allows one now.
  bool budget_left();

 private:
  void add_rumours(Datagram& datagram, size_t size_limit, bool receiver_agrees);
  void add_entries(Datagram& datagram, RumourQueue& queue, size_t& room, uint32_t limit,
                   bool receiver_agrees);
  uint32_t transmit_limit() const;
  void refill_budget();

  const MemberTable& table_;
  const GossipStore& store_;
  const MembershipKnobs& knobs_;
  const TimeSource& time_source_;
  DatagramTransport& transport_;
  TrafficRecorder& recorder_;

  // In order of priority: time-critical entries, members, all other entries.
  RumourQueue urgent_rumours_;
  RumourQueue member_rumours_;
  RumourQueue entry_rumours_;
  double budget_bytes_;
  MonotonicTime budget_filled_at_;
};

}  // namespace chalkshed
