#ifndef CHALKSHED_ROW_DELIVERY_H
#define CHALKSHED_ROW_DELIVERY_H

/** \file
 * Sends a row of a watched table directly to the one node that must not learn of it late.
 *
 * Nodes learn of changes by following the store's tables, which takes as long as the store's
 * answers take, and seconds with many nodes. A node that ends a job therefore notifies the job's
 * owner itself: a call between nodes takes milliseconds and does not need the store. */

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
    /** Attempts and the delay between them: together longer than a short link failure, and shorter
     * than the two seconds after which a node starts nothing from a stale view in any case. */
    uint32_t max_attempts = 4;
    Duration retry_delay = std::chrono::milliseconds(100);
};

class row_delivery {
public:
    /** All references must outlive the delivery. */
    row_delivery(Dispatcher &dispatcher, HttpClient &client, Logger &logger,
                 const row_delivery_knobs &knobs = {});

    /** \param done Called once, with whether the peer has confirmed the row. */
    void deliver(const Address &peer, const StoredRow &row, std::function<void(bool)> done);

private:
    struct pending_delivery {
        Address peer;
        StoredRow row;
        uint32_t attempts = 0;
        std::function<void(bool)> done;
    };

    void send(const std::shared_ptr<pending_delivery> &delivery);
    void handle_answer(const std::shared_ptr<pending_delivery> &delivery,
                       const Expected<HttpResponse> &answer);

    Dispatcher &dispatcher_;
    HttpClient &client_;
    Logger &logger_;
    const row_delivery_knobs knobs_;
    Lifetime lifetime_;
};

} // namespace chalkshed

#endif
