#ifndef CHALKSHED_ROW_DELIVERY_H
#define CHALKSHED_ROW_DELIVERY_H

/** \file
 * Brings a row of a watched table to the one node that must not learn of it late.
 *
 * Nodes learn of changes by following the store's tables, which takes as long as the store's
 * answers take, and seconds where there are many nodes. A node that ends a job tells the job's
 * owner itself: one call between nodes takes milliseconds and does not need the store. */

#include <functional>
#include <memory>

#include "src/core/address.h"
#include "src/core/dispatcher.h"
#include "src/core/lifetime.h"
#include "src/logging/logger.h"
#include "src/platform/watched_store.h"
#include "src/transport/http_client.h"

namespace chalkshed {

struct row_delivery_knobs {
    Duration connect_timeout = std::chrono::milliseconds(150);
    Duration answer_timeout = std::chrono::milliseconds(500);
    /** Tries and the pause between them: together longer than a short loss of the link, shorter
     * than the two seconds after which a node starts nothing by an old view in any case. */
    uint32_t most_tries = 4;
    Duration pause = std::chrono::milliseconds(100);
};

class row_delivery {
public:
    /** All references outlive the delivery. */
    row_delivery(Dispatcher &dispatcher, HttpClient &client, Logger &logger,
                 const row_delivery_knobs &knobs = {});

    /** \param done Called once: whether the peer has confirmed the row. */
    void deliver(const Address &peer, const StoredRow &row, std::function<void(bool)> done);

private:
    struct parcel {
        Address peer;
        StoredRow row;
        uint32_t tries = 0;
        std::function<void(bool)> done;
    };

    void send(const std::shared_ptr<parcel> &sent);
    void handle_answer(const std::shared_ptr<parcel> &sent, const Expected<HttpResponse> &answer);

    Dispatcher &dispatcher_;
    HttpClient &client_;
    Logger &logger_;
    const row_delivery_knobs knobs_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
