// Failure detector: probes, indirect probes, suspicions and their deadlines.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <set>

#include "src/core/random.h"
#include "src/core/time.h"
#include "src/membership/datagram.h"
#include "src/membership/datagram_sender.h"
#include "src/membership/member_table.h"
#include "src/membership/membership_knobs.h"
#include "src/membership/probe_schedule.h"

namespace chalkshed {

class FailureDetector {
 public:
  // @param on_changed called with the id of each member whose state the detector changes.
  FailureDetector(MemberTable& table, DatagramSender& sender, ProbeSchedule& schedule,
                  const MembershipKnobs& knobs, std::function<void(const NodeId&)> on_changed);

  // Sends the probes that are due and handles all expired deadlines.
  void tick(MonotonicTime now);

  void on_ack(const Datagram& ack);
  void on_nack(const Datagram& nack);
  void on_ping_request(const Address& from, const Datagram& request, MonotonicTime now);

  // Starts the deadline of a suspicion that another node raised.
  void watch_suspect(const NodeId& id, MonotonicTime now);
  // Probes a live member that a sync claims to be suspect or dead, and sends it the claim.
  void dispute(const NodeId& id, uint64_t incarnation);
  // Pings a member that is considered dead, or a node that is only in the machine list. No timeout
  // is attached to the ping.
  void contact(const NodeId& id, const Address& address);
  // This node did not run for `lateness`, which explains every missing response.
  void on_stall(Duration lateness);

  // The local health score, 0 if healthy. Timeouts are multiplied by the score plus one.
  uint32_t local_health() const { return local_health_; }

 private:
  struct Probe {
    NodeId target;
    MonotonicTime indirect_at;
    MonotonicTime deadline;
    bool indirect_sent = false;
    bool helper_responded = false;
  };
  // A ping that is sent for another member's ping request.
  struct Relay {
    NodeId target;
    Address origin;
    uint32_t origin_sequence = 0;
    MonotonicTime deadline;
  };

  void start_probe(const MemberRecord& record, uint64_t claimed_incarnation, MonotonicTime now);
  void send_ping(const Address& to, const NodeId& target, uint32_t sequence,
                 uint64_t claimed_incarnation);
  void send_response(DatagramKind kind, const Address& to, uint32_t sequence, const NodeId& target);
  void check_probes(MonotonicTime now);
  void send_ping_requests(uint32_t sequence, Probe& probe);
  void on_probe_failed(const Probe& probe, MonotonicTime now);
  void check_relays(MonotonicTime now);
  void check_suspects(MonotonicTime now);
  void probe_disputed(MonotonicTime now);
  void raise_local_health();
  Duration scaled(Duration timeout) const { return timeout * (1 + local_health_); }

  MemberTable& table_;
  DatagramSender& sender_;
  ProbeSchedule& schedule_;
  const MembershipKnobs& knobs_;
  std::function<void(const NodeId&)> on_changed_;

  uint32_t next_sequence_ = 1;
  MonotonicTime next_probe_;
  std::map<uint32_t, Probe> probes_;
  std::map<uint32_t, Relay> relays_;
  std::set<NodeId> suspects_;
  std::map<NodeId, uint64_t> disputes_;  // claimed incarnation
  uint32_t local_health_ = 0;
};

}  // namespace chalkshed
