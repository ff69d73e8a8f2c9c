// Membership of nodes and the status that they exchange. A node announces itself with a row in the
// store, which its peers watch; from then on they exchange heartbeats by datagram: liveness,
// contact with the store, and requests in flight at each worker.
//
// A new session of a node ends the previous one at once. A session without heartbeats lapses after
// a while, and so does one that has lost the store while this node reaches it. A lapse only allows
// other nodes to take over the session's work; fencing in the store makes a false lapse harmless.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include "chalkshed/load_relay.h"
#include "chalkshed/log_limit.h"
#include "chalkshed/node_announcement.h"
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

// This node's announcement to the others.
struct PeerIdentity {
  std::string node;     // unique name of the machine
  std::string session;  // unique for this start: NODE#START
  std::string zone;
  Address address;           // where datagrams of other nodes arrive
  uint16_t caller_port = 0;  // for callers, and for jobs that peers forward
  double capacity = 1;       // share of a processor core
};

struct PeerKnobs {
  // Interval between two heartbeats when nothing changes.
  Duration heartbeat_interval = std::chrono::milliseconds(500);
  // Minimum interval between reports of load changes. With many peers the interval is longer: a
  // node sends at most this many datagrams a second to peers in its own zone, and to all others.
  Duration min_interval = std::chrono::milliseconds(60);
  double near_datagrams_per_second = 250;
  double far_datagrams_per_second = 100;
  // With more peers than this, loads are sent through the relays of each zone, and heartbeats to
  // other nodes only indicate liveness: this many datagrams a second to peers in this zone, and as
  // many to all others. The relays detect a silent node sooner.
  size_t max_peers_without_relays = 48;
  double relayed_datagrams_per_second = 20;
  // Minimum interval between two reports to the relays: a burst of changes in one iteration of the
  // event loop is one report.
  Duration min_report_interval = std::chrono::milliseconds(20);
  // Higher rate for changes that nodes of other zones must learn of at once.
  double notable_datagrams_per_second = 1000;
  Duration lapse_after = std::chrono::milliseconds(2500);
  // However rarely a peer sends, it lapses only after this many missed heartbeats.
  int missed_heartbeats = 5;
  // Used instead of lapse_after by a node that receives no heartbeats: it may itself be cut off.
  Duration lapse_when_alone = std::chrono::milliseconds(6000);
  // A node that heard no peer at all for this long was itself cut off, or all others were.
  Duration deaf_after = std::chrono::milliseconds(1500);
  // The work of a peer that a healthy store has not answered for this long is taken over.
  Duration store_silence = std::chrono::milliseconds(2600);
  // A slow store is slow for all nodes. It is considered slow if it delayed this node's long polls
  // beyond the 1.5 s of a healthy store, or took this long for a call that usually takes about
  // 10 ms. Both criteria are needed: a node that calls often sees only short silences, and an idle
  // node makes no calls.
  Duration healthy_store_silence = std::chrono::milliseconds(1600);
  Duration healthy_store_call = std::chrono::milliseconds(500);
  // An entry that its owner renews in the store may be missing this long after the store failed: it
  // lapses after three heartbeats of up to 1.2 s, and is back two seconds after the store's return.
  Duration entry_lapse = std::chrono::seconds(8);
  // With a slow store, a peer's work is taken over only after two consecutive calls of 2.5 s each
  // have failed, plus the delay between them. In simulations of 32 bursts on an overloaded store (6
  // and 20 nodes, 64 minutes) this reduced the jobs taken from connected nodes from 125 to none.
  Duration slow_store_silence = std::chrono::milliseconds(5200);
  // A reported load expires after this time, or after three missed heartbeats if that is longer.
  Duration load_lifetime = std::chrono::milliseconds(1500);
  // A node for which more than this share of the workers fails is more likely faulty itself: its
  // reported outcomes are ignored.
  double max_failing_share = 0.25;
  // A peer that the store answered within this time probably reaches it. The long polls of an idle
  // peer take most of this time.
  Duration store_contact = std::chrono::milliseconds(2000);
  // How long a peer's report on its contact with the store is valid: as long as a node may start
  // items from an old view.
  Duration store_report_lifetime = std::chrono::milliseconds(2000);
  Duration announce_retry = std::chrono::milliseconds(500);
  // Nodes whose announcement the store has refused retry within this time for each announced node,
  // which is a little slower than the store writes the rows of one partition. With the same delay
  // for all of them, the store admitted a few at a time however many there were.
  Duration announce_retry_per_node = std::chrono::milliseconds(6);
  // A peer that has been silent for this long is no longer taken into account.
  Duration gone_after = std::chrono::seconds(30);
  load_relay_knobs relays;
};

inline constexpr const char* kNodeTable = "node";  // key: the node's name

class PeerExchange : public TableObserver, public SessionView {
 public:
  // All references must outlive the exchange.
  PeerExchange(TimeSource& time_source, Dispatcher& dispatcher, WatchedStore& store,
               StoreClock& clock, DatagramTransport& datagrams, WorkerSet& workers, Logger& logger,
               MetricsRegistry& metrics, PeerIdentity identity, const PeerKnobs& knobs = {});

