#include "chalkshed/evacuated_zones.h"

namespace chalkshed {

void evacuated_zones::on_row(const StoredRow &row) {
    if (!row.key.key.starts_with(rows_.key_prefix)) {
        return;
    }
    const std::string zone = row.key.key.substr(rows_.key_prefix.size());
    const std::string version = std::to_string(row.version);
    if (row.removed) {
        const size_t workers = workers_.readmit(zone);
        logger_.write(
            LogLevel::kInfo, "zone_readmitted",
            {{"zone", zone}, {"store_version", version}, {"workers", std::to_string(workers)}});
        return;
    }
    const Expected<std::monostate> valid = rows_.check(row.value);
    if (!valid) {
        logger_.write(LogLevel::kError, "evacuation_rejected",
                      {{"zone", zone},
                       {"store_version", version},
                       {"reason", valid.error().message},
                       {"remedy", valid.error().remedy}});
        return;
    }
    const size_t workers = workers_.evacuate(zone);
    logger_.write(
        LogLevel::kInfo, "zone_evacuated",
        {{"zone", zone}, {"store_version", version}, {"workers", std::to_string(workers)}});
}

} // namespace chalkshed
