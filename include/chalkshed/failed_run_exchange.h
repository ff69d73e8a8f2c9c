#ifndef CHALKSHED_FAILED_RUN_EXCHANGE_H
#define CHALKSHED_FAILED_RUN_EXCHANGE_H

/** \file
 * Tells a few other nodes, by datagram, of failed runs of batch items that the store does not hold
 * yet. A worker's answer that only the owner of the job knows is lost with its process, and the
 * next owner runs the item once more: also while the store is slow or away, and so several times in
 * a row. The nodes that are told are those that would take the job over. */

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/failed_run_message.h"
#include "chalkshed/known_failed_runs.h"
#include "chalkshed/relay_choice.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/metrics/metrics.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct failed_run_exchange_knobs {
    /** Nodes that are told of a run: enough that the loss of half of the nodes at once rarely takes
     * all of them. */
    size_t holders = 5;
    /** An unrecorded run is repeated after this time, then at twice the interval each time, ... */
    Duration first_repeat_delay = std::chrono::milliseconds(100);
    /** ... up to this one. */
    Duration max_repeat_delay = std::chrono::seconds(4);
    known_failed_runs_knobs memory;
};

class failed_run_exchange {
public:
    /** All references outlive this. */
    failed_run_exchange(TimeSource &time_source, Dispatcher &dispatcher,
                        DatagramTransport &datagrams, MetricsRegistry &metrics,
                        const failed_run_exchange_knobs &knobs = {});

    /** Peers that have not been seen before are told of the runs that they would need. */
    void set_peers(const std::vector<relay_candidate> &peers);
    /** A run failed at this node, or an earlier owner could not record it. It is repeated until
     * note_recorded(). */
    void announce(const failed_run &run);
    /** The store holds the run. */
    void note_recorded(const failed_run &run);
    /** \param item failed_run_item_hash()
     * \return The failed runs of the item, at any node, that this node has heard of lately. */
    std::vector<failed_run> runs_of(uint64_t item) const;
    /** \return Whether the datagram was a message about failed runs. */
    bool receive(std::string_view datagram);

private:
    /** An unrecorded run of this node. */
    struct own_run {
        failed_run run;
        Duration delay{}; // until it is repeated next
        MonotonicTime due{};
    };
    /** What one peer is told next. */
    using runs_by_peer = std::map<Address, std::vector<failed_run>>;

    /** Tells peers that have not been seen before of the runs that they would need. */
    void tell(const std::set<Address> &appeared);
    /** The nodes that would take over the job, the first of them first. */
    std::vector<Address> holders_of(uint64_t job) const;
    /** Sends everything that is due, in one message to each peer where it fits. */
    void flush();
    void flush_soon();
    void schedule_repeat();
    void send(const runs_by_peer &told);
    void update_gauge();

    TimeSource &time_source_;
    Dispatcher &dispatcher_;
    DatagramTransport &datagrams_;
    MetricsRegistry &metrics_;
    const failed_run_exchange_knobs knobs_;
    std::vector<relay_candidate> peers_; // that may take over jobs
    std::set<std::string> seen_sessions_;
    known_failed_runs known_;
    std::map<uint64_t, own_run> own_;  // by run
    std::vector<failed_run> recorded_; // since the last flush
    bool flush_posted_ = false;
    TimerPtr repeat_timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
