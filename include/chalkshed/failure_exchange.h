#ifndef CHALKSHED_FAILURE_EXCHANGE_H
#define CHALKSHED_FAILURE_EXCHANGE_H

/** \file
 * Reports to the other nodes, by datagram, which workers fail requests, and writes the related log
 * lines and metrics. While a worker has recent failures or is ejected, its counts are repeated, so
 * that lost datagrams are compensated for and a node that has just started learns them. Nothing is
 * sent while no worker fails. */

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/relay_choice.h"
#include "chalkshed/worker_failures.h"
#include "src/core/dispatcher.h"
#include "src/core/random.h"
#include "src/logging/logger.h"
#include "src/metrics/metrics.h"
#include "src/serving/worker_set.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct failure_exchange_knobs {
    /** Failures and counts are batched into one datagram for this long. Probes and readmissions are
     * sent at once. */
    Duration batch_delay = std::chrono::milliseconds(10);
    /** Rate limit of this node, over all peers together; one second's worth may be sent as a
     * burst. */
    double datagrams_per_second = 1000;
    /** Interval of the reviews while any worker is suspect. */
    Duration review_interval = std::chrono::milliseconds(50);
    /** Interval at which a node repeats its own counts of a worker under review. */
    Duration repeat_interval = std::chrono::milliseconds(400);
    /** All nodes hold the same state of an ejected worker. Each repeats it at this interval times
     * the number of nodes, so that together they repeat it ten times per second. */
    Duration state_interval = std::chrono::milliseconds(100);
    /** All nodes eject a worker at almost the same time. Each delays its announcement by a random
     * part of this time, and leaves it out if a peer was faster. */
    Duration announcement_spread = std::chrono::milliseconds(100);
};

class failure_exchange {
public:
    /** All references outlive this. */
    failure_exchange(TimeSource &time_source, Dispatcher &dispatcher, RandomGenerator &random,
                     DatagramTransport &datagrams, WorkerSet &workers, worker_failures &failures,
                     Logger &logger, MetricsRegistry &metrics, uint64_t own,
                     const failure_exchange_knobs &knobs = {});

    void set_peers(const std::vector<relay_candidate> &peers);
    /** \return Whether the datagram was a failure report. */
    bool receive(std::string_view datagram);

private:
    void note_update(uint32_t worker, failure_update update);
    void enqueue(uint32_t worker, Duration delay);
    void handle_timer();
    void schedule();
    void review();
    void repeat(uint32_t worker, MonotonicTime now);
    void send(const std::vector<uint32_t> &due);
    void send(const failure_report &report);
    /** Also covers ejected workers that have left. */
    void update_gauges();
    void log_change(const standing_change &change);
    void count_failed(const std::string &service, answer_fault fault);
    /** When this node may send to all peers again under the rate limit. */
    MonotonicTime next_send_time() const;

    TimeSource &time_source_;
    RandomGenerator &random_;
    DatagramTransport &datagrams_;
    WorkerSet &workers_;
    worker_failures &failures_;
    Logger &logger_;
    MetricsRegistry &metrics_;
    const uint64_t own_;
    const failure_exchange_knobs knobs_;
    std::vector<Address> peers_;
    std::map<uint32_t, MonotonicTime> pending_;       // when to report each worker
    std::map<uint32_t, MonotonicTime> announcements_; // of ejections by own judgement
    std::map<uint32_t, MonotonicTime> next_repeat_;
    std::map<uint64_t, Gauge *> gauges_; // of ejected workers, by the hash of the service's name
    MonotonicTime reviewed_{};
    /** When everything sent so far would have been sent at datagrams_per_second. */
    MonotonicTime budget_time_{};
    TimerPtr timer_;
};

} // namespace chalkshed

#endif
