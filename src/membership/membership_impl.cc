#include "src/membership/membership_impl.h"

#include <algorithm>
#include <utility>

namespace chalkshed {
namespace {

constexpr Duration kHousekeepingInterval = std::chrono::seconds(1);

Member member_of(const NodeIdentity& identity) {
  Member member;
  member.id = identity.id;
  member.http_address = identity.http_address;
  member.peer_address = identity.peer_address;
  member.zone = identity.zone;
  member.region = identity.region;
  member.incarnation = identity.incarnation;
  return member;
}

}  // namespace

MembershipImpl::MembershipImpl(const NodeIdentity& identity, NodeDependencies& dependencies,
                               MembershipKnobs knobs)
    : dependencies_(dependencies),
      knobs_(knobs),
      recorder_(dependencies.metrics),
      table_(member_of(identity)),
      store_(knobs_),
      sender_(table_, store_, knobs_, dependencies.time_source, dependencies.datagrams, recorder_),
      schedule_(dependencies.random),
      detector_(table_, sender_, schedule_, knobs_,
                [this](const NodeId& id) { on_member_changed(id); }),
      sync_(table_, store_, sender_, dependencies.random, knobs_),
      catch_up_(knobs_.catch_up_timeout),
      members_gauge_(dependencies.metrics.gauge("chalkshed_members",
                                                "Members not dead, this node included", {})),
      timer_(dependencies.dispatcher.create_timer([this] { on_tick(); })) {}

MembershipImpl::~MembershipImpl() {
  if (started_) {
    dependencies_.datagrams.set_receiver(nullptr);
  }
}

void MembershipImpl::start() {
  started_ = true;
  last_tick_ = dependencies_.time_source.monotonic_now();
  dependencies_.datagrams.set_receiver(
      [this](const Address& from, std::string_view bytes) { on_datagram(from, bytes); });
  sender_.spread_member(table_.self().id);
  fetch_list(last_tick_);
  // A random first delay spreads the work of nodes that start together over the tick.
  const auto tick = static_cast<uint64_t>(knobs_.tick.count());
  timer_->enable(Duration(static_cast<int64_t>(dependencies_.random.below(tick))));
}

void MembershipImpl::leave(std::function<void()> done) {
  on_left_ = std::move(done);
  left_at_ = dependencies_.time_source.monotonic_now() + knobs_.leave_announcement;
  table_.update_self(table_.self().incarnation + 1, MemberState::kLeaving);
  on_member_changed(table_.self().id);
}

void MembershipImpl::subscribe(std::function<void()> callback) {
  view_subscribers_.push_back(std::move(callback));
}

void MembershipImpl::publish(GossipEntry entry) {
  const GossipKey key{entry.kind, entry.key};
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  switch (store_.merge(entry, now)) {
    case GossipMerge::kStored:
      sender_.spread_entry(key);
      sync_.on_view_changed(now);
      break;
    case GossipMerge::kKnown:
      break;
    case GossipMerge::kRefused:
      recorder_.entry_refused();
      dependencies_.logger.write(LogLevel::kWarning, "gossip_entry_refused",
                                 {{"kind", entry.kind}, {"key", entry.key}});
      break;
  }
}

std::optional<GossipEntry> MembershipImpl::find(const std::string& kind,
                                                const std::string& key) const {
  const GossipEntry* entry = store_.find({kind, key});
  return entry == nullptr ? std::nullopt : std::optional<GossipEntry>(*entry);
}

std::vector<GossipEntry> MembershipImpl::entries(const std::string& kind) const {
  return store_.entries(kind);
}

void MembershipImpl::subscribe(std::string kind, std::function<void(const GossipEntry&)> callback) {
  entry_subscribers_[std::move(kind)].push_back(std::move(callback));
}

void MembershipImpl::on_tick() {
  timer_->enable(knobs_.tick);
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  detect_stall(now);
  detector_.tick(now);
  sync_.tick(now);
  catch_up_.tick(now);
  if (catch_up_.done() && !std::exchange(caught_up_notified_, true)) {
    schedule_notification();
  }
  gossip(now);
  contact_missing(now);
  housekeeping(now);
  fetch_list(now);
}

void MembershipImpl::detect_stall(MonotonicTime now) {
  const Duration lateness = now - last_tick_ - knobs_.tick;
  last_tick_ = now;
  if (lateness < knobs_.stall_threshold || !knobs_.safeguards.local_health) {
    return;
  }
  detector_.on_stall(lateness);
  const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(lateness);
  dependencies_.logger.write(LogLevel::kWarning, "node_was_frozen",
                             {{"milliseconds", std::to_string(milliseconds.count())}});
}

void MembershipImpl::gossip(MonotonicTime now) {
  if (now < next_gossip_) {
    return;
  }
  next_gossip_ = now + knobs_.gossip_interval;
  if (!sender_.has_rumours()) {
    return;
  }
  for (const MemberRecord* target : schedule_.sample(table_, knobs_.gossip_fanout, "")) {
    if (!sender_.budget_left() || !sender_.send_gossip(target->member.peer_address)) {
      return;
    }
  }
}

// Until it has caught up, and while it knows no other member, the node requests the full state from
// candidates. Afterwards it periodically contacts one missing candidate, in order to detect a
// healed partition or a stale machine list.
void MembershipImpl::contact_missing(MonotonicTime now) {
  if (now < next_contact_) {
    return;
  }
  const bool joining = table_.live_count() == 1 || !catch_up_.done();
  next_contact_ = now + (joining ? knobs_.join_interval : knobs_.retry_dead_interval);
  if (!joining && !knobs_.safeguards.retry_dead) {
    return;
  }
  std::vector<Candidate> candidates = missing_candidates();
  const size_t wanted = joining ? knobs_.join_candidates : 1;
  for (size_t count = 0; count < wanted && !candidates.empty(); ++count) {
    const size_t chosen = dependencies_.random.below(candidates.size());
    const Candidate candidate = candidates[chosen];
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(chosen));
    detector_.contact(candidate.id, candidate.peer_address);
    if (joining) {
      sync_.request(candidate.peer_address, now);
    }
  }
  if (catch_up_.done()) {
    return;
  }
  for (const MemberRecord* member : schedule_.sample(table_, knobs_.join_candidates, "")) {
    sync_.request(member->member.peer_address, now);
  }
}

