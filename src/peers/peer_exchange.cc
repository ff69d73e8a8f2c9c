#include "src/peers/peer_exchange.h"

#include <algorithm>
#include <charconv>

#include "src/core/digest.h"
#include "src/core/number_text.h"
#include "src/peers/node_name.h"
#include "src/worker_speed/speed_wire.h"

namespace chalkshed {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// A longer time between two ticks means that this process itself was suspended.
constexpr Duration kMinOwnPause = std::chrono::milliseconds(1000);

// Space for entries in the largest datagram, besides its head (the session's name and some
// numbers): a load or outcome entry takes 16 bytes, a speed entry 12, a job entry 24. Loads are
// most important and come first.
constexpr size_t kHeadBytes = 200;
constexpr size_t kEntryBytes = DatagramTransport::kMaxDatagramBytes - kHeadBytes;
constexpr size_t kBytesOfLoad = 16;
constexpr size_t kBytesOfRemainder = 24;
constexpr size_t kMaxLoads = 40;
constexpr size_t kMaxOutcomes = 16;
constexpr size_t kMaxSpeeds = 8;

}  // namespace

PeerExchange::PeerExchange(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store,
                           StoreClock& clock, DatagramTransport& datagrams, WorkerSet& workers,
                           Logger& logger, MetricsRegistry& metrics, PeerIdentity identity,
                           const PeerKnobs& knobs)
    : time_source_(time_source),
      store_(store),
      clock_(clock),
      datagrams_(datagrams),
      workers_(workers),
      logger_(logger),
      metrics_(metrics),
      identity_(std::move(identity)),
      knobs_(knobs),
      relay_(time_source, dispatcher, datagrams, workers, clock, logger, metrics,
             {identity_.node, identity_.session, identity_.zone, identity_.address,
              identity_.capacity, true, false, false},
             knobs.relays),
      tick_timer_(dispatcher.create_timer([this] { tick(); })),
      send_timer_(dispatcher.create_timer([this] { send_heartbeats(); })),
      announce_timer_(dispatcher.create_timer([this] { announce(); })),
      count_timer_(dispatcher.create_timer([this] { count_peers(); })) {
  datagrams_.set_receiver(lifetime_.guard(
      [this](const Address& /*from*/, std::string_view datagram) { receive(datagram); }));
}

void PeerExchange::start() {
  last_tick_ = time_source_.monotonic_now();
  last_heard_any_peer_ = last_tick_;
  store_contact_since_ = last_tick_;
  announce();
  tick();
}

void PeerExchange::announce() {
  const std::string value =
      encode_node_announcement({identity_.session, identity_.zone, identity_.address,
                                identity_.caller_port, identity_.capacity});
  const StoredRowKey own = {kNodeTable, "", identity_.node};
  StoreTransaction announcement;
  announcement.writes.push_back({own, value});
  if (own_announced_) {
    announcement.conditions.push_back({own, own_announcement_});
  }
  ++announce_attempts_;
  store_.commit(
      std::move(announcement), lifetime_.guard([this](const Expected<StoreCommit>& commit) {
        if (!commit) {
          announce_timer_->enable(announce_delay());
          return;
        }
        if (!commit->committed) {
          return;  // the row has changed again, which on_row() learns
        }
        own_announced_ = own_announced_.value_or(time_source_.monotonic_now());
        acknowledged_announcement_ = commit->stamp.version;
        logger_.write(
            LogLevel::kInfo, "node_announced",
            {{"session", identity_.session}, {"attempts", std::to_string(announce_attempts_)}});
      }));
}

// The window grows with the attempts: a node that is started alone, or among a few, waits no longer
// than necessary.
Duration PeerExchange::announce_delay() const {
  constexpr uint64_t kMostSteps = 3;
  const auto step = static_cast<int64_t>(std::min(announce_attempts_, kMostSteps));
  const Duration fleet = knobs_.announce_retry_per_node * static_cast<int64_t>(announced_nodes());
  const Duration window =
      std::max(knobs_.announce_retry, fleet) * step / static_cast<int64_t>(kMostSteps);
  const uint64_t draw = content_hash(identity_.session, announce_attempts_);
  const double share = static_cast<double>(draw >> 11U) * 0x1.0p-53;
  // A shorter delay would meet the same burst of calls that the store has just refused.
  constexpr Duration kLeast = std::chrono::milliseconds(50);
  return std::max(kLeast, std::chrono::duration_cast<Duration>(window * share));
}

