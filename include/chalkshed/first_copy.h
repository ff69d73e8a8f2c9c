#ifndef CHALKSHED_FIRST_COPY_H
#define CHALKSHED_FIRST_COPY_H

/** \file
 * Where a node that starts gets its first copy of a large table from.
 *
 * Read from the store by every node, a table of 10,000 rows is 2.3 GB and 20,000 calls for a
 * thousand nodes that start together. A table that one call lists is read there by all. Of a larger
 * one, in a large fleet, only the relays of each zone do; the others ask nodes of their own zone,
 * which have it or say so at once. A copy names the version up to
 * which it is whole, and the node follows the store's changes from there: nothing rests on the peer
 * being current. A node that gets no copy reads the store itself. */

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
    /** A node that can't list the others for so long reads the store itself. */
    Duration nodes_patience = std::chrono::milliseconds(1500);
    /** Without a copy for so long, spread over twice that, it reads the store itself. With 200
     * nodes in a zone all have a copy some 4 s after the relays have theirs. */
    Duration patience = std::chrono::seconds(4);
    /** Between two questions. A peer that has no copy refuses within milliseconds. */
    Duration pause = std::chrono::milliseconds(150);
    Duration connect_timeout = std::chrono::milliseconds(150);
    /** A peer that stops in the midst of its answer. */
    Duration answer_timeout = std::chrono::milliseconds(700);
};

/** Who reads the store. */
enum class copy_source {
    kUnknown, // the other nodes have not been listed
    kStore,   // there are few nodes, or this one is a relay of its zone
    kPeers,
};

class first_copy {
public:
    /** All references outlive this. */
    struct environment {
        TimeSource &time_source;
        Dispatcher &dispatcher;
        RandomGenerator &random;
        HttpClient &client;
        Logger &logger;
    };

    /** \param table The name by which peers give the table.
     * \param watcher Is started by this, and outlives it.
     * \param source Asked again until the table is there.
     * \param peers Of whom one is asked. */
    first_copy(const environment &around, std::string table, TableWatcher &watcher,
               std::function<copy_source()> source, std::function<std::vector<Address>()> peers,
               const first_copy_knobs &knobs = {});

    void start();

private:
    void look();
    void ask_peer();
    void handle_answer(const Address &peer, const Expected<HttpResponse> &answer);
    void read_store(const char *reason);

    environment environment_;
    const std::string table_;
    TableWatcher &watcher_;
    const std::function<copy_source()> source_;
    const std::function<std::vector<Address>()> peers_;
    const first_copy_knobs knobs_;
    MonotonicTime started_{};
    /** From the start until this node reads the store itself. */
    Duration patience_{0};
    uint64_t asked_ = 0;
    TimerPtr timer_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