  void start();
  // Called with the rows of the node table.
  void on_row(const StoredRow& row) override;
  void on_listed() override;
  // Removes this node's row when it stops, so that its peers need not wait for it to lapse.
  void withdraw();
  // Called with all announced peers when any of them has changed, but not before they have been
  // listed once.
  void set_on_peers_changed(std::function<void(const std::vector<relay_candidate>&)> callback) {
    on_peers_changed_ = std::move(callback);
  }
  // Sets the receiver for datagrams of another module. @param read returns whether the datagram was
  // one of these.
  void set_other_reader(std::function<bool(std::string_view)> read) {
    other_reader_ = std::move(read);
  }
  // Sets the source of this node's reports on its jobs, and the receiver of other nodes' reports.
  void set_job_remainders(std::function<std::vector<job_remainder>()> own,
                          std::function<void(const job_remainder&)> on_reported) {
    own_remainders_ = std::move(own);
    on_remainder_ = std::move(on_reported);
  }
  // Sets the source of the row versions that this node knows, and the receiver of other nodes'.
  void set_known_versions(std::function<KnownVersions()> own,
                          std::function<void(const KnownVersions&)> on_reported);
  // Called when a datagram arrives from a session whose announcement is not known here yet.
  void set_on_unknown_session(std::function<void()> callback) {
    relay_.set_on_unknown_session(callback);
    on_unknown_session_ = std::move(callback);
  }
  // Called when the use of relays for loads begins or ends, and when this node's role in it
  // changes.
  void set_on_role_changed(std::function<void()> callback);
  // Whether the loads of other nodes come from a relay, because there are many nodes.
  bool is_relay_member() const { return relayed() && !relay_.relaying(); }
  // Whether a relay reports new rows of the store's tables to this node.
  bool hears_informed_relay() const { return is_relay_member() && relay_.hears_informed_relay(); }
  // Whether the nodes have been listed once.
  bool listed() const { return listed_; }
  // @return the addresses at which the nodes of this zone accept requests of peers.
  std::vector<Address> zone_peers() const;
  bool relayed() const { return peers_.size() > knobs_.max_peers_without_relays; }
  // Sets how long the store may delay answers to this node (long polling); only a longer silence
  // counts as store silence.
  void set_store_wait(Duration wait) { store_wait_ = wait; }
  // @return how many announced nodes precede this one for the key, whether alive or not, or nothing
  // before the nodes have been listed. All nodes with the same view of the table agree on it.
  std::optional<size_t> announced_rank(const std::string& key) const;
  // @param table selects the version to compare.
  // @param draw random number that selects among several peers.
  // @return the address of a peer that has a row of that version or newer; nothing if none is
  // known.
  std::optional<Address> peer_knowing(StoreVersion KnownVersions::*table, StoreVersion version,
                                      uint64_t draw) const;
  // @return the address at which the node of that session accepts calls of peers, unless a newer
  // session has replaced it.
  std::optional<Address> address_of(const std::string& session) const;
  // Time since the store last answered this node, beyond the time it may delay an answer.
  Duration own_store_silence() const;
  // Whether the store has been silent for so long that this node's view may be stale.
  bool store_lost() const { return own_store_silence() > knobs_.store_silence; }
  // The requests that this node has in flight have changed.
  void load_changed();

  const std::string& own_session() const override { return identity_.session; }
  bool alive(const std::string& session, StoreVersion seen) override;
  bool replaced(const std::string& session, StoreVersion seen) const override;
  size_t rank(const std::string& key) const override;
  std::optional<Address> peer_with_store(uint64_t seed) const override;
  bool others_may_reach_store() const override;
  void begin_drain() override;
  Duration view_lag() const override;
  size_t announced_nodes() const override { return peers_.size() + 1; }
  // Whether the store has failed or been slow lately, so that entries may have lapsed whose owners
  // live.
  bool entries_may_have_lapsed() const;
  bool loads_known() override;

 private:
  struct Peer {
    std::string session;
    std::string zone;
    Address address;
    uint16_t caller_port = 0;  // 0: not announced
    double capacity = 0;
    StoreVersion announcement = 0;
    MonotonicTime announced{};
    MonotonicTime last_heard{};         // the last heartbeat of this session
    Duration next_heartbeat_within{0};  // the next one comes within it; 0: unknown
    uint64_t sequence = 0;
    bool draining = false;
    Duration store_silence{0};
    KnownVersions known;
    bool lapsed = false;
    reported_loads loads;
  };