node_announcement PeerExchange::announcement_in(const StoredRow& row) {
  if (row.removed) {
    return {};
  }
  const Expected<node_announcement> read = decode_node_announcement(row.value);
  if (read) {
    return *read;
  }
  metrics_
      .counter("chalkshed_announcements_rejected_total",
               "Rows of the node table that cannot be read.", {})
      .add(1);
  if (unreadable_rows_logged_.admit(time_source_.monotonic_now())) {
    logger_.write(LogLevel::kWarning, "announcement_rejected",
                  {{"peer", row.key.key},
                   {"store_version", std::to_string(row.version)},
                   {"reason", read.error().message},
                   {"remedy", read.error().remedy}});
  }
  return {};
}

// A write whose answer was lost may be done late: the announcement of an earlier process of this
// node then replaces that of this one. The pause bounds the writes if two processes claim the name
// of one node.
void PeerExchange::announce_again_if_replaced(const StoredRow& row) {
  const std::string session = announcement_in(row).session;
  const bool replaced =
      own_announced_ && row.version > acknowledged_announcement_ && session != identity_.session;
  if (!replaced || draining_ || announce_timer_->enabled()) {
    return;
  }
  logger_.write(LogLevel::kWarning, "announcement_replaced",
                {{"session", identity_.session},
                 {"by", session},
                 {"store_version", std::to_string(row.version)},
                 {"remedy", "none needed: the node is announced again"}});
  const Duration since = time_source_.monotonic_now() - announced_again_;
  announced_again_ = time_source_.monotonic_now();
  announce_timer_->enable(since < knobs_.announce_retry ? knobs_.announce_retry : Duration(0));
}

void PeerExchange::on_row(const StoredRow& row) {
  if (row.key.key == identity_.node) {
    own_announcement_ = row.version;
    announce_again_if_replaced(row);
    return;
  }
  Peer& peer = peers_[row.key.key];
  const node_announcement announced = announcement_in(row);
  const std::string& session = announced.session;
  if (session == peer.session) {
    return;
  }
  apply_loads(peer, {});
  peer = Peer{};
  peer.session = session;
  peer.address = announced.address;
  peer.zone = announced.zone;
  peer.caller_port = announced.caller_port;
  peer.capacity = announced.capacity;
  ++announcements_;
  count_peers_soon();
  peer.announcement = row.version;
  peer.announced = time_source_.monotonic_now();
  unannounced_.erase(session);
  logger_.write(LogLevel::kInfo, "peer_announced",
                {{"peer", row.key.key},
                 {"session", session},
                 {"store_version", std::to_string(row.version)}});
  load_changed();
}

void PeerExchange::on_listed() {
  if (!std::exchange(listed_, true)) {
    relay_peers_hash_ = 0;
    update_relays();
  }
}

// Removes the row only if it is of this session: the node may have been restarted.
void PeerExchange::withdraw() {
  const StoredRowKey own = {kNodeTable, "", identity_.node};
  StoreTransaction removal;
  removal.conditions.push_back({own, own_announcement_});
  removal.writes.push_back({own, std::nullopt});
  store_.commit(std::move(removal), [](const Expected<StoreCommit>& /*commit*/) {});
}

void PeerExchange::set_known_versions(std::function<KnownVersions()> own,
                                      std::function<void(const KnownVersions&)> on_reported) {
  relay_.set_known_versions(own, [this](const std::string& session, const KnownVersions& known) {
    const auto peer = peers_.find(node_of(session));
    if (peer != peers_.end() && peer->second.session == session) {
      apply_versions(peer->second, known);
    }
  });
  own_versions_ = std::move(own);
  on_versions_ = std::move(on_reported);
}

void PeerExchange::set_on_role_changed(std::function<void()> callback) {
  relay_.set_on_role_changed(callback);
  on_role_changed_ = std::move(callback);
}

void PeerExchange::count_peers_soon() {
  if (!count_timer_->enabled()) {
    count_timer_->enable(Duration(0));
  }
}

