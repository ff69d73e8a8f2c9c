#include "src/serving/worker_watch.h"

#include <utility>

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
  // During the initial listing of 10,000 workers, writing a log line for each took longer than
  // reading the records.
  const LogLevel level = listed_ ? LogLevel::kInfo : LogLevel::kDebug;
  if (logger_.enabled(level)) {
    logger_.write(level, "worker_listed",
                  {{"worker", record->incarnation},
                   {"service", record->service},
                   {"address", to_string(record->address)},
                   {"zone", record->zone},
                   {"version", record->version},
                   {"slots", std::to_string(record->slots)},
                   {"leaving", record->leaving ? "yes" : "no"},
                   {"store_version", std::to_string(row.version)}});
  }
  workers_.update(*record);
}

void WorkerWatch::on_listed() {
  if (!std::exchange(listed_, true)) {
    logger_.write(LogLevel::kInfo, "workers_known",
                  {{"workers", std::to_string(workers_.workers().size())}});
  }
}

}  // namespace chalkshed
