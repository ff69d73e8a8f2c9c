#ifndef CHALKSHED_LOAD_RELAY_H
#define CHALKSHED_LOAD_RELAY_H

/** \file
 * Distributes the load of each node on the workers to all other nodes in large clusters.
 *
 * If every node reported to every other, each would spend its processor share on it at a few
 * hundred nodes and would still get reports from most of them only every few seconds. Instead,
 * each zone has two relays. The nodes of the zone report to both; the first relay sends each of
 * them the sum of all others, and sends the sum of the zone to the relays of the other zones. A
 * node then receives some hundred small datagrams per second regardless of the number of nodes,
 * and its view is some 70 ms old.
 *
 * Each node selects the relays by itself from the nodes that it considers alive: the most capable
 * ones, in an order derived from hashes of their names. No agreement is needed: a digest is
 * absolute and contains what its sender knows, so relays that disagree on their role only send
 * more than necessary. Without digests, loads expire and worker selection falls back to this
 * node's own observations. */

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chalkshed/load_digest.h"
#include "chalkshed/relay_choice.h"
#include "chalkshed/speed_sums.h"
#include "src/core/address.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/peers/heartbeat.h"
#include "src/serving/worker_set.h"
#include "src/transport/peer_transport.h"
#include "src/watch/store_clock.h"

namespace chalkshed {

struct load_relay_knobs {
    /** Number of relays per zone; one may fail without a gap. */
    size_t relays_per_zone = 2;
    /** Minimum interval between two digests. With digests every 100 ms at 63 nodes, one stream in
     * ten was late, because many nodes selected workers by the same outdated view. */
    Duration min_interval = std::chrono::milliseconds(25);
    /** Approximate limit on the datagrams that a relay sends per second, at some 3 % of a core; in
     * large zones, digests become less frequent. */
    double datagrams_per_second = 2400;
    /** The second relay of another zone is sent only every n-th sum of this zone. */
    uint64_t sums_for_second_relay = 4;
    /** The second relay starts sending when the first has been silent for this long: three digests
     * of a zone of a hundred nodes. */
    Duration first_relay_silence = std::chrono::milliseconds(350);
    /** Reports of a relay expire after this time, which exceeds the duration of a burst. */
    Duration digest_lifetime = std::chrono::milliseconds(1500);
    /** A relay without an answer from the store for this long may lack recent changes, and reports
     * so: without changes, the store delays its answers by 1.5 s. */
    Duration store_contact = std::chrono::milliseconds(2000);
    /** A digest of this many entries and sessions fits into a datagram. */
    size_t max_entries = 100;
    size_t max_lapsed = 24;
    /** Speeds of workers in a digest. Together with the loads they have to fit into a datagram. */
    size_t max_speeds = 8;
};

/** Converts the loads of a heartbeat to digest entries. */
std::vector<digest_entry> to_entries(const std::vector<PeerWorkerLoad> &loads);

/** Combined load of several sources on a worker. It is updated with each report: summing over all
 * nodes for each digest took 60,000 look-ups per digest at a relay of 20 nodes with 3,000 workers.
 */
struct summed_load {
    int32_t online = 0;
    int32_t batch = 0;
};
using summed_loads = std::unordered_map<uint32_t, summed_load>;

/** The last report of one source, as applied to the WorkerSet. */
class reported_loads {
public:
    /** Replaces the source's report for a range of workers.
     * \param sum If given, gets the same changes. */
    void replace(WorkerSet &workers, const std::vector<digest_entry> &entries, uint32_t first = 0,
                 uint32_t last = UINT32_MAX, summed_loads *sum = nullptr);
    /** Adds the prompts sent to workers since the source's previous report. The first value of a
     * counter is only recorded, since it doesn't tell when its prompts were sent.
     * \param total If given, gets the added units by worker. */
    void add_prompts(WorkerSet &workers, const std::vector<digest_entry> &entries,
                     std::unordered_map<uint32_t, uint16_t> *total = nullptr);
    void forget_prompts() {
        prompt_units_.clear();
    }
    /** By worker. */
    const std::map<uint32_t, digest_entry> &loads() const {
        return loads_;
    }
    /** Added prompt units by worker; they wrap around. */
    const std::map<uint32_t, uint16_t> &added_prompts() const {
        return added_;
    }

private:
    std::map<uint32_t, digest_entry> loads_;
    std::map<uint32_t, uint16_t> prompt_units_;
    std::map<uint32_t, uint16_t> added_;
};

class load_relay {
public:
    /** \param own This node; its `fit` and `lapsed` are ignored. All references outlive this. */
    load_relay(TimeSource &time_source, Dispatcher &dispatcher, DatagramTransport &datagrams,
               WorkerSet &workers, StoreClock &clock, Logger &logger, MetricsRegistry &metrics,
               relay_candidate own, const load_relay_knobs &knobs = {});

    /** Sets the current other nodes. Nothing is relayed before the first call, or after a call with
     * an empty list. */
    void set_peers(std::vector<relay_candidate> peers);
    /** Drops the reports of relays that have become silent; to be called a few times per second. */
    void expire_silent();

