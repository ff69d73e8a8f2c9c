#include "src/peers/peer_exchange.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>

#include "src/core/digest.h"
#include "src/core/number_text.h"
#include "src/peers/node_name.h"

namespace chalkshed {
namespace {

constexpr Duration kTickInterval = std::chrono::milliseconds(250);
// A longer time between two ticks means that this process itself stood still.
constexpr Duration kOwnPause = std::chrono::milliseconds(1000);

// What the largest datagram holds beside its head (the session's name and some numbers): an entry
// of load or outcome takes 16 bytes, one of a job 24. Loads matter most and come first.
constexpr size_t kHeadBytes = 200;
constexpr size_t kEntryBytes = DatagramTransport::kMaxDatagramBytes - kHeadBytes;
constexpr size_t kBytesOfLoad = 16;
constexpr size_t kBytesOfRemainder = 24;
constexpr size_t kMostLoads = 40;
constexpr size_t kMostOutcomes = 16;

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
  ticked_ = time_source_.monotonic_now();
  heard_anyone_ = ticked_;
  store_contact_since_ = ticked_;
  announce();
  tick();
}

void PeerExchange::announce() {
  const nlohmann::json value = {
      {"session", identity_.session},         {"zone", identity_.zone},
      {"ip", identity_.address.ip},           {"port", identity_.address.port},
      {"caller_port", identity_.caller_port}, {"capacity", identity_.capacity}};
  StoreTransaction announcement;
  announcement.writes.push_back({{kNodeTable, "", identity_.node}, value.dump()});
  store_.commit(std::move(announcement),
                lifetime_.guard([this](const Expected<StoreCommit>& commit) {
                  if (!commit) {
                    announce_timer_->enable(knobs_.announce_retry);
                  }
                }));
}

void PeerExchange::on_row(const StoredRow& row) {
  if (row.key.key == identity_.node) {
    own_announcement_ = row.version;
    return;
  }
  Peer& peer = peers_[row.key.key];
  const nlohmann::json fields =
      row.removed ? nlohmann::json() : nlohmann::json::parse(row.value, nullptr, false);
  const std::string session = fields.is_object() ? fields.value("session", "") : "";
  if (session == peer.session) {
    return;
  }
  take_loads(peer, {});
  peer = Peer{};
  peer.session = session;
  if (fields.is_object()) {
    peer.address = {fields.value("ip", ""), fields.value("port", uint16_t{0})};
    peer.zone = fields.value("zone", "");
    peer.caller_port = fields.value("caller_port", uint16_t{0});
    peer.capacity = fields.value("capacity", 0.0);
  }
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
    passed_to_relay_ = 0;
    update_relays();
  }
}

// Only the row of this session: the machine may have been started again.
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
      take_versions(peer->second, known);
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
      take_loads(peer, {});
    }
    // Other intervals hold from now on: all peers are promised them with the next heartbeat.
    sent_near_ = {};
    sent_far_ = {};
    if (on_role_changed_) {
      on_role_changed_();
    }
  }
  update_relays();
}

bool PeerExchange::may_relay(const Peer& peer) const {
  const Duration patience = knobs_.missed_heartbeats * expected_interval(peer);
  const Duration silence = time_source_.monotonic_now() - std::max(peer.heard, peer.announced);
  // A session lapses also because it has lost the store, which does not keep a node from relaying:
  // if it did, all relays would change again and again while the store is down.
  constexpr Duration kLately = std::chrono::seconds(1);
  return silence <= patience && (!peer.lapsed || silence <= kLately) && !peer.draining;
}

