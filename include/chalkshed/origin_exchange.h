#ifndef CHALKSHED_ORIGIN_EXCHANGE_H
#define CHALKSHED_ORIGIN_EXCHANGE_H

/** \file
 * Places copies of the origins of this node's streams at a few peers, and asks peers for the origin
 * of a stream. The holders of a copy follow from the stream's key and the list of nodes, so that
 * the node that takes the stream up finds them without knowing who began it. */

#include <functional>
#include <map>
#include <set>
#include <vector>

#include "chalkshed/origin_message.h"
#include "chalkshed/relay_choice.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

struct origin_exchange_knobs {
    /** Holders of a stream's origin, beside the node that began it: enough that the loss of half of
     * the nodes at once rarely takes them all. */
    size_t copies = 5;
    /** Holders while the copies of this node exceed `bytes_per_second`: in different zones, so that
     * the loss of any zone leaves one. */
    size_t least_copies = 2;
    /** Limit of the bytes of copies beyond the least, over some seconds. */
    double bytes_per_second = 2000;
    /** More nodes than hold a copy are asked, because the asking node may see other nodes alive. */
    size_t more_asked = 2;
    /** With at most this many peers, all of them are asked. */
    size_t max_peers_all_asked = 12;
    /** A question is sent again after this long to the peers that have not answered, and given up
     * after the other. Round trips take a millisecond in a zone, up to 40 between regions. */
    Duration repeat_after = std::chrono::milliseconds(45);
    Duration give_up_after = std::chrono::milliseconds(110);
    /** A timer that fires later than this shows that the process was not running: answers of the
     * peers may not have been read yet, so they are asked again. */
    Duration longest_delay = std::chrono::milliseconds(50);
    int max_rounds = 4;
};

/** What peers have said of a stream. */
struct peer_evidence {
    std::vector<origin_evidence> answers;
    /** Number of peers that were asked. */
    size_t asked = 0;
};

/** \param candidates All nodes that may hold a copy.
 * \return The `count` first holders in order of rank; as many zones as possible come first. */
std::vector<const relay_candidate *>
origin_holders(stream_key stream, const std::vector<relay_candidate> &candidates, size_t count);

class origin_exchange {
public:
    using on_evidence = std::function<void(const peer_evidence &)>;

    /** \param own This node. All references outlive this. */
    origin_exchange(TimeSource &time_source, Dispatcher &dispatcher, DatagramTransport &datagrams,
                    relay_candidate own, const origin_exchange_knobs &knobs = {});

    void set_peers(const std::vector<relay_candidate> &peers);
    /** Sets what this node answers to a question. */
    void set_evidence(std::function<origin_evidence(const origin_question &)> evidence) {
        evidence_ = std::move(evidence);
    }
    /** Sets what is done with a copy that a peer places here. */
    void set_on_placed(std::function<void(const placed_origin &)> callback) {
        on_placed_ = std::move(callback);
    }

    void place(const std::vector<placed_origin> &origins);
    /** \param question Stream, service and longest time; the rest is filled in.
     * \param done Called once, perhaps before this returns, with the evidence of the peers that
     * have answered: at the first record, when all asked have answered, or when time is up. */
    void ask(origin_question question, on_evidence done);
    /** \return Whether the datagram was an origin message. */
    bool receive(std::string_view datagram);

private:
    struct open_question {
        origin_question question;
        std::vector<Address> asked;
        std::set<uint16_t> answered;
        std::vector<origin_evidence> evidence;
        on_evidence done;
        MonotonicTime sent{};
        int rounds = 0;
    };
    std::vector<Address> asked_for(stream_key stream) const;
    /** \return How many copies of the next origin the limit allows; counts their bytes. */
    size_t take_copies();
    void send_question(const open_question &open);
    /** Sends the question, repeats it once, and ends it when its time is up. */
    void ask_unanswered(uint64_t number);
    void give_up(uint64_t number);
    void note_answer(const origin_answer &answer);
    void finish(uint64_t number);

    TimeSource &time_source_;
    Dispatcher &dispatcher_;
    DatagramTransport &datagrams_;
    const relay_candidate own_;
    const origin_exchange_knobs knobs_;
    /** All nodes that are alive, this one among them. */
    std::vector<relay_candidate> nodes_;
    std::function<origin_evidence(const origin_question &)> evidence_;
    std::function<void(const placed_origin &)> on_placed_;
    /** Starts at a number of this session's own: an answer to an earlier session is ignored. */
    uint64_t next_number_;
    std::map<uint64_t, open_question> open_;
    /** When all copies sent so far would have been sent at the limit. */
    MonotonicTime budget_time_{};
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
