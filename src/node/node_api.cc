#include "src/node/node_api.h"

#include <nlohmann/json.hpp>

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

HttpResponse json_response(int status, const nlohmann::json& body) {
  HttpResponse response;
  response.status = status;
  response.headers.push_back({"Content-Type", "application/json"});
  response.body = body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return response;
}

nlohmann::json describe(const Member& member) {
  return {{"id", member.id},
          {"state", member_state_name(member.state)},
          {"zone", member.zone},
          {"region", member.region},
          {"http_address", to_string(member.http_address)},
          {"peer_address", to_string(member.peer_address)},
          {"incarnation", member.incarnation}};
}

}  // namespace

NodeApi::NodeApi(const NodeStatus& status, const MembershipView& membership,
                 const ConfigurationSource& configuration, MetricsRegistry& metrics)
    : status_(status),
      membership_(membership),
      configuration_(configuration),
      metrics_(metrics),
      ready_gauge_(metrics.gauge("chalkshed_node_ready", "1 while callers may be sent here.", {})),
      draining_gauge_(metrics.gauge("chalkshed_node_draining", "1 during a planned stop.", {})),
      version_gauge_(metrics.gauge("chalkshed_configuration_version",
                                   "Version of the configuration in force, 0 before any.", {})),
      requests_gauge_(metrics.gauge("chalkshed_requests_in_progress",
                                    "Online requests whose answers have not ended.", {})) {}

void NodeApi::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.method != "GET" && request.method != "HEAD") {
    writer->respond(
        error_response(not_run(ErrorKind::kInvalidRequest,
                               request.path + " does not support " + request.method, "use GET")));
  } else if (request.path == "/healthz") {
    writer->respond(health());
  } else if (request.path == "/readyz") {
    writer->respond(readiness());
  } else if (request.path == "/metrics") {
    writer->respond(exposition());
  } else if (request.path == "/admin/nodes") {
    writer->respond(nodes());
  } else {
    writer->respond(error_response(
        not_run(ErrorKind::kNotFound, "no such path: " + request.path, "use /admin/nodes")));
  }
}

HttpResponse NodeApi::health() const { return json_response(200, {{"status", "ok"}}); }

HttpResponse NodeApi::readiness() const {
  const std::optional<std::string_view> reason = status_.not_ready_reason();
  if (reason) {
    return json_response(503, {{"status", "not_ready"}, {"reason", *reason}});
  }
  return json_response(200, {{"status", "ready"}});
}

HttpResponse NodeApi::exposition() {
  const ConfigurationPtr configuration = configuration_.current();
  ready_gauge_.set(status_.not_ready_reason() ? 0 : 1);
  draining_gauge_.set(status_.draining() ? 1 : 0);
  version_gauge_.set(configuration ? static_cast<double>(configuration->version) : 0);
  requests_gauge_.set(static_cast<double>(status_.requests_in_progress()));
  HttpResponse response;
  response.headers.push_back({"Content-Type", "text/plain; version=0.0.4; charset=utf-8"});
  response.body = metrics_.exposition();
  return response;
}

HttpResponse NodeApi::nodes() const {
  nlohmann::json members = nlohmann::json::array();
  for (const Member& member : membership_.members()) {
    nlohmann::json fields = describe(member);
    const bool self = member.id == membership_.self().id;
    fields["self"] = self;
    if (self) {
      const ConfigurationPtr configuration = configuration_.current();
      fields["configuration_version"] = configuration ? configuration->version : 0;
      fields["ready"] = !status_.not_ready_reason();
    }
    members.push_back(std::move(fields));
  }
  return json_response(200, {{"nodes", std::move(members)}});
}

}  // namespace chalkshed
