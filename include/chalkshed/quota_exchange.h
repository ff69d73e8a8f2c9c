#ifndef CHALKSHED_QUOTA_EXCHANGE_H
#define CHALKSHED_QUOTA_EXCHANGE_H

/** \file
 * Exchanges the tenants' usage of their rate limits between nodes.
 *
 * Each zone has relays (relay_choice.h). A node reports the requests that it has admitted to all
 * relays of its zone; each of these computes what is left of all limits (quota_levels.h). The
 * first relay sends its view to the nodes of the zone, and the sum of the zone to the relays of
 * the other zones; the second takes over while the first is silent.
 *
 * Nodes that a relay doesn't hear may continue on their own with an equal share of each limit. A
 * relay therefore hands out only the share of the counted nodes: its `coverage`. Partitions that
 * don't hear each other then together admit no more than the limit, plus a small excess at the
 * start of the partition (docs/design/tenant_quotas.md). */

#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chalkshed/quota_levels.h"
#include "chalkshed/quota_message.h"
#include "chalkshed/relay_choice.h"
#include "chalkshed/tenant_quota.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct quota_exchange_knobs {
    size_t relays_per_zone = 2;
    /** Minimum interval between two messages of a node. The excess over a limit grows with it. */
    Duration interval = std::chrono::milliseconds(50);
    /** Interval at which a node without changes still sends a message, as a sign of life. */
    Duration idle_interval = std::chrono::milliseconds(100);
    /** Approximate limit on the datagrams that a relay sends per second; its interval is extended
     * if necessary. */
    double datagrams_per_second = 1200;
    /** A source that has been silent for this long is no longer counted. A source that is heard
     * again is counted only after the same time, when any relay that counted it before has stopped
     * doing so. */
    Duration silence_timeout = std::chrono::milliseconds(350);
    /** A zone sum includes a tenant once its count has changed by least_change requests or by this
     * share of what is left, or after max_unsent_time. */
    double least_change = 2;
    double least_change_share = 0.05;
    Duration max_unsent_time = std::chrono::milliseconds(250);
    /** If most nodes are counted, this share of uncounted ones is treated as counted, because
     * single nodes are lost and replaced all the time. Two halves of a partitioned system together
     * admit twice this share above the limit. */
    double uncounted_share = 0.02;
    /** Relays that count less than half of the nodes for this long hand out nothing: the other
     * nodes stop reserving their share once they have been silent for relay_candidate::gone. */
    Duration max_isolation = std::chrono::seconds(25);
};

class quota_exchange {
public:
    /** \param own This node; its `fit`, `lapsed` and `gone` are ignored. All references outlive
     * this. */
    quota_exchange(TimeSource &time_source, Dispatcher &dispatcher, DatagramTransport &datagrams,
                   tenant_quota &quota, Logger &logger, MetricsRegistry &metrics,
                   relay_candidate own, const quota_exchange_knobs &knobs = {});

    /** Sets the limits in force. Without any, nothing is sent. */
    void set_tenants(const tenant_table &tenants);
    /** Sets the current other nodes. */
    void set_peers(std::vector<relay_candidate> peers);
    /** \return Whether the datagram was a quota message. */
    bool receive(std::string_view datagram);
    /** Called when a message from an unknown session arrives. */
    void set_on_unknown_session(std::function<void()> callback) {
        on_unknown_session_ = std::move(callback);
    }
    bool relaying() const {
        return rank_ < knobs_.relays_per_zone;
    }

private:
    /** Counts received from one sender. */
    struct counted_source {
        uint32_t run = 0;
        uint64_t sequence = 0;
        uint16_t nodes = 1;
        MonotonicTime heard{};
        /** Start of the time during which it has been heard without a gap. */
        MonotonicTime heard_since{};
        /** Whether its counts are known from its first message on. */
        bool whole = false;
        std::unordered_map<uint32_t, tenant_count> counts;
    };
    struct unsent_count {
        tenant_count total;
        uint32_t sent = 0;
        MonotonicTime sent_at{};
        bool changed = false;
    };

    const relay_candidate *find_peer(const std::string &session) const;
    void start_when_ready();
    void update_role();
    void start_relaying();
    void tick();
    Duration relay_interval() const;
    void report();
    void relay();
    void note_first_relay();
    void send_views();
    void send_zone_sum();
    /** \param add Called with the source's counts since its previous message. */
    void apply_counts(counted_source &source, const quota_message &message,
                      const std::function<void(const tenant_count &)> &add);
    void add_to_zone(const tenant_count &more);
    void apply_report(const quota_message &report);
    void apply_sum(const relay_candidate &sender, const quota_message &sum);
    bool heard_recently(const counted_source &source) const;
    /** Whether this relay hands out the share of the source. */
    bool is_counted(const counted_source &source) const;
    /** Number of nodes of this zone whose reports are counted, including this one. */
    uint16_t counted_in_zone() const;
    double coverage();
    bool is_silent(MonotonicTime heard) const;

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    tenant_quota &quota_;
    Logger &logger_;
    Gauge &coverage_gauge_;
    const relay_candidate own_;
    const quota_exchange_knobs knobs_;
    bool limited_ = false;
    bool peers_known_ = false;
    std::vector<relay_candidate> peers_;
    /** Number of nodes that may admit requests, including this one. */
    size_t nodes_ = 1;
    std::unordered_map<std::string, size_t> by_session_;
    std::vector<Address> report_to_;
    size_t rank_ = SIZE_MAX;
    quota_levels levels_;
    /** Count sources by session: nodes of this zone, and relays of other zones. */
    std::unordered_map<std::string, counted_source> reports_;
    std::unordered_map<std::string, counted_source> sums_;
    /** Counts of this zone since this relay started sending its sum. */
    std::unordered_map<uint32_t, unsent_count> zone_;
    MonotonicTime began_relaying_{};
    /** Coverage of the last view before this node became a relay. */
    double inherited_coverage_ = 0;
    uint32_t run_ = 0;
    uint64_t sums_sent_ = 0;
    uint64_t views_sent_ = 0;
    MonotonicTime reported_{};
    MonotonicTime relayed_{};
    MonotonicTime first_relay_heard_{};
    /** Sequence number of the newest view, by session of its relay. */
    std::unordered_map<std::string, uint64_t> views_;
    quota_message newest_view_;
    MonotonicTime newest_view_heard_{};
    /** Since when less than half of the nodes have been counted. */
    std::optional<MonotonicTime> in_minority_since_;
    std::function<void()> on_unknown_session_;
    TimerPtr timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
