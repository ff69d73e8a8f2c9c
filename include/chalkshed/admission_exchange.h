#ifndef CHALKSHED_ADMISSION_EXCHANGE_H
#define CHALKSHED_ADMISSION_EXCHANGE_H

/** \file
 * Exchanges the demand for overloaded services between nodes.
 *
 * Each zone has relays (relay_choice.h). While requests wait or are refused, nodes report to all
 * relays of their zone; each of these sums the reports, exchanges the sums with the relays of the
 * other zones, and computes the levels of all priorities (admission_levels.h). The first relay
 * sends sums and views; the second takes over while the first is silent. Without waiting requests,
 * nothing is sent.
 *
 * A node without views of a relay admits an equal share of the capacity on its own. A relay
 * therefore hands out only the share of the nodes that it counts. */

#include <functional>
#include <list>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "chalkshed/admission_levels.h"
#include "chalkshed/admission_message.h"
#include "chalkshed/relay_choice.h"
#include "chalkshed/shared_admission.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct admission_exchange_knobs {
    size_t relays_per_zone = 2;
    /** Minimum interval between two messages of a node. Nodes go on with old levels for as long at
     * the start of a burst. */
    Duration interval = std::chrono::milliseconds(50);
    /** A request waits for this long before its node reports: most waits end sooner, and they need
     * no decision. */
    Duration first_delay = std::chrono::milliseconds(10);
    /** Approximate limit on the datagrams that a relay sends per second; its interval is extended
     * if necessary. */
    double datagrams_per_second = 1200;
    /** A source that has been silent for this long is no longer counted. */
    Duration silence_timeout = std::chrono::milliseconds(350);
    /** All nodes report once they know of an overload. Until then, all of them count. */
    Duration report_time = std::chrono::milliseconds(400);
    /** Single nodes are lost and replaced all the time: this share of uncounted nodes is treated as
     * counted. */
    double uncounted_share = 0.05;
    /** Each refusal is named in this many messages, because datagrams may be lost. */
    uint32_t content_repeats = 2;
    size_t max_contents_in_message = 120;
    admission_levels_knobs levels;
};

class admission_exchange {
public:
    /** \param own This node; its `fit`, `lapsed` and `gone` are ignored. All references outlive
     * this. */
    admission_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                       DatagramTransport &datagrams, shared_admission &admission, Logger &logger,
                       relay_candidate own, const admission_exchange_knobs &knobs = {});

    /** Sets the current other nodes. */
    void set_peers(std::vector<relay_candidate> peers);
    /** \return Whether the datagram was a message of shared admission. */
    bool receive(std::string_view datagram);
    bool relaying() const {
        return rank_ < knobs_.relays_per_zone;
    }

private:
    template <typename Count> struct timed_count {
        Count count;
        uint64_t sequence = 0;
    };
    /** The values of one sender. */
    struct counted_source {
        std::string session;
        uint64_t sequence = 0;
        uint16_t nodes = 1;
        MonotonicTime heard{};
        std::map<admission_key, timed_count<admission_count>> counts;
        std::map<uint32_t, timed_count<served_count>> served;
        /** Its place in the order in which the sources were heard. */
        std::list<std::string>::iterator place;
    };
    /** Senders of a kind, and their sum. The sum is maintained incrementally, because the number of
     * senders grows with the fleet. */
    struct source_group {
        std::unordered_map<std::string, counted_source> sources;
        /** Least recently heard first. */
        std::list<std::string> order;
        size_t nodes = 0;
    };
    /** A refusal that is passed on. */
    struct passed_content {
        uint64_t content = 0;
        MonotonicTime refused{};
        uint32_t to_nodes = 0;
        uint32_t to_zones = 0;
    };

    bool is_silent(MonotonicTime heard) const;
    void update_role();
    void start_relaying();
    void wake(Duration delay);
    void tick();
    Duration relay_interval() const;
    void report();
    void relay();
    /** \param zone_also Whether the values also belong to the sum of this zone. */
    void apply_counts(source_group &group, const std::string &name,
                      const admission_message &message, bool zone_also);
    template <typename Key, typename Count>
    void replace(std::map<Key, timed_count<Count>> &known, const Key &key, const Count &count,
                 uint64_t sequence, bool zone_also);
    template <typename Key, typename Count>
    void remove_old(std::map<Key, timed_count<Count>> &known, uint64_t before, bool zone_also);
    void remove_all(counted_source &source, bool zone_also);
    void expire(source_group &group, bool zone_also);
    void pass_on(const admission_message &message, bool to_zones);
    std::vector<refused_content> next_contents(uint32_t passed_content::*left);
    double coverage();
    void send_views(const admission_message &view);
    void send_zone_sum(const std::vector<service_capacity> &services);
    void apply_view(const admission_message &view);

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    shared_admission &admission_;
    Logger &logger_;
    const relay_candidate own_;
    const admission_exchange_knobs knobs_;
    std::vector<relay_candidate> peers_;
    std::unordered_map<std::string, std::string> zone_of_session_;
    size_t nodes_ = 1;
    std::vector<Address> report_to_;
    std::vector<Address> zone_nodes_;
    std::vector<Address> other_relays_;
    size_t rank_ = SIZE_MAX;
    admission_levels levels_;
    /** Nodes of this zone by session, and sums of the other zones by zone. */
    source_group reports_;
    source_group sums_;
    admission_totals zone_;
    admission_totals all_;
    std::vector<passed_content> contents_;
    /** Since when some service has been overloaded. */
    std::optional<MonotonicTime> overloaded_since_;
    uint64_t views_sent_ = 0;
    uint64_t sums_sent_ = 0;
    MonotonicTime relayed_{};
    MonotonicTime first_relay_heard_{};
    std::unordered_map<std::string, uint64_t> views_;
    TimerPtr timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