void PeerExchange::count_peers() {
  near_peers_ = static_cast<size_t>(std::count_if(
      peers_.begin(), peers_.end(), [this](const auto& entry) { return near(entry.second); }));
  far_peers_ = peers_.size() - near_peers_;
  if (relayed() != was_relayed_) {
    was_relayed_ = relayed();
    for (auto& [node, peer] : peers_) {
      apply_loads(peer, {});
    }
    // The intervals change: all peers are informed of the new ones with the next heartbeat.
    last_sent_near_ = {};
    last_sent_far_ = {};
    if (on_role_changed_) {
      on_role_changed_();
    }
  }
  update_relays();
}

bool PeerExchange::may_relay(const Peer& peer) const {
  const Duration patience = knobs_.missed_heartbeats * expected_interval(peer);
  const Duration silence = time_source_.monotonic_now() - std::max(peer.last_heard, peer.announced);
  // A node whose session lapsed because it lost the store may still relay: otherwise the relays
  // would change repeatedly while the store is down.
  constexpr Duration kRecentSilence = std::chrono::seconds(1);
  return silence <= patience && (!peer.lapsed || silence <= kRecentSilence) && !peer.draining;
}

void PeerExchange::update_relays() {
  relay_.expire_silent();
  const MonotonicTime now = time_source_.monotonic_now();
  const auto gone = [&](const Peer& peer) {
    return now - std::max(peer.last_heard, peer.announced) > knobs_.gone_after;
  };
  // Usually nothing has changed since the last call.
  uint64_t seen = announcements_ + 1;
  for (const auto& [node, peer] : peers_) {
    const bool reported = peer.lapsed && relay_.reported_lapsed(peer.session);
    seen = seen * 31 + (may_relay(peer) ? 1 : 0) + (peer.lapsed && !reported ? 2 : 0) +
           (gone(peer) ? 4 : 0);
  }
  if (std::exchange(relay_peers_hash_, seen) == seen) {
    return;
  }
  std::vector<relay_candidate> candidates;
  for (const auto& [node, peer] : peers_) {
    if (!peer.session.empty()) {
      candidates.push_back({node, peer.session, peer.zone, peer.address, peer.capacity,
                            may_relay(peer), peer.lapsed && !relay_.reported_lapsed(peer.session),
                            gone(peer)});
    }
  }
  if (on_peers_changed_ && listed_) {
    on_peers_changed_(candidates);
  }
  relay_.set_peers(relayed() ? std::move(candidates) : std::vector<relay_candidate>{});
}

Duration PeerExchange::min_interval(bool near) const {
  const size_t peers = near ? near_peers_ : far_peers_;
  const bool notable = !near && workers_.notable_changes() != notable_changes_sent_;
  const double far_rate =
      notable ? knobs_.notable_datagrams_per_second : knobs_.far_datagrams_per_second;
  const double rate = near ? knobs_.near_datagrams_per_second : far_rate;
  const std::chrono::duration<double> interval(static_cast<double>(peers) / rate);
  return std::max(knobs_.min_interval, std::chrono::duration_cast<Duration>(interval));
}

Duration PeerExchange::view_lag() const {
  if (!relayed()) {
    return min_interval(true);
  }
  // From a node to the relay of its zone, to the relay of another zone, to a node there.
  return knobs_.min_report_interval + 2 * relay_.digest_interval();
}

Duration PeerExchange::idle_interval(bool near) const {
  const size_t peers = near ? near_peers_ : far_peers_;
  const double direct = near ? knobs_.near_datagrams_per_second : knobs_.far_datagrams_per_second;
  const double rate = relayed() ? knobs_.relayed_datagrams_per_second : direct;
  const std::chrono::duration<double> interval(static_cast<double>(peers) / rate);
  return std::max(knobs_.heartbeat_interval, std::chrono::duration_cast<Duration>(interval));
}

Duration PeerExchange::expected_interval(const Peer& peer) const {
  const Duration idle = idle_interval(near(peer));
  if (peer.next_heartbeat_within > Duration(0)) {
    return std::clamp(peer.next_heartbeat_within, knobs_.heartbeat_interval,
                      std::max(idle, knobs_.gone_after));
  }
  // Each node of the zone reports to its relays at short intervals.
  const bool reports_here = relayed() && relay_.relaying() && near(peer);
  return reports_here ? knobs_.heartbeat_interval : idle;
}

void PeerExchange::begin_drain() {
  draining_ = true;
  last_sent_far_ = {};
  last_sent_near_ = {};
  send_heartbeats();
}

