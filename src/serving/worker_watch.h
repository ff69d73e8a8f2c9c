// Watches the worker records in the store and applies their changes to the worker set.
#pragma once

#include <functional>
#include <string>

#include "src/logging/logger.h"
#include "src/serving/worker_set.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

class WorkerWatch : public TableObserver {
 public:
  // Decodes the key and value of a row. Errors say what is wrong with it.
  using Decode =
      std::function<Expected<WorkerRecord>(const std::string& key, std::string_view value)>;

  WorkerWatch(Logger& logger, WorkerSet& workers, Decode decode)
      : logger_(logger), workers_(workers), decode_(std::move(decode)) {}

  void on_row(const StoredRow& row) override;
  void on_listed() override;
  void on_unseen_rows() override { workers_.note_unseen_workers(); }

 private:
  bool listed_ = false;
  Logger& logger_;
  WorkerSet& workers_;
  const Decode decode_;
};

}  // namespace chalkshed
