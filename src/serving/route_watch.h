// Watches the operator's configuration in the store. The newest valid version is in force; the
// version never goes back.
#pragma once

#include <functional>
#include <string>

#include "src/logging/logger.h"
#include "src/serving/route_table.h"
#include "src/watch/table_watcher.h"

namespace chalkshed {

class RouteWatch : public TableObserver {
 public:
  // Decodes a row's value. Errors say what is wrong with it.
  using Decode = std::function<Expected<RouteTable>(std::string_view value)>;

  // @param key of the row that holds the configuration.
  RouteWatch(Logger& logger, std::string key, Decode decode)
      : logger_(logger), key_(std::move(key)), decode_(std::move(decode)) {}

  void on_row(const StoredRow& row) override;
  // @return the routes in force; null before the first configuration was read.
  const RouteTablePtr& current() const { return current_; }
  void set_on_changed(std::function<void()> callback) { on_changed_ = std::move(callback); }

 private:
  Logger& logger_;
  const std::string key_;
  const Decode decode_;
  RouteTablePtr current_;
  std::function<void()> on_changed_;
};

}  // namespace chalkshed