void PeerExchange::load_changed() {
  if (send_timer_->enabled()) {
    return;
  }
  const Duration since = time_source_.monotonic_now() - last_sent_;
  const Duration least = relayed() ? knobs_.min_report_interval : min_interval(true);
  send_timer_->enable(std::max(least - since, Duration(0)));
}

// While this process was suspended it could not receive anything: the pause must not count as
// silence of its peers, nor as store silence in the heartbeats that it sends.
void PeerExchange::compensate_own_pause() {
  const MonotonicTime now = time_source_.monotonic_now();
  const Duration pause = now - last_tick_;
  last_tick_ = now;
  if (pause <= kMinOwnPause) {
    return;
  }
  logger_.write(LogLevel::kWarning, "process_stood_still",
                {{"milliseconds", milliseconds_text(pause)}});
  clock_.exclude_pause(pause);
  last_heard_any_peer_ += pause;
  for (auto& [node, peer] : peers_) {
    peer.last_heard += pause;
    peer.announced += pause;
  }
}

void PeerExchange::tick() {
  tick_timer_->enable(kTickInterval);
  compensate_own_pause();
  own_longest_silence_.note(time_source_.monotonic_now(), own_store_silence());
  if (own_store_silence() >= knobs_.lapse_after) {
    store_contact_since_ = time_source_.monotonic_now();
  }
  update_lapsed_peers();
  update_relays();
  const bool informed = hears_informed_relay();
  if (std::exchange(heard_informed_relay_, informed) != informed && on_role_changed_) {
    on_role_changed_();
  }
  const Duration idle = relayed() ? knobs_.heartbeat_interval : idle_interval(true);
  if (time_source_.monotonic_now() - last_sent_ >= idle) {
    send_heartbeats();
  }
}

Duration PeerExchange::own_store_silence() const {
  const Duration silence = time_source_.monotonic_now() - clock_.last_heard();
  return std::max(silence - store_wait_, Duration(0));
}

Heartbeat PeerExchange::make_heartbeat() {
  const MonotonicTime now = time_source_.monotonic_now();
  Heartbeat heartbeat;
  heartbeat.session = identity_.session;
  heartbeat.sequence = ++sequence_;
  heartbeat.draining = draining_;
  heartbeat.store_silence = own_store_silence();
  heartbeat.store_version = clock_.newest();
  if (own_versions_) {
    heartbeat.known = own_versions_();
  }
  for (const auto& [hash, worker] : workers_.active_workers()) {
    if (worker->in_flight() > 0 && heartbeat.loads.size() < kMaxLoads) {
      heartbeat.loads.push_back({worker->hash, static_cast<uint16_t>(worker->online_in_flight),
                                 static_cast<uint16_t>(worker->batch_in_flight),
                                 worker->prompt_tokens_sent});
    }
    if (worker->outcomes.worth_telling(now) && heartbeat.outcomes.size() < kMaxOutcomes) {
      const outcome_times& own = worker->outcomes.own();
      PeerWorkerOutcomes reported;
      reported.worker = worker->hash;
      reported.failed_ago = now - own.failed;
      reported.succeeded_ago = now - own.succeeded;
      reported.failures = static_cast<uint16_t>(std::min<uint32_t>(own.failures, UINT16_MAX));
      heartbeat.outcomes.push_back(reported);
    }
  }
  heartbeat.speeds = workers_.take_speed_updates(kMaxSpeeds);
  if (relay_.relaying()) {
    relay_.collect_speeds(heartbeat.speeds);
  }
  add_remainders(heartbeat);
  return heartbeat;
}

void PeerExchange::add_remainders(Heartbeat& heartbeat) {
  if (!own_remainders_) {
    return;
  }
  const std::vector<job_remainder> own = own_remainders_();
  const size_t used = kBytesOfLoad * (heartbeat.loads.size() + heartbeat.outcomes.size()) +
                      kBytesOfSpeed * heartbeat.speeds.size();
  const size_t most = (kEntryBytes - used) / kBytesOfRemainder;
  const size_t count = std::min(own.size(), most);
  for (size_t index = 0; index < count; ++index) {
    heartbeat.remainders.push_back(own[(next_remainder_ + index) % own.size()]);
  }
  next_remainder_ = own.size() > most ? (next_remainder_ + count) % own.size() : 0;
}

