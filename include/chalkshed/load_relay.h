#ifndef CHALKSHED_LOAD_RELAY_H
#define CHALKSHED_LOAD_RELAY_H

/** \file
 * How nodes learn of each other's load on the workers where they are many.
 *
 * If every node reported to every other, each would spend its share of the processor on it at a
 * few hundred nodes, and would still hear of most of them only every few seconds. Instead each zone
 * has two relays. The nodes of the zone report to both; the first of the two sends each of them the
 * sum of all others, and the sum of the zone to the relays of the other zones. A node then receives
 * some hundred small datagrams a second however many nodes there are, and what it knows is some
 * 70 ms old.
 *
 * The relays are chosen by every node for itself, from the nodes that it takes for alive: the most
 * capable ones, in an order that is drawn from their names. Nothing has to be agreed: a digest is
 * absolute and says what its sender knows, so that relays that disagree on their role only send
 * more than is needed. While no digest comes, loads are forgotten and the choice of workers falls
 * back on what this node sees itself.
 */

#include <cstdint>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chalkshed/load_digest.h"
#include "chalkshed/relay_choice.h"
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
    /** So many nodes of a zone relay; one may die without a gap. */
    size_t relays_a_zone = 2;
    /** Between two digests at least. Measured at 63 nodes: digests each 100 ms made one stream in
     * ten late, because many nodes chose by the same old view. */
    Duration least_interval = std::chrono::milliseconds(25);
    /** A relay sends about so many datagrams a second at most; where its zone is large, digests are
     * rarer. Some 3 in 100 of a core. */
    double datagrams_per_second = 2400;
    /** The second relay of another zone needs little: it is sent each so many sums of this zone. */
    uint64_t sums_for_second_relay = 4;
    /** The second relay sends when it has not heard the first for this long: three digests of a
     * zone of a hundred nodes. */
    Duration first_relay_silence = std::chrono::milliseconds(350);
    /** What a relay said counts no more after this long; a burst lasts longer than that. */
    Duration digest_lifetime = std::chrono::milliseconds(1500);
    /** A relay that the store has not answered for so long may lack what is new, and says so: with
     * nothing to tell, the store holds its answers for 1.5 s. */
    Duration store_contact = std::chrono::milliseconds(2000);
    /** A digest of so many entries and sessions fits into a datagram. */
    size_t most_entries = 100;
    size_t most_lapsed = 24;
};

/** The loads of a heartbeat as entries of a digest. */
std::vector<digest_entry> to_entries(const std::vector<PeerWorkerLoad> &loads);

/** The load of several sources together, by worker. Kept with each report: summed over all nodes
 * for each digest, it took a relay of 20 nodes 60,000 look-ups a digest at 3,000 workers. */
struct summed_load {
    int32_t online = 0;
    int32_t batch = 0;
};
using summed_loads = std::unordered_map<uint32_t, summed_load>;

/** What one source last reported, as it stands in the WorkerSet. */
class reported_loads {
public:
    /** Replaces what the source reported of the workers of a range.
     * \param sum If given, takes the same changes. */
    void replace(WorkerSet &workers, const std::vector<digest_entry> &entries, uint32_t first = 0,
                 uint32_t last = UINT32_MAX, summed_loads *sum = nullptr);
    /** Adds the prompts that have been sent to workers since the source reported before. The first
     * sight of a counter says nothing of when its prompts were sent.
     * \param total If given, takes what was added, in units, by worker. */
    void add_prompts(WorkerSet &workers, const std::vector<digest_entry> &entries,
                     std::unordered_map<uint32_t, uint16_t> *total = nullptr);
    void forget_prompts() {
        prompt_units_.clear();
    }
    /** By worker. */
    const std::map<uint32_t, digest_entry> &loads() const {
        return loads_;
    }
    /** Prompts that were added, in units, by worker; they wrap. */
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
    /** \param own This node; its `fit` and `lapsed` are not read. All references outlive this. */
    load_relay(TimeSource &time_source, Dispatcher &dispatcher, DatagramTransport &datagrams,
               WorkerSet &workers, StoreClock &clock, Logger &logger, MetricsRegistry &metrics,
               relay_candidate own, const load_relay_knobs &knobs = {});

