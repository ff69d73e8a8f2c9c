#include "src/serving/worker_watch.h"

namespace chalkshed {

void WorkerWatch::on_row(const StoredRow& row) {
  if (row.removed) {
    logger_.write(LogLevel::kInfo, "worker_unlisted",
                  {{"worker", row.key.key}, {"store_version", std::to_string(row.version)}});
    workers_.remove(row.key.key);
    return;
  }
  const Expected<WorkerRecord> record = decode_(row.key.key, row.value);
  if (!record) {
    logger_.write(LogLevel::kError, "worker_rejected",
                  {{"worker", row.key.key},
                   {"store_version", std::to_string(row.version)},
                   {"reason", record.error().message},
                   {"remedy", record.error().remedy}});
    workers_.reject(row.key.key);
    return;
  }
  logger_.write(LogLevel::kInfo, "worker_listed",
                {{"worker", record->incarnation},
                 {"service", record->service},
                 {"address", to_string(record->address)},
                 {"zone", record->zone},
                 {"slots", std::to_string(record->slots)},
                 {"leaving", record->leaving ? "yes" : "no"},
                 {"store_version", std::to_string(row.version)}});
  workers_.update(*record);
}

}  // namespace chalkshed
