// The operators' HTTP interface to the configuration: /admin/configuration..., /admin/services and
// /admin/policies. See docs/operators/configuration.md.
#pragma once

#include <memory>
#include <string>

#include "src/configuration/configuration_manager.h"
#include "src/configuration/configuration_status.h"
#include "src/core/http_message.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

class ConfigurationApi : public HttpHandler {
 public:
  ConfigurationApi(ConfigurationManager& manager, NodeDependencies& dependencies,
                   MembershipView& members, Gossip& gossip);

  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  class PendingResponse;
  using SharedWriter = std::shared_ptr<PendingResponse>;

  void show(const HttpRequest& request, const SharedWriter& writer);
  void show_history(const HttpRequest& request, const SharedWriter& writer);
  void show_status(const HttpRequest& request, const SharedWriter& writer);
  void show_services(const SharedWriter& writer) const;
  void show_policies(const SharedWriter& writer) const;
  void check(const HttpRequest& request, const SharedWriter& writer) const;
  void apply(const HttpRequest& request, const SharedWriter& writer);

  ConfigurationManager& manager_;
  ConfigurationStatusCollector status_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
