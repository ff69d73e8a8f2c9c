// Nodes and what they tell each other. A node announces itself with a row in the store, which its
// peers watch; from then on they exchange heartbeats by datagram: that the node lives, whether it
// reaches the store, and what it has in flight at each worker.
//
// A new session of a node ends the one before at once. A session without heartbeats lapses after a
// while, and so does one that has lost the store while this node has it. Both only free its work to
// be taken over; fencing in the store keeps a wrong guess harmless.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "chalkshed/load_relay.h"
#include "src/core/address.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/peers/heartbeat.h"
#include "src/peers/session_view.h"
#include "src/platform/watched_store.h"
#include "src/serving/worker_set.h"
#include "src/transport/peer_transport.h"
#include "src/watch/recent_longest.h"
#include "src/watch/store_clock.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

// This node, as it announces itself to the others.
struct PeerIdentity {
  std::string node;     // unique name of the machine
  std::string session;  // unique for this start: NODE#START
  std::string zone;
  Address address;           // where datagrams of other nodes arrive
  uint16_t caller_port = 0;  // where callers, and jobs that peers hand on, arrive
  double capacity = 1;       // share of a processor core
};

struct PeerKnobs {
  // Between two heartbeats when nothing changes.
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Changes of the load are told at most this often, and less often where there are many peers: a
  // node sends at most so many datagrams a second to those of its own zone, and to all others.
  Duration least_interval = std::chrono::milliseconds(60);
  double near_datagrams_per_second = 250;
  double far_datagrams_per_second = 100;
  // With more peers than this, loads go by the relays of each zone instead, and this node's
  // heartbeats to all others only show that it lives: so many datagrams a second to those of its
  // zone, and to all others. The relays notice a silent node sooner.
  size_t most_peers_without_relays = 48;
  double relayed_datagrams_per_second = 20;
  // Between two reports to the relays: a burst of changes in one turn of the loop is one report.
  Duration least_report_interval = std::chrono::milliseconds(20);
  // What nodes far away should hear of at once may take more.
  double notable_datagrams_per_second = 1000;
  Duration lapse_after = std::chrono::milliseconds(2500);
  // However seldom a peer sends, it lapses only after so many heartbeats have been missed.
  int missed_heartbeats = 5;
  // A node that hears nobody may itself be the one that is cut off.
  Duration lapse_when_alone = std::chrono::milliseconds(6000);
  // A peer that a sound store has not answered for this long loses its work.
  Duration store_silence = std::chrono::milliseconds(2600);
  // A store that is slow is slow for all: one that held this node's questions for longer than the
  // 1.5 s of a sound one, or took this long for a call, some 10 ms otherwise. Both are needed: a
  // node that asks often sees short silences, an idle one makes no calls.
  Duration sound_store_silence = std::chrono::milliseconds(1600);
  Duration sound_store_call = std::chrono::milliseconds(500);
  // Then a peer loses its work only after two questions in a row have failed, of 2.5 s each, and
  // the pause between them. In 32 bursts on a full store (6 and 20 nodes, virtual time, 64 minutes)
  // no job in place of 125 was taken from a node that wasn't cut off.
  Duration slow_store_silence = std::chrono::milliseconds(5200);
  // A load that was told longer ago counts no more; nor do three missed heartbeats.
  Duration load_lifetime = std::chrono::milliseconds(1500);
  // A node for which this share of the workers fails is more likely ill itself: its sight of their
  // outcomes is left aside.
  double most_failing_share = 0.25;
  // A peer whose store answered it within this time probably reaches it: with nothing to tell, the
  // store holds its answers for most of it.
  Duration store_contact = std::chrono::milliseconds(2000);
  // What a peer says of its contact with the store counts for so long: as long as a node may start
  // items by what it knew before.
  Duration store_word_lifetime = std::chrono::milliseconds(2000);
  Duration announce_retry = std::chrono::milliseconds(500);
  // A peer that has been silent for so long does nothing any more that has to be counted.
  Duration gone_after = std::chrono::seconds(30);
  load_relay_knobs relays;
};

inline constexpr const char* kNodeTable = "node";  // key: the node's name

