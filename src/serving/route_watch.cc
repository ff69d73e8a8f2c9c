#include "src/serving/route_watch.h"

namespace chalkshed {

void RouteWatch::on_row(const StoredRow& row) {
  if (row.key.key != key_ || row.removed) {
    return;
  }
  Expected<RouteTable> table = decode_(row.value);
  if (!table) {
    logger_.write(LogLevel::kError, "configuration_rejected",
                  {{"store_version", std::to_string(row.version)},
                   {"reason", table.error().message},
                   {"remedy", table.error().remedy},
                   {"in_force", std::to_string(current_ ? current_->version() : 0)}});
    return;
  }
  if (current_ && table->version() <= current_->version()) {
    return;
  }
  current_ = std::make_shared<const RouteTable>(std::move(*table));
  logger_.write(LogLevel::kInfo, "configuration_applied",
                {{"version", std::to_string(current_->version())},
                 {"store_version", std::to_string(row.version)},
                 {"routes", std::to_string(current_->routes().size())},
                 {"tenants", std::to_string(current_->tenants().all().size())}});
  for (const std::string& warning : current_->tenants().warnings()) {
    logger_.write(LogLevel::kWarning, "configuration_questionable",
                  {{"version", std::to_string(current_->version())}, {"reason", warning}});
  }
  if (on_changed_) {
    on_changed_();
  }
}

}  // namespace chalkshed