  void announce();
  // @param row of this node.
  void announce_again_if_replaced(const StoredRow& row);
  // @return what the row of a node says; without a session if it was removed or cannot be read,
  // which is logged.
  node_announcement announcement_in(const StoredRow& row);
  // Delay until the announcement is sent again; differs between nodes.
  Duration announce_delay() const;
  void tick();
  void send_heartbeats();
  void receive(std::string_view datagram);
  void note_unknown_session(const Heartbeat& heartbeat);
  void note_unreadable(std::string_view datagram);
  // Whether a node said lately that the store answers it.
  bool reports_store(MonotonicTime heard, Duration store_silence) const;
  void record_contact(Peer& peer);
  void note_heard_any_peer();
  // When this node began to notice that it does not hear the peer.
  MonotonicTime silent_since(const Peer& peer) const;
  void apply_versions(Peer& peer, const KnownVersions& known);
  void apply_loads(Peer& peer, const std::vector<PeerWorkerLoad>& loads);
  void apply_outcomes(const Peer& peer, const std::vector<PeerWorkerOutcomes>& outcomes);
  Heartbeat make_heartbeat();
  void add_remainders(Heartbeat& heartbeat);
  bool near(const Peer& peer) const { return peer.zone == identity_.zone; }
  bool may_relay(const Peer& peer) const;
  // Passes the peers to load_relay if they have changed.
  void update_relays();
  void send_to_peers(Heartbeat& heartbeat, bool to_near, bool to_far);
  void send_relayed();
  // Minimum interval between heartbeats to near peers (same zone) or far peers after changes.
  Duration min_interval(bool near) const;
  // Interval between these heartbeats when nothing changes.
  Duration idle_interval(bool near) const;
  // Maximum time until the peer's next heartbeat, as announced by the peer.
  Duration expected_interval(const Peer& peer) const;
  // Counts the peers once per iteration of the event loop: a page of the table contains hundreds.
  void count_peers_soon();
  void count_peers();
  void compensate_own_pause();
  void update_lapsed_peers();
  // The reason why the peer's session is considered lapsed.
  enum class LapseReason { kNone, kSilent, kReportedByRelay, kLostStore };
  static const char* name_of(LapseReason reason);
  LapseReason lapse_reason(const Peer& peer) const;
  bool lapsed(const Peer& peer) const { return lapse_reason(peer) != LapseReason::kNone; }
  bool lost_store(const Peer& peer) const;
  // Whether the store has recently been slow to answer this node.
  bool store_slow() const;
  // How long the store may leave a peer without an answer before the peer lapses.
  Duration store_silence_limit() const;
  // How long the peer may be silent before it lapses.
  Duration lapse_timeout_of(const Peer& peer) const;
  void log_lapse_change(const std::string& node, const Peer& peer, LapseReason reason) const;

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
  // Unannounced sessions that own work according to the store, with the time of their first lookup.
  std::map<std::string, MonotonicTime> unannounced_;
  std::function<std::vector<job_remainder>()> own_remainders_;
  std::function<void(const job_remainder&)> on_remainder_;
  size_t next_remainder_ = 0;  // rotates through the jobs when a datagram cannot hold them all
  std::function<KnownVersions()> own_versions_;
  std::function<void(const KnownVersions&)> on_versions_;
  std::function<void()> on_role_changed_;
  std::function<void(const std::vector<relay_candidate>&)> on_peers_changed_;
  std::function<bool(std::string_view)> other_reader_;
  std::function<void()> on_unknown_session_;
  bool listed_ = false;
  StoreVersion own_announcement_ = 0;           // the newest row of this node
  StoreVersion acknowledged_announcement_ = 0;  // the newest one that this process wrote
  MonotonicTime announced_again_{};
  // The newest heartbeat of a session that the store doesn't announce to this node.
  struct UnknownSession {
    MonotonicTime heard{};
    Duration store_silence{0};
  };
  std::map<std::string, UnknownSession> unknown_sessions_;
  uint64_t announce_attempts_ = 0;
  std::optional<MonotonicTime> own_announced_;  // when the store confirmed it
  bool loads_known_ = false;
  MonotonicTime loads_checked_{};
  Duration store_wait_{0};
  RecentLongest own_longest_silence_;
  MonotonicTime store_contact_since_{};  // start of this node's uninterrupted store contact
  bool draining_ = false;
  uint64_t sequence_ = 0;
  MonotonicTime last_sent_{};
  MonotonicTime last_sent_far_{};
  MonotonicTime last_sent_near_{};     // to the whole zone, while loads go by relays
  std::vector<Address> reported_to_;   // relays that expect the next heartbeat soon
  uint64_t notable_changes_sent_ = 0;  // worker set changes already reported to far peers
  uint64_t outcomes_reported_ = 0;
  MonotonicTime outcomes_sent_{};
  size_t near_peers_ = 0;
  size_t far_peers_ = 0;
  MonotonicTime last_tick_{};
  MonotonicTime last_heard_any_peer_{};
  MonotonicTime hearing_since_{};  // the end of the last time in which no peer was heard
  log_limit unknown_logged_;
  log_limit unreadable_logged_;
  log_limit unreadable_rows_logged_;
  load_relay relay_;
  bool was_relayed_ = false;
  bool heard_informed_relay_ = false;
  uint64_t announcements_ = 0;
  uint64_t relay_peers_hash_ = 0;  // hash of the peers as load_relay was given them last
  TimerPtr tick_timer_;
  TimerPtr send_timer_;
  TimerPtr announce_timer_;
  TimerPtr count_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