    /** The other nodes as they stand now. Nothing is relayed until this has been called, nor after
     * it was called with an empty list. */
    void set_peers(std::vector<relay_candidate> peers);
    /** Forgets what relays said that are silent now; to be called a few times a second. */
    void expire_silent();

    /** What this node knows of the store's tables, and what happens with what relays know. */
    void set_known_versions(
        std::function<KnownVersions()> own,
        std::function<void(const std::string &session, const KnownVersions &)> on_reported);
    /** Called when this node becomes a relay or ceases to be one. */
    void set_on_role_changed(std::function<void()> callback) {
        on_role_changed_ = std::move(callback);
    }

    /** Called when a digest comes of a session that is not known. */
    void set_on_unknown_session(std::function<void()> callback) {
        on_unknown_session_ = std::move(callback);
    }

    /** Whether this node is a relay of its zone. */
    bool relaying() const {
        return rank_ < knobs_.relays_a_zone;
    }
    /** Whether this node hears a relay of its zone that knows what is new in the store's tables. */
    bool hears_informed_relay() const {
        return !view_.session.empty() && view_informed_;
    }
    /** Where this node reports its load. */
    const std::vector<Address> &report_to() const {
        return report_to_;
    }
    /** Between two digests that this node sends or hears. */
    Duration digest_interval() const;
    /** A node of this zone has reported its load. */
    void collect(const std::string &node, const std::vector<PeerWorkerLoad> &loads);
    /** \return Whether the datagram was a digest. */
    bool receive(std::string_view datagram);
    /** Whether a relay has lately said that the session is gone. */
    bool reported_lapsed(const std::string &session) const;

private:
    /** A zone, or all other nodes, as the relay of a zone reports them. */
    struct zone_source {
        reported_loads loads;
        /** Of the relay that is listened to. */
        std::string session;
        /** Sequence number of its newest digest, which may come in several datagrams. */
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
    void take(zone_source &source, const load_digest &digest);
    void forget(zone_source &source);
    bool first_relay_is_silent() const;
    void send_digests();
    void send_views();
    void send_zone_sum();
    load_digest make_digest(bool zone_sum);
    /** The load of this node and, as far as known, of all others. */
    std::vector<digest_entry> all_entries() const;
    /** Those of this node's zone alone. */
    std::vector<digest_entry> zone_entries() const;
    static std::vector<digest_entry> without(const std::vector<digest_entry> &all,
                                             const reported_loads &receiver);
    void send(const std::vector<Address> &receivers, load_digest whole);
    /** Sessions that are gone by this node's own sight, of its own zone. */
    std::vector<uint64_t> own_lapsed() const;
    std::vector<uint64_t> all_lapsed() const;

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    WorkerSet &workers_;
    StoreClock &clock_;
    Logger &logger_;
    Histogram &view_age_;
    const relay_candidate own_;
    const load_relay_knobs knobs_;
    std::vector<relay_candidate> peers_;
    /** Peers of this node's zone. */
    size_t zone_peers_ = 0;
    std::map<std::string, size_t> by_session_;
    /** Position among the nodes of the zone that may relay. */
    size_t rank_ = SIZE_MAX;
    std::string relay_names_;
    std::vector<Address> report_to_;
    /** Loads and prompts of the nodes of this zone, as collected by a relay. */
    std::map<std::string, reported_loads> collected_;
    /** What the relays of other zones say, by zone, at a relay. */
    std::map<std::string, zone_source> zones_;
    /** What this zone's relay says, at any other node. */
    zone_source view_;
    /** Whether that relay knows what is new in the store's tables, by its last digest. */
    bool view_informed_ = false;
    MonotonicTime first_relay_heard_{};
    /** Sessions that are gone, by the zone whose relay says so. */
    std::map<std::string, lapsed_report> lapsed_;
    /** Prompts that other nodes have sent to workers since this one relays, in units; wraps. */
    std::unordered_map<uint32_t, uint16_t> zone_prompts_;
    std::unordered_map<uint32_t, uint16_t> far_prompts_;
    /** Sum of `collected_`. */
    summed_loads zone_loads_;
    /** Datagrams of the last view that was sent. */
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