void PeerExchange::update_relays() {
  relay_.expire_silent();
  const MonotonicTime now = time_source_.monotonic_now();
  const auto gone = [&](const Peer& peer) {
    return now - std::max(peer.heard, peer.announced) > knobs_.gone_after;
  };
  // Mostly nothing has changed since the last time.
  uint64_t seen = announcements_ + 1;
  for (const auto& [node, peer] : peers_) {
    const bool reported = peer.lapsed && relay_.reported_lapsed(peer.session);
    seen = seen * 31 + (may_relay(peer) ? 1 : 0) + (peer.lapsed && !reported ? 2 : 0) +
           (gone(peer) ? 4 : 0);
  }
  if (std::exchange(passed_to_relay_, seen) == seen) {
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

Duration PeerExchange::least_interval(bool near) const {
  const size_t peers = near ? near_peers_ : far_peers_;
  const bool notable = !near && workers_.notable_changes() != notable_told_;
  const double far_rate =
      notable ? knobs_.notable_datagrams_per_second : knobs_.far_datagrams_per_second;
  const double rate = near ? knobs_.near_datagrams_per_second : far_rate;
  const std::chrono::duration<double> interval(static_cast<double>(peers) / rate);
  return std::max(knobs_.least_interval, std::chrono::duration_cast<Duration>(interval));
}

Duration PeerExchange::view_lag() const {
  if (!relayed()) {
    return least_interval(true);
  }
  // From a node to the relay of its zone, to the relay of another, to a node there.
  return knobs_.least_report_interval + 2 * relay_.digest_interval();
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
  if (peer.promised > Duration(0)) {
    return std::clamp(peer.promised, knobs_.heartbeat_interval, std::max(idle, knobs_.gone_after));
  }
  // Whoever relays is reported to soon by each node of its zone.
  const bool reports_here = relayed() && relay_.relaying() && near(peer);
  return reports_here ? knobs_.heartbeat_interval : idle;
}

void PeerExchange::begin_drain() {
  draining_ = true;
  sent_far_ = {};
  sent_near_ = {};
  send_heartbeats();
}

void PeerExchange::load_changed() {
  if (send_timer_->enabled()) {
    return;
  }
  const Duration since = time_source_.monotonic_now() - sent_;
  const Duration least = relayed() ? knobs_.least_report_interval : least_interval(true);
  send_timer_->enable(std::max(least - since, Duration(0)));
}

// Nothing could be heard while this process stood still; nobody is to blame for it, and what it
// tells its peers must not blame its store either.
void PeerExchange::excuse_own_pause() {
  const MonotonicTime now = time_source_.monotonic_now();
  const Duration pause = now - ticked_;
  ticked_ = now;
  if (pause <= kOwnPause) {
    return;
  }
  logger_.write(LogLevel::kWarning, "process_stood_still",
                {{"milliseconds", milliseconds_text(pause)}});
  clock_.excuse(pause);
  heard_anyone_ += pause;
  for (auto& [node, peer] : peers_) {
    peer.heard += pause;
    peer.announced += pause;
  }
}

void PeerExchange::tick() {
  tick_timer_->enable(kTickInterval);
  excuse_own_pause();
  own_longest_silence_.note(time_source_.monotonic_now(), own_store_silence());
  if (own_store_silence() >= knobs_.lapse_after) {
    store_contact_since_ = time_source_.monotonic_now();
  }
  judge_peers();
  update_relays();
  const bool informed = hears_informed_relay();
  if (std::exchange(heard_informed_relay_, informed) != informed && on_role_changed_) {
    on_role_changed_();
  }
  const Duration idle = relayed() ? knobs_.heartbeat_interval : idle_interval(true);
  if (time_source_.monotonic_now() - sent_ >= idle) {
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
    if (worker->in_flight() > 0 && heartbeat.loads.size() < kMostLoads) {
      heartbeat.loads.push_back({worker->hash, static_cast<uint16_t>(worker->online_in_flight),
                                 static_cast<uint16_t>(worker->batch_in_flight),
                                 worker->prompt_tokens_sent});
    }
    if (worker->outcomes.worth_telling(now) && heartbeat.outcomes.size() < kMostOutcomes) {
      const outcome_times& own = worker->outcomes.own();
      PeerWorkerOutcomes told;
      told.worker = worker->hash;
      told.failed_ago = now - own.failed;
      told.succeeded_ago = now - own.succeeded;
      told.failures = static_cast<uint16_t>(std::min<uint32_t>(own.failures, UINT16_MAX));
      heartbeat.outcomes.push_back(told);
    }
  }
  add_remainders(heartbeat);
  return heartbeat;
}

void PeerExchange::add_remainders(Heartbeat& heartbeat) {
  if (!own_remainders_) {
    return;
  }
  const std::vector<job_remainder> own = own_remainders_();
  const size_t used = kBytesOfLoad * (heartbeat.loads.size() + heartbeat.outcomes.size());
  const size_t most = (kEntryBytes - used) / kBytesOfRemainder;
  const size_t count = std::min(own.size(), most);
  for (size_t index = 0; index < count; ++index) {
    heartbeat.remainders.push_back(own[(next_remainder_ + index) % own.size()]);
  }
  next_remainder_ = own.size() > most ? (next_remainder_ + count) % own.size() : 0;
}

void PeerExchange::send_heartbeats() {
  excuse_own_pause();
  if (relayed()) {
    send_relayed();
    return;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  // Nodes of other zones mostly use other workers: they hear less often, but at once of what
  // concerns them too.
  const bool far_due = now - sent_far_ >= least_interval(false);
  sent_ = now;
  Heartbeat heartbeat = make_heartbeat();
  send_to_peers(heartbeat, true, far_due);
  if (far_due) {
    sent_far_ = now;
    notable_told_ = workers_.notable_changes();
  } else if (workers_.notable_changes() != notable_told_) {
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

// The relays of the zone learn of every change. All others hear seldom, but at once of failures at
// workers, as far as the rate for what is notable allows.
void PeerExchange::send_relayed() {
  const MonotonicTime now = time_source_.monotonic_now();
  const std::chrono::duration<double> notable(static_cast<double>(peers_.size()) /
                                              knobs_.notable_datagrams_per_second);
  const bool outcomes_due = workers_.outcome_changes() != outcomes_reported_ &&
                            now - outcomes_sent_ >= std::chrono::duration_cast<Duration>(notable);
  // A node that relays no more must hear that it is sent the next heartbeat later.
  const bool relays_changed = reported_to_ != relay_.report_to();
  const bool near_due = outcomes_due || relays_changed || now - sent_near_ >= idle_interval(true);
  const bool far_due = outcomes_due || now - sent_far_ >= idle_interval(false);
  sent_ = now;
  reported_to_ = relay_.report_to();
  Heartbeat heartbeat = make_heartbeat();
  heartbeat.next_within = knobs_.heartbeat_interval;
  const std::string datagram = encode_heartbeat(heartbeat);
  for (const Address& relay : reported_to_) {
    datagrams_.send(relay, datagram);
  }
  // What a relay hears first counts: this one has the same sequence number.
  send_to_peers(heartbeat, near_due, far_due);
  sent_near_ = near_due ? now : sent_near_;
  sent_far_ = far_due ? now : sent_far_;
  if (outcomes_due) {
    outcomes_sent_ = now;
    outcomes_reported_ = workers_.outcome_changes();
  } else if (workers_.outcome_changes() != outcomes_reported_) {
    load_changed();
  }
}

void PeerExchange::receive(std::string_view datagram) {
  if (relay_.receive(datagram)) {
    heard_anyone_ = time_source_.monotonic_now();
    return;
  }
  if (other_reader_ && other_reader_(datagram)) {
    return;
  }
  const std::optional<Heartbeat> heartbeat = decode_heartbeat(datagram);
  if (!heartbeat) {
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
  note_heard(peer);
  peer.promised = heartbeat->next_within;
  peer.draining = heartbeat->draining;
  peer.store_silence = heartbeat->store_silence;
  clock_.observe_version(heartbeat->store_version);
  take_versions(peer, heartbeat->known);
  if (!relayed()) {
    take_loads(peer, heartbeat->loads);
  } else if (relay_.relaying() && near(peer)) {
    relay_.collect(found->first, heartbeat->loads);
  }
  take_outcomes(peer, heartbeat->outcomes);
  for (const job_remainder& remainder : heartbeat->remainders) {
    if (on_remainder_) {
      on_remainder_(remainder);
    }
  }
}

// Of a node whose announcement is on its way; or of another system on the same addresses, whose
// callers and workers may then meet this one's.
void PeerExchange::note_unknown_session(const Heartbeat& heartbeat) {
  metrics_
      .counter("chalkshed_unknown_heartbeats_total",
               "Heartbeats of sessions that the store does not announce to this node.", {})
      .add(1);
  if (on_unknown_session_) {
    on_unknown_session_();
  }
  const MonotonicTime now = time_source_.monotonic_now();
  constexpr Duration kBetweenLines = std::chrono::seconds(5);
  if (now - unknown_logged_ >= kBetweenLines) {
    unknown_logged_ = now;
    logger_.write(LogLevel::kInfo, "unknown_session_heard", {{"session", heartbeat.session}});
  }
}

void PeerExchange::take_versions(Peer& peer, const KnownVersions& known) {
  peer.known = known;
  if (on_versions_) {
    on_versions_(known);
  }
}

void PeerExchange::note_heard(Peer& peer) {
  peer.heard = time_source_.monotonic_now();
  heard_anyone_ = peer.heard;
}

void PeerExchange::take_outcomes(const Peer& peer,
                                 const std::vector<PeerWorkerOutcomes>& outcomes) {
  const auto failing =
      std::count_if(outcomes.begin(), outcomes.end(), [](const PeerWorkerOutcomes& told) {
        return told.failed_ago && (!told.succeeded_ago || *told.failed_ago < *told.succeeded_ago);
      });
  constexpr double kLeastSuspicious = 3.0;
  const double most = std::max(
      kLeastSuspicious, knobs_.most_failing_share * static_cast<double>(workers_.workers().size()));
  if (static_cast<double>(failing) > most) {
    return;
  }
  const MonotonicTime now = time_source_.monotonic_now();
  for (const PeerWorkerOutcomes& told : outcomes) {
    outcome_times times;
    times.failed = told.failed_ago ? now - *told.failed_ago : MonotonicTime{};
    times.succeeded = told.succeeded_ago ? now - *told.succeeded_ago : MonotonicTime{};
    times.failures = told.failures;
    if (const WorkerPtr suspect = workers_.add_peer_outcomes(told.worker, times)) {
      logger_.write(LogLevel::kInfo, "worker_suspected",
                    {{"worker", suspect->record.incarnation},
                     {"told_by", peer.session},
                     {"failed_ms_ago", milliseconds_text(now - times.failed)},
                     {"failures", std::to_string(told.failures)}});
    }
  }
}

void PeerExchange::take_loads(Peer& peer, const std::vector<PeerWorkerLoad>& loads) {
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

Duration PeerExchange::patience_with(const Peer& peer) const {
  const bool alone = time_source_.monotonic_now() - heard_anyone_ > knobs_.lapse_after;
  return std::max(alone ? knobs_.lapse_when_alone : knobs_.lapse_after,
                  knobs_.missed_heartbeats * expected_interval(peer));
}

PeerExchange::LapseReason PeerExchange::lapse_reason(const Peer& peer) const {
  const MonotonicTime now = time_source_.monotonic_now();
  if (now - std::max(peer.heard, peer.announced) > patience_with(peer)) {
    return LapseReason::kSilent;
  }
  if (relayed() && relay_.reported_lapsed(peer.session)) {
    return LapseReason::kReportedByRelay;
  }
  return lost_store(peer) ? LapseReason::kLostStore : LapseReason::kNone;
}

// Its silence must have begun while this node had the store: after an outage for all, the first to
// reach the store again would take the jobs of all others. A slow store returns to one after the
// other within seconds.
bool PeerExchange::lost_store(const Peer& peer) const {
  return peer.store_silence > store_patience() &&
         peer.heard - store_contact_since_ >= store_patience() &&
         own_store_silence() < knobs_.lapse_after;
}

Duration PeerExchange::store_patience() const {
  return store_slow() ? knobs_.slow_store_silence : knobs_.store_silence;
}

// By what this node itself sees: what peers report can't tell a slow store from a cut that most of
// them are behind, and such a cut is to be noticed as soon as any other.
bool PeerExchange::store_slow() const {
  return clock_.longest_call() > knobs_.sound_store_call ||
         own_longest_silence_.longest(time_source_.monotonic_now()) > knobs_.sound_store_silence;
}

void PeerExchange::log_judgement(const std::string& node, const Peer& peer,
                                 LapseReason reason) const {
  const bool now_lapsed = reason != LapseReason::kNone;
  logger_.write(LogLevel::kInfo, now_lapsed ? "session_lapsed" : "session_regained",
                {{"peer", node},
                 {"session", peer.session},
                 {"reason", name_of(reason)},
                 {"heard_ms_ago", milliseconds_text(time_source_.monotonic_now() - peer.heard)},
                 {"patience_ms", milliseconds_text(patience_with(peer))},
                 {"store_patience_ms", milliseconds_text(store_patience())},
                 {"its_store_silence_ms", milliseconds_text(peer.store_silence)}});
  if (now_lapsed) {
    metrics_
        .counter("chalkshed_sessions_lapsed_total",
                 "Sessions of other nodes that this node took for lapsed.",
                 {{"reason", name_of(reason)}})
        .add(1);
  }
}

void PeerExchange::judge_peers() {
  const MonotonicTime now = time_source_.monotonic_now();
  for (auto& [node, peer] : peers_) {
    const LapseReason reason = lapse_reason(peer);
    const bool now_lapsed = reason != LapseReason::kNone;
    if (now_lapsed != peer.lapsed) {
      log_judgement(node, peer, reason);
    }
    peer.lapsed = now_lapsed;
    if (now - peer.heard > std::max(knobs_.load_lifetime, 3 * expected_interval(peer))) {
      take_loads(peer, {});
    }
  }
}

}  // namespace chalkshed
