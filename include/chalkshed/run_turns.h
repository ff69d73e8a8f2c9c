#ifndef CHALKSHED_RUN_TURNS_H
#define CHALKSHED_RUN_TURNS_H

/** \file
 * Acquires turns to run suspect contents. A turn is granted by the first live node in rendezvous
 * order of the content, which may be this node. Nodes with different views of the live peers ask
 * different nodes; then two runs may proceed at once, as they would without turns. */

#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/relay_choice.h"
#include "chalkshed/turn_keeper.h"
#include "chalkshed/turn_message.h"
#include "src/core/time.h"
#include "src/logging/logger.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct run_turns_knobs {
    turn_knobs keeper;
    /** Interval between requests for the turn of one content. */
    Duration request_interval = std::chrono::milliseconds(10);
    /** Without an answer for this long, this node grants itself the turn: the granting node is
     * gone, runs an older version or is far away. */
    Duration answer_timeout = std::chrono::milliseconds(45);
    /** A turn that is unused for this long after the question that was granted is requested again:
     * the lease ends turn_timeout after the question arrived. */
    Duration grant_lifetime = std::chrono::milliseconds(150);
};

class run_turns {
public:
    /** All references outlive this. */
    run_turns(TimeSource &time_source, DatagramTransport &datagrams, Logger &logger,
              const relay_candidate &own, const run_turns_knobs &knobs = {});

    void set_peers(const std::vector<relay_candidate> &peers);
    /** \return Whether the datagram was a turn message. */
    bool receive(std::string_view datagram);

    /** Requests a turn unless this node holds it.
     * \param not_before No node starts a run of the content until then.
     * \return Whether this node may start a run now. */
    bool take(uint64_t digest, MonotonicTime not_before);
    /** Reports that this node has runs that started before there was any evidence against the
     * content. */
    void note_running(uint64_t digest);
    /** The last run of this node has finished. \param not_before See take. */
    void note_finished(uint64_t digest, MonotonicTime not_before);
    /** \param not_before Until when no node may run a content, as far as this node knows. */
    void set_not_before(std::function<MonotonicTime(uint64_t digest)> not_before) {
        not_before_ = std::move(not_before);
    }
    /** Called when another node has granted a turn. */
    void set_on_granted(std::function<void()> callback) {
        on_granted_ = std::move(callback);
    }

private:
    struct peer {
        std::string node;
        std::string session;
        Address address;
    };
    /** State of this node's request for the turn of one content. */
    struct turn_request {
        MonotonicTime first{};
        MonotonicTime asked{};
        /** When the first question since the last answer was sent; nothing: none is open. A caller
         * that asks rarely must not mistake the time between its questions for silence. */
        std::optional<MonotonicTime> open_since;
        /** When the question that was granted was sent. */
        MonotonicTime granted{};
        /** Session of the node that was asked last. */
        std::string keeper;
    };
    /** \return The node that grants turns for the content; null: this node. */
    const peer *keeper_of(uint64_t digest) const;
    turn_request &request_for(uint64_t digest, MonotonicTime now);
    /** Whether the request has timed out, so that this node grants itself the turn. */
    bool timed_out(uint64_t digest, turn_request &asked, MonotonicTime now);
    /** \param asked See turn_message. */
    void send_entry(const peer &to, const turn_entry &entry, MonotonicTime asked);
    /** The later of the times known to this node and to the peer. */
    MonotonicTime not_before(const turn_entry &entry, MonotonicTime now) const;
    void handle_entry(const peer &from, const turn_entry &entry, MonotonicTime asked);
    void handle_answer(const peer &from, const turn_entry &entry, MonotonicTime asked);
    /** \return When the open question to which the answer belongs was sent; nothing: it belongs to
     * none. */
    std::optional<MonotonicTime> question_of(const peer &from, const turn_request &request,
                                             MonotonicTime asked) const;

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    Logger &logger_;
    const std::string node_;
    const std::string session_;
    const run_turns_knobs knobs_;
    turn_keeper keeper_;
    std::vector<peer> peers_;                // live peers
    std::map<std::string, size_t> sessions_; // session to index in peers_
    std::map<uint64_t, turn_request> requests_;
    std::function<void()> on_granted_ = [] {};
    std::function<MonotonicTime(uint64_t)> not_before_ = [](uint64_t) { return MonotonicTime{}; };
};

} // namespace chalkshed

#endif
