#ifndef CHALKSHED_RUN_TURNS_H
#define CHALKSHED_RUN_TURNS_H

/** \file
 * Asks for turns to run suspect contents, and gives them where this node is the one that does: the
 * first of all live nodes in rendezvous order of the content. Nodes that see other peers alive come
 * to other nodes; then two runs go on at once, as they would without turns. */

#include <functional>
#include <map>
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
    /** Between two questions for a content. */
    Duration ask_interval = std::chrono::milliseconds(10);
    /** Without an answer for so long this node decides by itself: whoever gives the turns has gone,
     * is of an older version, or is far away. */
    Duration patience = std::chrono::milliseconds(45);
    /** A turn that was granted and not used for so long is asked for again. */
    Duration grant_lifetime = std::chrono::milliseconds(100);
};

class run_turns {
public:
    /** All references outlive this. */
    run_turns(TimeSource &time_source, DatagramTransport &datagrams, Logger &logger,
              const relay_candidate &own, const run_turns_knobs &knobs = {});

    void set_peers(const std::vector<relay_candidate> &peers);
    /** \return Whether the datagram was about turns. */
    bool receive(std::string_view datagram);

    /** Asks for a turn unless one is had.
     * \param not_before Nobody begins a run of the content until then.
     * \return Whether a run may begin here now. */
    bool take(uint64_t digest, MonotonicTime not_before);
    /** Tells that runs of this node began before there was anything against the content. */
    void note_running(uint64_t digest);
    /** The last run of this node is over. \param not_before As above. */
    void note_finished(uint64_t digest, MonotonicTime not_before);
    /** \param not_before Until when, by what this node knows, nobody may run a content. */
    void set_not_before(std::function<MonotonicTime(uint64_t digest)> not_before) {
        not_before_ = std::move(not_before);
    }
    /** Called when a turn has been granted by another node. */
    void set_on_granted(std::function<void()> callback) {
        on_granted_ = std::move(callback);
    }

private:
    struct peer {
        std::string node;
        std::string session;
        Address address;
    };
    /** What this node has asked for one content. */
    struct question {
        MonotonicTime first{};
        MonotonicTime asked{};
        MonotonicTime answered{};
        MonotonicTime granted{};
    };
    /** \return The node that gives the turns for the content; null: this one. */
    const peer *keeper_of(uint64_t digest) const;
    question &question_about(uint64_t digest, MonotonicTime now);
    /** Whether this node has to decide by itself. */
    bool unanswered(uint64_t digest, question &asked, MonotonicTime now);
    void tell(const peer &to, const turn_entry &entry);
    /** By what this node or the peer knows. */
    MonotonicTime not_before(const turn_entry &entry, MonotonicTime now) const;
    void take_entry(const peer &from, const turn_entry &entry);
    void take_answer(const turn_entry &entry, MonotonicTime now);

    TimeSource &time_source_;
    DatagramTransport &datagrams_;
    Logger &logger_;
    const std::string node_;
    const std::string session_;
    const run_turns_knobs knobs_;
    turn_keeper keeper_;
    std::vector<peer> peers_;                // those that live
    std::map<std::string, size_t> sessions_; // where in peers_
    std::map<uint64_t, question> questions_;
    std::function<void()> on_granted_ = [] {};
    std::function<MonotonicTime(uint64_t)> not_before_ = [](uint64_t) { return MonotonicTime{}; };
};

} // namespace chalkshed

#endif