std::vector<MembershipImpl::Candidate> MembershipImpl::missing_candidates() const {
  std::vector<Candidate> candidates;
  for (const auto& [id, candidate] : listed_) {
    if (table_.find(id) == nullptr) {
      candidates.push_back(candidate);
    }
  }
  for (const auto& [id, record] : table_.others()) {
    // A member that announced its leave is expected to be gone.
    if (record.dead() && !record.leaving) {
      candidates.push_back({id, record.member.peer_address});
    }
  }
  return candidates;
}

void MembershipImpl::housekeeping(MonotonicTime now) {
  if (now < next_housekeeping_) {
    return;
  }
  next_housekeeping_ = now + kHousekeepingInterval;
  table_.forget_dead(now, knobs_.tombstone_retention);
  store_.expire(now);
  members_gauge_.set(static_cast<double>(table_.live_count()));
  if (on_left_ && now >= left_at_) {
    std::exchange(on_left_, nullptr)();
  }
}

void MembershipImpl::fetch_list(MonotonicTime now) {
  if (now < next_list_fetch_) {
    return;
  }
  const Duration interval =
      table_.live_count() == 1 ? knobs_.list_retry_interval : knobs_.list_interval;
  // Between 0.5 and 1.5 intervals, so that nodes do not fetch the list at the same time.
  const auto jitter =
      static_cast<int64_t>(dependencies_.random.below(static_cast<uint64_t>(interval.count())));
  next_list_fetch_ = now + interval / 2 + Duration(jitter);
  dependencies_.machine_list.fetch(
      lifetime_.guard([this](Expected<MachineListSnapshot> list) { on_list(std::move(list)); }));
}

void MembershipImpl::on_list(Expected<MachineListSnapshot> list) {
  if (!list) {
    dependencies_.logger.write(LogLevel::kWarning, "machine_list_unavailable",
                               {{"error", list.error().message}});
    return;
  }
  listed_.clear();
  for (const Machine& machine : list->machines) {
    const bool other_node = machine.role == MachineRole::kNode && machine.id != table_.self().id;
    if (other_node && machine.peer_address != table_.self().peer_address) {
      listed_[machine.id] = {machine.id, machine.peer_address};
    }
  }
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  catch_up_.on_candidates(listed_.size(), now);
  if (table_.live_count() == 1) {
    next_contact_ = now;
    contact_missing(now);
  }
}

void MembershipImpl::on_datagram(const Address& from, std::string_view bytes) {
  const std::optional<Datagram> datagram =
      decode_datagram(bytes, knobs_.safeguards.datagram_checksum);
  if (!datagram || datagram->sender == table_.self().id) {
    recorder_.dropped();
    return;
  }
  recorder_.received(datagram->kind, bytes.size());
  const bool sender_was_dead = believed_dead(datagram->sender);
  const bool self_accused = merge_updates(*datagram);
  merge_entries(*datagram);
  dispatch(from, *datagram, self_accused);
  if (sender_was_dead && !believed_dead(datagram->sender)) {
    sync_.on_revived(from, dependencies_.time_source.monotonic_now());
  }
}

bool MembershipImpl::believed_dead(const NodeId& id) const {
  const MemberRecord* record = table_.find(id);
  return record != nullptr && record->dead();
}

void MembershipImpl::dispatch(const Address& from, const Datagram& datagram, bool self_accused) {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  switch (datagram.kind) {
    case DatagramKind::kPing:
      on_ping(from, datagram, self_accused);
      return;
    case DatagramKind::kAck:
      detector_.on_ack(datagram);
      sync_.on_view_digest(from, datagram.view_digest, now);
      break;
    case DatagramKind::kPingRequest:
      detector_.on_ping_request(from, datagram, now);
      break;
    case DatagramKind::kNack:
      detector_.on_nack(datagram);
      break;
    case DatagramKind::kGossip:
      break;
    case DatagramKind::kSyncPage:
      catch_up_.on_page(from, datagram.sequence);
      break;
    case DatagramKind::kSyncRequest:
      sync_.on_request(from, datagram, catch_up_.done());
      break;
    case DatagramKind::kSyncResponse:
      catch_up_.on_response(from, datagram, now);
      sync_.on_response(from, datagram);
      break;
  }
  if (datagram.introduce) {
    introduce_to(from);
  }
}

