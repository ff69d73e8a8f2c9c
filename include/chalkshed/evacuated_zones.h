#ifndef CHALKSHED_EVACUATED_ZONES_H
#define CHALKSHED_EVACUATED_ZONES_H

/** \file
 * Zones that the operator has evacuated: their workers get no new requests until they are
 * readmitted.
 *
 * Each evacuation is a row of the configuration table, so it is distributed in the same ways:
 * nodes watch the table, peers report the version of their rows, and a node that the store rejects
 * gets the rows from a peer. */

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/logging/logger.h"
#include "src/serving/worker_set.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

/** Format of evacuations in the operator's table. */
struct evacuation_rows {
    /** The key is this prefix followed by the zone. */
    std::string key_prefix;
    /** \return An error if the value isn't a valid evacuation; such a row is ignored. */
    std::function<Expected<std::monostate>(std::string_view value)> check;
};

class evacuated_zones : public TableObserver {
public:
    /** All references outlive this. */
    evacuated_zones(Logger &logger, WorkerSet &workers, evacuation_rows rows)
        : logger_(logger), workers_(workers), rows_(std::move(rows)) {}

    /** Ignores rows with other keys. A zone without workers is not an error. */
    void on_row(const StoredRow &row) override;

private:
    Logger &logger_;
    WorkerSet &workers_;
    const evacuation_rows rows_;
};

} // namespace chalkshed

#endif
