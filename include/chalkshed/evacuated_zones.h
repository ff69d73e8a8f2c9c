#ifndef CHALKSHED_EVACUATED_ZONES_H
#define CHALKSHED_EVACUATED_ZONES_H

/** \file
 * Zones that the operator has evacuated: nothing new is sent to their workers until they are
 * readmitted.
 *
 * Each evacuation is a row of the table that holds the configuration. It therefore arrives by the
 * same ways: the node follows the table, peers tell how new their rows are, and a node that the
 * store turns away asks a peer for the rows. */

#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/logging/logger.h"
#include "src/serving/worker_set.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

/** How evacuations are written in the operator's table. */
struct evacuation_rows {
    /** The rest of the key is the zone. */
    std::string key_prefix;
    /** \return An error if the value is none of an evacuation; such a row changes nothing. */
    std::function<Expected<std::monostate>(std::string_view value)> check;
};

class evacuated_zones : public TableObserver {
public:
    /** All references outlive this. */
    evacuated_zones(Logger &logger, WorkerSet &workers, evacuation_rows rows)
        : logger_(logger), workers_(workers), rows_(std::move(rows)) {}

    /** Rows with other keys are left aside. A zone without workers is no error. */
    void on_row(const StoredRow &row) override;

private:
    Logger &logger_;
    WorkerSet &workers_;
    const evacuation_rows rows_;
};

} // namespace chalkshed

#endif