class PeerExchange : public TableObserver, public SessionView {
 public:
  // All references outlive the exchange.
  PeerExchange(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store,
               StoreClock& clock, DatagramTransport& datagrams, WorkerSet& workers, Logger& logger,
               MetricsRegistry& metrics, PeerIdentity identity, const PeerKnobs& knobs = {});

  void start();
  // Rows of the node table.
  void on_row(const StoredRow& row) override;
  void on_listed() override;
  // Removes this node's row: it stops, and its peers need not wait for it.
  void withdraw();
  // Called with all announced peers when something has changed about them, not before they have
  // been listed once.
  void set_on_peers_changed(std::function<void(const std::vector<relay_candidate>&)> callback) {
    on_peers_changed_ = std::move(callback);
  }
  // Takes datagrams of another module. @param read returns whether the datagram was one.
  void set_other_reader(std::function<bool(std::string_view)> read) {
    other_reader_ = std::move(read);
  }
  // What this node reports of its jobs, and what happens with the reports of others.
  void set_job_remainders(std::function<std::vector<job_remainder>()> own,
                          std::function<void(const job_remainder&)> on_reported) {
    own_remainders_ = std::move(own);
    on_remainder_ = std::move(on_reported);
  }
  // What this node knows of the store's tables, and what happens with what others know.
  void set_known_versions(std::function<KnownVersions()> own,
                          std::function<void(const KnownVersions&)> on_reported);
  // Called when a datagram comes of a session that is not announced here yet.
  void set_on_unknown_session(std::function<void()> callback) {
    relay_.set_on_unknown_session(callback);
    on_unknown_session_ = std::move(callback);
  }
  // Called when loads begin or cease to go by relays, and when this node's part in it changes.
  void set_on_role_changed(std::function<void()> callback);
  // Whether the loads of other nodes come from a relay, because there are many nodes.
  bool is_relay_member() const { return relayed() && !relay_.relaying(); }
  // Whether a relay tells this node what is new in the store's tables.
  bool hears_informed_relay() const { return is_relay_member() && relay_.hears_informed_relay(); }
  // Whether the nodes have been listed once.
  bool listed() const { return listed_; }
  // @return where the nodes of this node's zone take questions of peers.
  std::vector<Address> zone_peers() const;
  bool relayed() const { return peers_.size() > knobs_.most_peers_without_relays; }
  // The store may hold answers to this node for so long; only a longer silence says anything.
  void set_store_wait(Duration wait) { store_wait_ = wait; }
  // @param table names the version that counts.
  // @return how many announced nodes come before this one for the key, whether they live or not, or
  // nothing before they have been listed: the same at all nodes that know the store's table.
  std::optional<size_t> announced_rank(const std::string& key) const;
  // @return where a peer takes questions of other nodes that has a row of that version or newer,
  // drawn from all such peers; nothing if none is known.
  std::optional<Address> peer_knowing(StoreVersion KnownVersions::*table, StoreVersion version,
                                      uint64_t draw) const;
  // @return where the node of that session takes calls of its peers, unless it has been replaced.
  std::optional<Address> address_of(const std::string& session) const;
  // Since when the store has not answered this node, beyond the time it may hold an answer.
  Duration own_store_silence() const;
  // Whether the store has been silent for so long that this node may know old things.
  bool store_lost() const { return own_store_silence() > knobs_.store_silence; }
  // What this node has in flight has changed.
  void load_changed();

  const std::string& own_session() const override { return identity_.session; }
  bool alive(const std::string& session, StoreVersion seen) override;
  size_t rank(const std::string& key) const override;
  std::optional<Address> peer_with_store(uint64_t seed) const override;
  bool others_may_reach_store() const override;
  void begin_drain() override;
  Duration view_lag() const override;

 private:
  struct Peer {
    std::string session;
    std::string zone;
    Address address;
    uint16_t caller_port = 0;  // 0: not announced
    double capacity = 0;
    StoreVersion announcement = 0;
    MonotonicTime announced{};
    MonotonicTime heard{};  // the last heartbeat of this session
    Duration promised{0};   // the next one comes within it; 0: not said
    uint64_t sequence = 0;
    bool draining = false;
    Duration store_silence{0};
    KnownVersions known;
    bool lapsed = false;
    reported_loads loads;
  };