void PeerExchange::send_heartbeats() {
  compensate_own_pause();
  if (relayed()) {
    send_relayed();
    return;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  // Nodes of other zones mostly use other workers: they get fewer heartbeats, but notable changes
  // at once.
  const bool far_due = now - last_sent_far_ >= min_interval(false);
  last_sent_ = now;
  Heartbeat heartbeat = make_heartbeat();
  send_to_peers(heartbeat, true, far_due);
  if (far_due) {
    last_sent_far_ = now;
    notable_changes_sent_ = workers_.notable_changes();
  } else if (workers_.notable_changes() != notable_changes_sent_) {
    load_changed();
  }
}

void PeerExchange::send_to_peers(Heartbeat& heartbeat, bool to_near, bool to_far) {
  for (const bool to_zone : {true, false}) {
    if (!(to_zone ? to_near : to_far)) {
      continue;
    }
    heartbeat.next_within = idle_interval(to_zone);
    const std::string datagram = encode_heartbeat(heartbeat);
    for (const auto& [node, peer] : peers_) {
      if (!peer.address.ip.empty() && near(peer) == to_zone) {
        datagrams_.send(peer.address, datagram);
      }
    }
  }
}

// The relays of the zone get every change. All other nodes get rare heartbeats, but failures of
// workers at once, within the rate limit of notable changes.
void PeerExchange::send_relayed() {
  const MonotonicTime now = time_source_.monotonic_now();
  const std::chrono::duration<double> notable(static_cast<double>(peers_.size()) /
                                              knobs_.notable_datagrams_per_second);
  const bool outcomes_due = workers_.outcome_changes() != outcomes_reported_ &&
                            now - outcomes_sent_ >= std::chrono::duration_cast<Duration>(notable);
  // A node that no longer relays must be informed that its next heartbeat comes later.
  const bool relays_changed = reported_to_ != relay_.report_to();
  const bool near_due =
      outcomes_due || relays_changed || now - last_sent_near_ >= idle_interval(true);
  const bool far_due = outcomes_due || now - last_sent_far_ >= idle_interval(false);
  last_sent_ = now;
  reported_to_ = relay_.report_to();
  Heartbeat heartbeat = make_heartbeat();
  heartbeat.next_within = knobs_.heartbeat_interval;
  const std::string datagram = encode_heartbeat(heartbeat);
  for (const Address& relay : reported_to_) {
    datagrams_.send(relay, datagram);
  }
  // A relay ignores this second copy, which has the same sequence number as the report above.
  send_to_peers(heartbeat, near_due, far_due);
  last_sent_near_ = near_due ? now : last_sent_near_;
  last_sent_far_ = far_due ? now : last_sent_far_;
  if (outcomes_due) {
    outcomes_sent_ = now;
    outcomes_reported_ = workers_.outcome_changes();
  } else if (workers_.outcome_changes() != outcomes_reported_) {
    load_changed();
  }
}

void PeerExchange::receive(std::string_view datagram) {
  if (relay_.receive(datagram)) {
    note_heard_any_peer();
    return;
  }
  if (other_reader_ && other_reader_(datagram)) {
    return;
  }
  const std::optional<Heartbeat> heartbeat = decode_heartbeat(datagram);
  if (!heartbeat) {
    note_unreadable(datagram);
    return;
  }
  const auto found = peers_.find(node_of(heartbeat->session));
  const bool known = found != peers_.end() && found->second.session == heartbeat->session;
  if (!known) {
    note_unknown_session(*heartbeat);
  }
  if (!known || heartbeat->sequence <= found->second.sequence) {
    return;
  }
  Peer& peer = found->second;
  peer.sequence = heartbeat->sequence;
  record_contact(peer);
  peer.next_heartbeat_within = heartbeat->next_within;
  peer.draining = heartbeat->draining;
  peer.store_silence = heartbeat->store_silence;
  clock_.observe_version(heartbeat->store_version);
  apply_versions(peer, heartbeat->known);
  if (!relayed()) {
    apply_loads(peer, heartbeat->loads);
    for (const worker_speed_entry& speed : heartbeat->speeds) {
      workers_.add_peer_speed(speed);
    }
  } else if (relay_.relaying() && near(peer)) {
    relay_.collect(found->first, heartbeat->loads);
    relay_.collect_speeds(heartbeat->speeds);
  }
  apply_outcomes(peer, heartbeat->outcomes);
  for (const job_remainder& remainder : heartbeat->remainders) {
    if (on_remainder_) {
      on_remainder_(remainder);
    }
  }
}

// The session belongs to a node whose announcement has not arrived yet, or to another deployment on
// the same addresses, whose callers and workers may then interfere with this one's.
void PeerExchange::note_unknown_session(const Heartbeat& heartbeat) {
  metrics_
      .counter("chalkshed_unknown_heartbeats_total",
               "Heartbeats of sessions that the store does not announce to this node.", {})
      .add(1);
  if (on_unknown_session_) {
    on_unknown_session_();
  }
  const MonotonicTime now = time_source_.monotonic_now();
  constexpr size_t kMaxUnknown = 1024;
  std::erase_if(unknown_sessions_,
                [&](const auto& entry) { return now - entry.second.heard > knobs_.lapse_after; });
  if (unknown_sessions_.size() < kMaxUnknown) {
    unknown_sessions_[heartbeat.session] = {now, heartbeat.store_silence};
  }
  if (unknown_logged_.admit(now)) {
    logger_.write(LogLevel::kInfo, "unknown_session_heard", {{"session", heartbeat.session}});
  }
}

void PeerExchange::note_unreadable(std::string_view datagram) {
  metrics_
      .counter("chalkshed_datagrams_rejected_total",
               "Datagrams that are no message which this build can read.", {})
      .add(1);
  if (const auto datagrams = unreadable_logged_.admit(time_source_.monotonic_now())) {
    logger_.write(LogLevel::kWarning, "datagram_rejected",
                  {{"datagrams", std::to_string(*datagrams)},
                   {"bytes", std::to_string(datagram.size())},
                   {"reason", "it is no message that this build can read"},
                   {"remedy", "none during an upgrade; else find who sends to this address"}});
  }
}

void PeerExchange::apply_versions(Peer& peer, const KnownVersions& known) {
  peer.known = known;
  if (on_versions_) {
    on_versions_(known);
  }
}

void PeerExchange::record_contact(Peer& peer) {
  note_heard_any_peer();
  peer.last_heard = last_heard_any_peer_;
}

void PeerExchange::note_heard_any_peer() {
  const MonotonicTime now = time_source_.monotonic_now();
  if (now - last_heard_any_peer_ > knobs_.deaf_after) {
    hearing_since_ = now;
  }
  last_heard_any_peer_ = now;
}

// Heartbeats sent while this node was cut off never arrived: silence counts only from the first
// heartbeat received afterwards, or, until there is one, from the store's first answer.
MonotonicTime PeerExchange::silent_since(const Peer& peer) const {
  const bool alone = time_source_.monotonic_now() - last_heard_any_peer_ > knobs_.lapse_after;
  return std::max({peer.last_heard, peer.announced, hearing_since_,
                   alone ? store_contact_since_ : MonotonicTime{}});
}

void PeerExchange::apply_outcomes(const Peer& peer,
                                  const std::vector<PeerWorkerOutcomes>& outcomes) {
  const auto failing =
      std::count_if(outcomes.begin(), outcomes.end(), [](const PeerWorkerOutcomes& reported) {
        return reported.failed_ago &&
               (!reported.succeeded_ago || *reported.failed_ago < *reported.succeeded_ago);
      });
  constexpr double kMinSuspicious = 3.0;
  const double most = std::max(
      kMinSuspicious, knobs_.max_failing_share * static_cast<double>(workers_.workers().size()));
  if (static_cast<double>(failing) > most) {
    return;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  for (const PeerWorkerOutcomes& reported : outcomes) {
    outcome_times times;
    times.failed = reported.failed_ago ? now - *reported.failed_ago : MonotonicTime{};
    times.succeeded = reported.succeeded_ago ? now - *reported.succeeded_ago : MonotonicTime{};
    times.failures = reported.failures;
    if (const WorkerPtr suspect = workers_.add_peer_outcomes(reported.worker, times)) {
      logger_.write(LogLevel::kInfo, "worker_suspected",
                    {{"worker", suspect->record.incarnation},
                     {"told_by", peer.session},
                     {"failed_ms_ago", milliseconds_text(now - times.failed)},
                     {"failures", std::to_string(reported.failures)}});
    }
  }
}

void PeerExchange::apply_loads(Peer& peer, const std::vector<PeerWorkerLoad>& loads) {
  const std::vector<digest_entry> entries = to_entries(loads);
  peer.loads.replace(workers_, entries);
  peer.loads.add_prompts(workers_, entries);
}

const char* PeerExchange::name_of(LapseReason reason) {
  switch (reason) {
    case LapseReason::kNone:
      return "none";
    case LapseReason::kSilent:
      return "silent";
    case LapseReason::kReportedByRelay:
      return "reported_by_relay";
    case LapseReason::kLostStore:
      return "lost_store";
  }
  return "none";
}

Duration PeerExchange::lapse_timeout_of(const Peer& peer) const {
  const bool alone = time_source_.monotonic_now() - last_heard_any_peer_ > knobs_.lapse_after;
  return std::max(alone ? knobs_.lapse_when_alone : knobs_.lapse_after,
                  knobs_.missed_heartbeats * expected_interval(peer));
}

PeerExchange::LapseReason PeerExchange::lapse_reason(const Peer& peer) const {
  const MonotonicTime now = time_source_.monotonic_now();
  if (now - silent_since(peer) > lapse_timeout_of(peer)) {
    return LapseReason::kSilent;
  }
  if (relayed() && relay_.reported_lapsed(peer.session)) {
    return LapseReason::kReportedByRelay;
  }
  return lost_store(peer) ? LapseReason::kLostStore : LapseReason::kNone;
}

// The peer's store silence must have begun while this node reached the store: otherwise the first
// node that reaches the store after an outage for all would take over the jobs of all others. A
// slow store recovers for the nodes one after the other within seconds.
bool PeerExchange::lost_store(const Peer& peer) const {
  return peer.store_silence > store_silence_limit() &&
         peer.last_heard - store_contact_since_ >= store_silence_limit() &&
         own_store_silence() < knobs_.lapse_after;
}

Duration PeerExchange::store_silence_limit() const {
  return store_slow() ? knobs_.slow_store_silence : knobs_.store_silence;
}

// Based on this node's own observations only: peer reports do not distinguish a slow store from a
// partition that affects most peers, which must be detected as fast as any other partition.
bool PeerExchange::store_slow() const {
  return clock_.longest_call() > knobs_.healthy_store_call ||
         own_longest_silence_.longest(time_source_.monotonic_now()) > knobs_.healthy_store_silence;
}

bool PeerExchange::entries_may_have_lapsed() const {
  const MonotonicTime failed = clock_.last_failure();
  const bool failed_lately =
      failed != MonotonicTime{} && time_source_.monotonic_now() - failed <= knobs_.entry_lapse;
  return failed_lately || store_slow() || own_store_silence() > knobs_.healthy_store_silence;
}

void PeerExchange::log_lapse_change(const std::string& node, const Peer& peer,
                                    LapseReason reason) const {
  const bool now_lapsed = reason != LapseReason::kNone;
  logger_.write(
      LogLevel::kInfo, now_lapsed ? "session_lapsed" : "session_regained",
      {{"peer", node},
       {"session", peer.session},
       {"reason", name_of(reason)},
       {"heard_ms_ago", milliseconds_text(time_source_.monotonic_now() - peer.last_heard)},
       {"patience_ms", milliseconds_text(lapse_timeout_of(peer))},
       {"store_patience_ms", milliseconds_text(store_silence_limit())},
       {"its_store_silence_ms", milliseconds_text(peer.store_silence)}});
  if (now_lapsed) {
    metrics_
        .counter("chalkshed_sessions_lapsed_total",
                 "Sessions of other nodes that this node took for lapsed.",
                 {{"reason", name_of(reason)}})
        .add(1);
  }
}

void PeerExchange::update_lapsed_peers() {
  const MonotonicTime now = time_source_.monotonic_now();
  for (auto& [node, peer] : peers_) {
    const LapseReason reason = lapse_reason(peer);
    const bool now_lapsed = reason != LapseReason::kNone;
    if (now_lapsed != peer.lapsed) {
      log_lapse_change(node, peer, reason);
    }
    peer.lapsed = now_lapsed;
    if (now - peer.last_heard > std::max(knobs_.load_lifetime, 3 * expected_interval(peer))) {
      apply_loads(peer, {});
    }
  }
}

}  // namespace chalkshed
