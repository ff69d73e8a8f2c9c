#ifndef CHALKSHED_CRASH_EXCHANGE_H
#define CHALKSHED_CRASH_EXCHANGE_H

/** \file
 * Reports to the other nodes, by datagram, which runs of this node were lost and which contents
 * have since brought a complete answer. A single node sees few of the workers that a content
 * crashes, because its caller retries at any node. Each report is repeated a few times against
 * packet loss; the durable copy is in the store (quarantine_rows.h). */

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/crash_message.h"
#include "chalkshed/relay_choice.h"
#include "chalkshed/request_quarantine.h"
#include "src/core/dispatcher.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct crash_exchange_knobs {
    /** All runs of a worker are lost together: they are batched into one datagram. */
    Duration batch_delay = std::chrono::milliseconds(20);
    /** Rate limit of this node, over all peers together. One second's worth may be sent as a burst,
     * so that the first report of one content doesn't wait for those of another. */
    double datagrams_per_second = 1000;
    /** How often each entry is sent, and the delay before its first repetition; the delay doubles
     * with each one. */
    int max_sends = 4;
    Duration first_repeat_delay = std::chrono::milliseconds(400);
    /** Maximum number of pending entries; beyond it, the oldest are dropped. A node that loses so
     * many runs a second is itself cut off, or has lost all its workers. */
    size_t max_pending = 1024;
    /** Most nodes see at about the same time that a part is sound. Each waits for up to this long
     * per peer before it says so, and is silent if another has said it meanwhile. */
    Duration proof_delay_per_peer = std::chrono::milliseconds(1);
};

class crash_exchange {
public:
    /** All references outlive this. */
    crash_exchange(TimeSource &time_source, Dispatcher &dispatcher, DatagramTransport &datagrams,
                   request_quarantine &quarantine, std::string own_node,
                   const crash_exchange_knobs &knobs = {});

    void set_peers(const std::vector<relay_candidate> &peers);
    /** \return Whether the datagram was a crash message. */
    bool receive(std::string_view datagram);

private:
    struct pending_entry {
        crash_message message; // with a single entry
        int times_sent = 0;
        int sends = 0; // how often it is sent in total
        MonotonicTime due{};
    };
    void enqueue(crash_message message, Duration batch_delay, int sends);
    /** When this node says that a part is sound, unless a peer does before. */
    Duration proof_delay(const answered_run &run) const;
    /** Whether it is a lost run of a part that has been cleared since: nodes that have just started
     * would learn of the loss and not of the proof. */
    bool is_cleared(const crash_message &message) const;
    /** A peer has said that a part is sound. */
    void drop_pending_proof(const answered_run &run);
    void flush();
    void schedule();
    /** When this node may send to all peers again under the rate limit. */
    MonotonicTime next_flush_time() const;

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    request_quarantine &quarantine_;
    const std::string own_node_;
    const crash_exchange_knobs knobs_;
    std::vector<Address> peers_;
    std::deque<pending_entry> pending_;
    /** When everything sent so far would have been sent at datagrams_per_second. */
    MonotonicTime budget_time_{};
    TimerPtr timer_;
};

} // namespace chalkshed

#endif
