#include "src/membership/failure_detector.h"

#include <algorithm>
#include <utility>
#include <vector>

namespace chalkshed {
namespace {

constexpr uint64_t kNoClaim = 0;
constexpr size_t kMaxRelays = 256;

}  // namespace

FailureDetector::FailureDetector(MemberTable& table, DatagramSender& sender,
                                 ProbeSchedule& schedule, const MembershipKnobs& knobs,
                                 std::function<void(const NodeId&)> on_changed)
    : table_(table),
      sender_(sender),
      schedule_(schedule),
      knobs_(knobs),
      on_changed_(std::move(on_changed)) {}

void FailureDetector::tick(MonotonicTime now) {
  check_probes(now);
  check_relays(now);
  check_suspects(now);
  probe_disputed(now);
  if (now < next_probe_) {
    return;
  }
  next_probe_ = now + knobs_.probe_interval;
  const MemberRecord* target = schedule_.next(table_);
  if (target != nullptr) {
    start_probe(*target, kNoClaim, now);
  }
}

void FailureDetector::start_probe(const MemberRecord& record, uint64_t claimed_incarnation,
                                  MonotonicTime now) {
  const uint32_t sequence = next_sequence_++;
  Probe probe;
  probe.target = record.member.id;
  probe.indirect_at = now + scaled(knobs_.ack_timeout);
  probe.deadline = now + scaled(knobs_.probe_timeout);
  probes_.emplace(sequence, std::move(probe));
  send_ping(record.member.peer_address, record.member.id, sequence, claimed_incarnation);
}

void FailureDetector::send_ping(const Address& to, const NodeId& target, uint32_t sequence,
                                uint64_t claimed_incarnation) {
  Datagram ping;
  ping.kind = DatagramKind::kPing;
  ping.sequence = sequence;
  ping.target = target;
  // Includes a suspect or dead claim in the ping, so that the member can refute it.
  const MemberRecord* record = table_.find(target);
  const bool accused = record != nullptr && (record->suspect() || record->dead());
  if (accused) {
    ping.updates.push_back({record->member});
  } else if (claimed_incarnation != kNoClaim) {
    Member claim;
    claim.id = target;
    claim.incarnation = claimed_incarnation;
    claim.state = MemberState::kSuspect;
    ping.updates.push_back({claim});
  }
  ping.introduce = record == nullptr || record->dead();
  sender_.send_probe(to, std::move(ping));
}

void FailureDetector::send_response(DatagramKind kind, const Address& to, uint32_t sequence,
                                    const NodeId& target) {
  Datagram response;
  response.kind = kind;
  response.sequence = sequence;
  response.target = target;
  sender_.send_probe(to, std::move(response));
}

void FailureDetector::on_ack(const Datagram& ack) {
  const auto relay = relays_.find(ack.sequence);
  if (relay != relays_.end() && relay->second.target == ack.sender) {
    send_response(DatagramKind::kAck, relay->second.origin, relay->second.origin_sequence,
                  relay->second.target);
    relays_.erase(relay);
    return;
  }
  const auto probe = probes_.find(ack.sequence);
  if (probe == probes_.end()) {
    return;
  }
  const bool from_target = ack.sender == probe->second.target;
  const bool on_its_behalf = ack.target == probe->second.target;
  if (from_target || on_its_behalf) {
    probes_.erase(probe);
    local_health_ -= local_health_ > 0 ? 1 : 0;
  }
}

void FailureDetector::on_nack(const Datagram& nack) {
  const auto probe = probes_.find(nack.sequence);
  if (probe != probes_.end() && probe->second.target == nack.target) {
    probe->second.helper_responded = true;
  }
}

void FailureDetector::on_ping_request(const Address& from, const Datagram& request,
                                      MonotonicTime now) {
  const MemberRecord* target = table_.find(request.target);
  if (target == nullptr || relays_.size() >= kMaxRelays) {
    send_response(DatagramKind::kNack, from, request.sequence, request.target);
    return;
  }
  const uint32_t sequence = next_sequence_++;
  relays_.emplace(sequence,
                  Relay{request.target, from, request.sequence, now + knobs_.ack_timeout});
  send_ping(target->member.peer_address, request.target, sequence, kNoClaim);
}

void FailureDetector::check_probes(MonotonicTime now) {
  std::vector<Probe> failed;
  for (auto at = probes_.begin(); at != probes_.end();) {
    Probe& probe = at->second;
    if (now >= probe.deadline) {
      failed.push_back(std::move(probe));
      at = probes_.erase(at);
      continue;
    }
    if (now >= probe.indirect_at && !probe.indirect_sent && knobs_.safeguards.indirect_probes) {
      send_ping_requests(at->first, probe);
    }
    ++at;
  }
  for (const Probe& probe : failed) {
    on_probe_failed(probe, now);
  }
}

void FailureDetector::send_ping_requests(uint32_t sequence, Probe& probe) {
  probe.indirect_sent = true;
  for (const MemberRecord* helper :
       schedule_.sample(table_, knobs_.indirect_probes, probe.target)) {
    Datagram request;
    request.kind = DatagramKind::kPingRequest;
    request.sequence = sequence;
    request.target = probe.target;
    sender_.send_probe(helper->member.peer_address, std::move(request));
  }
}

void FailureDetector::on_probe_failed(const Probe& probe, MonotonicTime now) {
  if (probe.indirect_sent && !probe.helper_responded) {
    raise_local_health();
  }
  MemberRecord* record = table_.find(probe.target);
  if (record == nullptr || record->dead() || record->suspected_here) {
    return;
  }
  if (!knobs_.safeguards.suspicion) {
    table_.declare_dead(*record, now);
    on_changed_(probe.target);
    return;
  }
  const bool newly_suspected = !record->suspect();
  const MonotonicTime deadline = now + scaled(knobs_.suspicion_timeout);
  if (newly_suspected) {
    table_.suspect(*record);
    record->suspicion_deadline = deadline;
  } else {
    record->suspicion_deadline = std::min(record->suspicion_deadline, deadline);
  }
  record->suspected_here = true;
  record->next_challenge = now;
  suspects_.insert(probe.target);
  if (newly_suspected) {
    on_changed_(probe.target);
  }
}

void FailureDetector::check_relays(MonotonicTime now) {
  for (auto at = relays_.begin(); at != relays_.end();) {
    const Relay& relay = at->second;
    if (now < relay.deadline) {
      ++at;
      continue;
    }
    send_response(DatagramKind::kNack, relay.origin, relay.origin_sequence, relay.target);
    at = relays_.erase(at);
  }
}

void FailureDetector::watch_suspect(const NodeId& id, MonotonicTime now) {
  MemberRecord* record = table_.find(id);
  if (record == nullptr || !record->suspect()) {
    return;
  }
  // The node that raised the suspicion declares the death first. This node does so only if it has
  // received no such update, and after pinging the suspect itself.
  record->suspicion_deadline = now + scaled(knobs_.suspicion_timeout + knobs_.suspicion_backup);
  record->next_challenge = record->suspicion_deadline - knobs_.suspicion_backup / 2;
  suspects_.insert(id);
}

void FailureDetector::check_suspects(MonotonicTime now) {
  for (auto at = suspects_.begin(); at != suspects_.end();) {
    const NodeId id = *at;
    MemberRecord* record = table_.find(id);
    if (record == nullptr || !record->suspect()) {
      at = suspects_.erase(at);
      continue;
    }
    if (now >= record->suspicion_deadline) {
      at = suspects_.erase(at);
      table_.declare_dead(*record, now);
      on_changed_(id);
      continue;
    }
    if (now >= record->next_challenge) {
      record->next_challenge = now + knobs_.probe_interval;
      send_ping(record->member.peer_address, id, next_sequence_++, kNoClaim);
    }
    ++at;
  }
}

void FailureDetector::dispute(const NodeId& id, uint64_t incarnation) {
  uint64_t& claimed = disputes_[id];
  claimed = std::max(claimed, incarnation);
}

void FailureDetector::probe_disputed(MonotonicTime now) {
  for (uint32_t sent = 0; sent < knobs_.disputes_per_tick && !disputes_.empty();) {
    const auto [id, incarnation] = *disputes_.begin();
    disputes_.erase(disputes_.begin());
    const MemberRecord* record = table_.find(id);
    const bool open = record != nullptr && !record->dead() && !record->suspect() &&
                      record->member.incarnation <= incarnation;
    if (open) {
      start_probe(*record, incarnation, now);
      ++sent;
    }
  }
}

void FailureDetector::contact(const NodeId& id, const Address& address) {
  send_ping(address, id, next_sequence_++, kNoClaim);
}

void FailureDetector::on_stall(Duration lateness) {
  probes_.clear();
  relays_.clear();
  local_health_ = knobs_.max_local_health;
  for (const NodeId& id : suspects_) {
    MemberRecord* record = table_.find(id);
    if (record != nullptr && record->suspect()) {
      record->suspicion_deadline += lateness + knobs_.suspicion_timeout;
    }
  }
}

void FailureDetector::raise_local_health() {
  if (knobs_.safeguards.local_health) {
    local_health_ = std::min(local_health_ + 1, knobs_.max_local_health);
  }
}

}  // namespace chalkshed
