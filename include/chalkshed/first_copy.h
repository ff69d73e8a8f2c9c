#ifndef CHALKSHED_FIRST_COPY_H
#define CHALKSHED_FIRST_COPY_H

/** \file
 * Determines where a starting node gets its first copy of a large table from.
 *
 * If every node read a table of 10,000 rows from the store, a thousand nodes that start together
 * would transfer 2.3 GB in 20,000 calls. A table that one call lists is read from the store by all
 * nodes. In a large fleet, a larger table is read from the store only by the relays of each zone;
 * the other nodes ask nodes of their own zone, which send a copy or refuse at once. A copy contains
 * the version up to which it is complete, and the node follows the store's changes from there, so
 * the peer need not be up to date. A node that gets no copy reads the store itself. */

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "src/core/address.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/core/random.h"
#include "src/logging/logger.h"
#include "src/transport/http_client.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

struct first_copy_knobs {
    /** A node that cannot list the other nodes for this long reads the store itself. */
    Duration node_list_timeout = std::chrono::milliseconds(1500);
    /** A node without a copy after this long, plus a random delay of up to the same length, reads
     * the store itself. With 200 nodes in a zone all have a copy about 4 s after the relays. */
    Duration peer_copy_timeout = std::chrono::seconds(4);
    /** Delay between two requests. A peer that has no copy refuses within milliseconds. */
    Duration retry_delay = std::chrono::milliseconds(150);
    Duration connect_timeout = std::chrono::milliseconds(150);
    /** Idle timeout for a peer that stops sending in the middle of its answer. */
    Duration answer_timeout = std::chrono::milliseconds(700);
};

/** Where this node reads the table from. */
enum class copy_source {
    kUnknown, // the other nodes have not been listed
    kStore,   // there are few nodes, or this one is a relay of its zone
    kPeers,
};

class first_copy {
public:
    /** All references must outlive this. */
    struct environment {
        TimeSource &time_source;
        Dispatcher &dispatcher;
        RandomGenerator &random;
        HttpClient &client;
        Logger &logger;
    };

    /** \param table The name by which peers serve the table.
     * \param watcher Started by this; must outlive it.
     * \param source Called repeatedly until the table has been read.
     * \param peers Returns the peers, of which a random one is asked. */
    first_copy(const environment &around, std::string table, TableWatcher &watcher,
               std::function<copy_source()> source, std::function<std::vector<Address>()> peers,
               const first_copy_knobs &knobs = {});

    void start();

private:
    void choose_source();
    void ask_peer();
    void handle_answer(const Address &peer, MonotonicTime asked,
                       const Expected<HttpResponse> &answer);
    void read_store(const char *reason);

    environment environment_;
    const std::string table_;
    TableWatcher &watcher_;
    const std::function<copy_source()> source_;
    const std::function<std::vector<Address>()> peers_;
    const first_copy_knobs knobs_;
    MonotonicTime started_{};
    /** Time from the start until this node reads the store itself. */
    Duration peer_copy_timeout_{0};
    uint64_t peers_asked_ = 0;
    TimerPtr timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