    /** Sets the source of this node's known table versions, and the callback for those that relays
     * report. */
    void set_known_versions(
        std::function<KnownVersions()> own,
        std::function<void(const std::string &session, const KnownVersions &)> on_reported);
    /** Called when this node becomes a relay or ceases to be one. */
    void set_on_role_changed(std::function<void()> callback) {
        on_role_changed_ = std::move(callback);
    }

    /** Called when a digest from an unknown session arrives. */
    void set_on_unknown_session(std::function<void()> callback) {
        on_unknown_session_ = std::move(callback);
    }

    /** Whether this node is a relay of its zone. */
    bool relaying() const {
        return rank_ < knobs_.relays_per_zone;
    }
    /** Whether this node gets digests from a relay of its zone that is up to date with the store's
     * tables. */
    bool hears_informed_relay() const {
        return !view_.session.empty() && view_informed_;
    }
    /** Whether this node gets digests from a relay of its zone. */
    bool hears_relay() const {
        return !view_.session.empty();
    }
    /** Addresses to which this node reports its load. */
    const std::vector<Address> &report_to() const {
        return report_to_;
    }
    /** Interval between two digests that this node sends or receives. */
    Duration digest_interval() const;
    /** Takes in the load reported by a node of this zone. */
    void collect(const std::string &node, const std::vector<PeerWorkerLoad> &loads);
    /** Takes in samples of workers' speeds, of a node of this zone or of this node. */
    void collect_speeds(const std::vector<worker_speed_entry> &speeds);
    /** \return Whether the datagram was a digest. */
    bool receive(std::string_view datagram);
    /** Whether a relay has recently reported that the session has lapsed. */
    bool reported_lapsed(const std::string &session) const;

private:
    /** The load of a zone, or of all other nodes, as reported by the relay of a zone. */
    struct zone_source {
        reported_loads loads;
        /** Session id of the relay whose digests are used. */
        std::string session;
        /** Sequence number of its newest digest, which may span several datagrams. */
        uint64_t sequence = 0;
        MonotonicTime heard{};
    };
    struct lapsed_report {
        std::vector<uint64_t> sessions;
        MonotonicTime heard{};
    };

    const relay_candidate *find_peer(const std::string &session) const;
    std::vector<const relay_candidate *> relays_of(const std::string &zone) const;
    void update_role();
    void forget_all();
    void apply(zone_source &source, const load_digest &digest);
    void forget(zone_source &source);
    bool first_relay_is_silent() const;
    void send_digests();
    void send_views(const std::vector<worker_speed_entry> &speeds);
    void send_zone_sum();
    load_digest make_digest(bool zone_sum);
    /** The speeds for the next views. At a relay that has known the samples of other nodes for a
     * short time only, what it knew before counts. */
    std::vector<worker_speed_entry> next_speeds();
    /** The load of all nodes including this one, as far as known. */
    std::vector<digest_entry> all_entries() const;
    /** The load of this node's zone only. */
    std::vector<digest_entry> zone_entries() const;
    static std::vector<digest_entry> without(const std::vector<digest_entry> &all,
                                             const reported_loads &receiver);
    void send(const std::vector<Address> &receivers, load_digest whole);
    /** Lapsed sessions of this node's zone, as seen by this node itself. */
    std::vector<uint64_t> own_lapsed() const;
    std::vector<uint64_t> all_lapsed() const;

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    WorkerSet &workers_;
    StoreClock &clock_;
    Logger &logger_;
    Histogram &view_interval_;
    const relay_candidate own_;
    const load_relay_knobs knobs_;
    std::vector<relay_candidate> peers_;
    /** Peers of this node's zone. */
    size_t zone_peers_ = 0;
    std::map<std::string, size_t> by_session_;
    /** Rank among the relay candidates of the zone. */
    size_t rank_ = SIZE_MAX;
    std::string relay_names_;
    std::vector<Address> report_to_;
    /** At a relay: loads and prompts reported by the nodes of this zone. */
    std::map<std::string, reported_loads> collected_;
    /** At a relay: reports from the relays of other zones, by zone. */
    std::map<std::string, zone_source> zones_;
    /** At any other node: the report of this zone's relay. */
    zone_source view_;
    /** Whether that relay was up to date with the store's tables at its last digest. */
    bool view_informed_ = false;
    MonotonicTime first_relay_heard_{};
    /** Lapsed sessions, by the zone whose relay reported them. */
    std::map<std::string, lapsed_report> lapsed_;
    /** Prompt units that other nodes have sent to workers since this node became a relay; wraps
     * around. */
    std::unordered_map<uint32_t, uint16_t> zone_prompts_;
    std::unordered_map<uint32_t, uint16_t> other_zone_prompts_;
    /** Sum of `collected_`. */
    summed_loads zone_loads_;
    /** At a relay: samples of workers' speeds from all nodes. */
    speed_sums speeds_;
    /** Number of datagrams of the last view that was sent. */
    size_t view_pages_ = 1;
    std::function<KnownVersions()> own_versions_;
    std::function<void(const std::string &session, const KnownVersions &)> on_versions_;
    std::function<void()> on_role_changed_;
    std::function<void()> on_unknown_session_;
    uint64_t sequence_ = 0;
    uint64_t sums_sent_ = 0;
    TimerPtr timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