  void announce();
  void tick();
  void send_heartbeats();
  void receive(std::string_view datagram);
  void note_unknown_session(const Heartbeat& heartbeat);
  void note_heard(Peer& peer);
  void take_versions(Peer& peer, const KnownVersions& known);
  void take_loads(Peer& peer, const std::vector<PeerWorkerLoad>& loads);
  void take_outcomes(const Peer& peer, const std::vector<PeerWorkerOutcomes>& outcomes);
  Heartbeat make_heartbeat();
  void add_remainders(Heartbeat& heartbeat);
  bool near(const Peer& peer) const { return peer.zone == identity_.zone; }
  bool may_relay(const Peer& peer) const;
  // Gives the peers to load_relay, if they have changed.
  void update_relays();
  void send_to_peers(Heartbeat& heartbeat, bool to_near, bool to_far);
  void send_relayed();
  // Between two heartbeats to the peers that are `near` (or far) when something changes.
  Duration least_interval(bool near) const;
  // Between two of them when nothing changes.
  Duration idle_interval(bool near) const;
  // Until the peer's next heartbeat, as it has promised.
  Duration expected_interval(const Peer& peer) const;
  // Counts the peers once in this turn of the loop: a page of the table brings hundreds of them.
  void count_peers_soon();
  void count_peers();
  void excuse_own_pause();
  void judge_peers();
  // Why the peer's session is taken for lapsed, if it is.
  enum class LapseReason { kNone, kSilent, kReportedByRelay, kLostStore };
  static const char* name_of(LapseReason reason);
  LapseReason lapse_reason(const Peer& peer) const;
  bool lapsed(const Peer& peer) const { return lapse_reason(peer) != LapseReason::kNone; }
  bool lost_store(const Peer& peer) const;
  // Whether the store has lately been slow to answer this node.
  bool store_slow() const;
  // How long the store may be silent towards a peer.
  Duration store_patience() const;
  // How long the peer may be silent.
  Duration patience_with(const Peer& peer) const;
  void log_judgement(const std::string& node, const Peer& peer, LapseReason reason) const;

  TimeSource& time_source_;
  WatchedStore& store_;
  StoreClock& clock_;
  DatagramTransport& datagrams_;
  WorkerSet& workers_;
  Logger& logger_;
  MetricsRegistry& metrics_;
  const PeerIdentity identity_;
  const PeerKnobs knobs_;
  std::map<std::string, Peer> peers_;  // by node, without this one
  // Sessions that work is said to belong to, but that have not been announced: since when.
  std::map<std::string, MonotonicTime> unannounced_;
  std::function<std::vector<job_remainder>()> own_remainders_;
  std::function<void(const job_remainder&)> on_remainder_;
  size_t next_remainder_ = 0;  // more jobs than a datagram holds take turns
  std::function<KnownVersions()> own_versions_;
  std::function<void(const KnownVersions&)> on_versions_;
  std::function<void()> on_role_changed_;
  std::function<void(const std::vector<relay_candidate>&)> on_peers_changed_;
  std::function<bool(std::string_view)> other_reader_;
  std::function<void()> on_unknown_session_;
  bool listed_ = false;
  StoreVersion own_announcement_ = 0;
  Duration store_wait_{0};
  RecentLongest own_longest_silence_;
  MonotonicTime store_contact_since_{};  // the store has answered this node all the time since then
  bool draining_ = false;
  uint64_t sequence_ = 0;
  MonotonicTime sent_{};
  MonotonicTime sent_far_{};
  MonotonicTime sent_near_{};         // to the whole zone, while loads go by relays
  std::vector<Address> reported_to_;  // relays that expect the next heartbeat soon
  uint64_t notable_told_ = 0;  // changes of the worker set that nodes far away have been told
  uint64_t outcomes_reported_ = 0;
  MonotonicTime outcomes_sent_{};
  size_t near_peers_ = 0;
  size_t far_peers_ = 0;
  MonotonicTime ticked_{};
  MonotonicTime heard_anyone_{};
  MonotonicTime unknown_logged_{};
  load_relay relay_;
  bool was_relayed_ = false;
  bool heard_informed_relay_ = false;
  uint64_t announcements_ = 0;
  uint64_t passed_to_relay_ = 0;  // hash of the peers as load_relay was given them last
  TimerPtr tick_timer_;
  TimerPtr send_timer_;
  TimerPtr announce_timer_;
  TimerPtr count_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