void MembershipImpl::on_ping(const Address& from, const Datagram& ping, bool self_accused) {
  // The address may have belonged to another node before, for which the ping is meant.
  if (ping.target != table_.self().id) {
    return;
  }
  Datagram ack;
  ack.kind = DatagramKind::kAck;
  ack.sequence = ping.sequence;
  if (self_accused || ping.introduce) {
    ack.updates.push_back({table_.self()});
  }
  const MemberRecord* sender = table_.find(ping.sender);
  const bool accused = sender != nullptr && (sender->dead() || sender->suspect());
  if (accused) {
    ack.updates.push_back({sender->member});
  }
  ack.introduce = sender == nullptr || sender->dead();
  const bool agrees = ping.view_digest == sender_.view_digest();
  sender_.send_probe(from, std::move(ack), agrees);
  sync_.on_view_digest(from, ping.view_digest, dependencies_.time_source.monotonic_now());
}

void MembershipImpl::introduce_to(const Address& to) {
  Datagram introduction;
  introduction.kind = DatagramKind::kGossip;
  introduction.updates.push_back({table_.self()});
  sender_.send_plain(to, std::move(introduction));
}

bool MembershipImpl::merge_updates(const Datagram& datagram) {
  const ClaimSource source =
      datagram.kind == DatagramKind::kSyncPage ? ClaimSource::kSync : ClaimSource::kRumour;
  bool self_accused = false;
  for (const MemberUpdate& update : datagram.updates) {
    if (update.member.id == table_.self().id) {
      self_accused = merge_claim_about_self(update.member) || self_accused;
    } else {
      merge_claim(update.member, source);
    }
  }
  return self_accused;
}

bool MembershipImpl::merge_claim_about_self(const Member& claim) {
  const Member& self = table_.self();
  const bool accused = claim.state == MemberState::kSuspect || claim.state == MemberState::kDead;
  // An incarnation above the node's own dates from before a restart with the clock set back.
  const bool must_refute =
      claim.incarnation > self.incarnation || (accused && claim.incarnation == self.incarnation);
  if (must_refute && knobs_.safeguards.refutation) {
    table_.update_self(claim.incarnation + 1, self.state);
    on_member_changed(self.id);
  }
  return accused;
}

void MembershipImpl::merge_claim(const Member& claim, ClaimSource source) {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  const MergeOutcome outcome = table_.merge(claim, source, now);
  switch (outcome) {
    case MergeOutcome::kIgnored:
      return;
    case MergeOutcome::kDisputed:
      detector_.dispute(claim.id, claim.incarnation);
      return;
    case MergeOutcome::kAdded:
    case MergeOutcome::kChanged:
      break;
  }
  detector_.watch_suspect(claim.id, now);
  // The content of a sync is already widely known and need not be gossiped again.
  if (source == ClaimSource::kRumour) {
    sender_.spread_member(claim.id);
  }
  sync_.on_view_changed(now);
  log_state(claim);
  schedule_notification();
}

void MembershipImpl::merge_entries(const Datagram& datagram) {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  for (const GossipEntry& entry : datagram.entries) {
    const GossipMerge outcome = store_.merge(entry, now);
    if (outcome == GossipMerge::kRefused) {
      recorder_.entry_refused();
    }
    if (outcome != GossipMerge::kStored) {
      continue;
    }
    if (datagram.kind != DatagramKind::kSyncPage) {
      sender_.spread_entry({entry.kind, entry.key});
    }
    sync_.on_view_changed(now);
    const auto subscribers = entry_subscribers_.find(entry.kind);
    if (subscribers == entry_subscribers_.end()) {
      continue;
    }
    for (const auto& subscriber : subscribers->second) {
      subscriber(entry);
    }
  }
}

void MembershipImpl::on_member_changed(const NodeId& id) {
  sender_.spread_member(id);
  sync_.on_view_changed(dependencies_.time_source.monotonic_now());
  const MemberRecord* record = table_.find(id);
  log_state(record == nullptr ? table_.self() : record->member);
  schedule_notification();
}

void MembershipImpl::log_state(const Member& member) {
  dependencies_.logger.write(LogLevel::kInfo, "member_state",
                             {{"member", member.id},
                              {"state", std::string(member_state_name(member.state))},
                              {"incarnation", std::to_string(member.incarnation)}});
}

void MembershipImpl::schedule_notification() {
  if (notification_pending_) {
    return;
  }
  notification_pending_ = true;
  dependencies_.dispatcher.post(lifetime_.guard([this] {
    notification_pending_ = false;
    for (const auto& subscriber : view_subscribers_) {
      subscriber();
    }
  }));
}

}  // namespace chalkshed
