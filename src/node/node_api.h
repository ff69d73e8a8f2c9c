// The status API of a node: GET /healthz, /readyz, /metrics and /admin/nodes.
#pragma once

#include "src/configuration/configuration.h"
#include "src/core/http_message.h"
#include "src/membership/membership_view.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

class NodeStatus {
 public:
  virtual ~NodeStatus() = default;
  // @return why callers should not be sent to this node, or nothing when it is ready.
  virtual std::optional<std::string_view> not_ready_reason() const = 0;
  virtual bool draining() const = 0;
  virtual size_t requests_in_progress() const = 0;
};

class NodeApi : public HttpHandler {
 public:
  // All references must outlive this object.
  NodeApi(const NodeStatus& status, const MembershipView& membership,
          const ConfigurationSource& configuration, MetricsRegistry& metrics);
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  HttpResponse health() const;
  HttpResponse readiness() const;
  HttpResponse exposition();
  HttpResponse nodes() const;

  const NodeStatus& status_;
  const MembershipView& membership_;
  const ConfigurationSource& configuration_;
  MetricsRegistry& metrics_;
  Gauge& ready_gauge_;
  Gauge& draining_gauge_;
  Gauge& version_gauge_;
  Gauge& requests_gauge_;
};

}  // namespace chalkshed
