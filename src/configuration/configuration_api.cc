#include "src/configuration/configuration_api.h"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/configuration/configuration_request.h"
#include "src/configuration/redaction.h"
#include "src/http/error_response.h"

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr uint32_t kDefaultHistoryLength = 20;
constexpr uint32_t kMaxHistoryLength = 1000;

HttpResponse json_response(int status, const json& body) {
  return {status,
          {{"Content-Type", "application/json"}},
          body.dump(-1, ' ', false, json::error_handler_t::replace) + "\n"};
}

HttpResponse conflict_response(const ApplyOutcome& outcome) {
  const std::string version = std::to_string(outcome.version);
  const Error error =
      not_run(ErrorKind::kConflict,
              "version " + version + " is in force, which is not the base of this text",
              "review the difference, merge your change into version " + version +
                  " and apply it with that base version");
  json body = json::parse(error_body(error));
  body["current_version"] = outcome.version;
  body["difference"] = redacted_difference(outcome.difference);
  return json_response(http_status_of(error), body);
}

json head_json(const ConfigurationHead& head) {
  return {{"version", head.version},
          {"author", head.author},
          {"comment", head.comment},
          {"origin", head.origin},
          {"attempt", head.attempt},
          {"accepted_at_microseconds", head.accepted_at},
          {"manifest_digest", head.manifest_digest}};
}

json member_json(const MemberStatus& status) {
  json entry = {
      {"id", status.member.id}, {"zone", status.member.zone}, {"reachable", status.reachable}};
  if (!status.reachable) {
    entry["problem"] = status.problem;
    return entry;
  }
  const HeadReport& report = status.report;
  entry["applied_version"] = report.applied_version;
  entry["known_version"] = report.head.version;
  entry["serving"] = report.learned;
  entry["cut_off"] = report.cut_off;
  entry["confirmed_age_seconds"] = static_cast<double>(report.confirmed_age.count()) / 1e6;
  return entry;
}

json status_json(const ConfigurationStatus& status) {
  json members = json::array();
  for (const MemberStatus& member : status.members) {
    members.push_back(member_json(member));
  }
  return {{"version", status.version},
          {"in_force_everywhere", status.in_force_everywhere()},
          {"lagging", status.lagging},
          {"members", std::move(members)}};
}

// Output options for a configuration.
struct ShowOptions {
  bool plain = false;    // plain TOML text instead of JSON
  bool secrets = false;  // include API keys
};

HttpResponse configuration_response(const ConfigurationPtr& configuration,
                                    const ShowOptions& options) {
  const std::string text =
      format_configuration(options.secrets ? *configuration : redacted(*configuration));
  if (options.plain) {
    return {200, {{"Content-Type", "application/toml"}}, text};
  }
  return json_response(200, {{"version", configuration->version}, {"text", text}});
}

Error no_configuration_yet() {
  return not_run(ErrorKind::kUnavailable, "this node has not loaded the configuration yet",
                 "retry in a few seconds, or use another node");
}

}  // namespace

// An asynchronous response whose caller may have disconnected.
class ConfigurationApi::PendingResponse {
 public:
  static SharedWriter create(ResponseWriterPtr writer) {
    auto answer = std::make_shared<PendingResponse>();
    answer->writer_ = std::move(writer);
    answer->writer_->set_on_closed([weak = std::weak_ptr<PendingResponse>(answer)] {
      if (const SharedWriter closed = weak.lock()) {
        closed->closed_ = true;
      }
    });
    return answer;
  }

  void respond(const HttpResponse& response) {
    if (!closed_) {
      writer_->respond(response);
    }
  }

 private:
  ResponseWriterPtr writer_;
  bool closed_ = false;
};

ConfigurationApi::ConfigurationApi(ConfigurationManager& manager, NodeDependencies& dependencies,
                                   MembershipView& members, Gossip& /*gossip*/)
    : manager_(manager), status_(manager, dependencies, members) {}

void ConfigurationApi::handle(HttpRequest request, ResponseWriterPtr writer) {
  const SharedWriter answer = PendingResponse::create(std::move(writer));
  const std::string operation = request.method + " " + request.path;
  if (operation == "GET /admin/configuration") {
    show(request, answer);
  } else if (operation == "GET /admin/configuration/history") {
    show_history(request, answer);
  } else if (operation == "GET /admin/configuration/status") {
    show_status(request, answer);
  } else if (operation == "GET /admin/services") {
    show_services(answer);
  } else if (operation == "GET /admin/policies") {
    show_policies(answer);
  } else if (operation == "POST /admin/configuration/check") {
    check(request, answer);
  } else if (operation == "POST /admin/configuration") {
    apply(request, answer);
  } else {
    answer->respond(error_response(not_run(ErrorKind::kNotFound, "there is no " + operation,
                                           "see docs/operators/configuration.md for the paths")));
  }
}

void ConfigurationApi::show(const HttpRequest& request, const SharedWriter& writer) {
  ShowOptions options;
  options.plain = query_parameter(request.query, "format") == "toml";
  options.secrets = query_parameter(request.query, "secrets") == "1";
  const auto version = version_parameter(request.query, "version");
  if (!version) {
    writer->respond(error_response(version.error()));
    return;
  }
  if (!*version) {
    const ConfigurationPtr current = manager_.current();
    writer->respond(current == nullptr ? error_response(no_configuration_yet())
                                       : configuration_response(current, options));
    return;
  }
  manager_.load_version(**version, [writer, options](const Expected<ConfigurationPtr>& loaded) {
    writer->respond(loaded ? configuration_response(*loaded, options)
                           : error_response(loaded.error()));
  });
}

void ConfigurationApi::show_history(const HttpRequest& request, const SharedWriter& writer) {
  const auto limit = version_parameter(request.query, "limit");
  if (!limit) {
    writer->respond(error_response(limit.error()));
    return;
  }
  const auto length = static_cast<uint32_t>(
      std::clamp<uint64_t>(limit->value_or(kDefaultHistoryLength), 1, kMaxHistoryLength));
  manager_.history(length, [writer](const Expected<std::vector<ConfigurationHead>>& heads) {
    if (!heads) {
      writer->respond(error_response(heads.error()));
      return;
    }
    json versions = json::array();
    for (const ConfigurationHead& head : *heads) {
      versions.push_back(head_json(head));
    }
    writer->respond(json_response(200, {{"versions", std::move(versions)}}));
  });
}

void ConfigurationApi::show_status(const HttpRequest& request, const SharedWriter& writer) {
  const auto wanted = version_parameter(request.query, "version");
  if (!wanted) {
    writer->respond(error_response(wanted.error()));
    return;
  }
  status_.collect(wanted->value_or(0), [writer](const ConfigurationStatus& status) {
    writer->respond(json_response(200, status_json(status)));
  });
}

void ConfigurationApi::show_services(const SharedWriter& writer) const {
  const ConfigurationPtr current = manager_.current();
  if (current == nullptr) {
    writer->respond(error_response(no_configuration_yet()));
    return;
  }
  json services = json::array();
  for (const auto& [name, service] : current->services) {
    services.push_back(
        {{"name", name},
         {"kind", service.kind == ServiceKind::kPlain ? "plain" : "model"},
         {"models", service.models},
         {"policy", service.policy},
         {"request_deadline_seconds", static_cast<double>(service.request_deadline.count()) / 1e6},
         {"retry_budget_fraction", service.retry_budget_fraction},
         {"max_sequences_per_worker", service.max_sequences_per_worker},
         {"batch_enabled", service.batch_enabled}});
  }
  writer->respond(
      json_response(200, {{"version", current->version}, {"services", std::move(services)}}));
}

void ConfigurationApi::show_policies(const SharedWriter& writer) const {
  const ConfigurationPtr current = manager_.current();
  if (current == nullptr) {
    writer->respond(error_response(no_configuration_yet()));
    return;
  }
  json policies = json::array();
  for (const auto& [name, policy] : current->policies) {
    json users = json::array();
    for (const auto& [service_name, service] : current->services) {
      if (service.policy == name) {
        users.push_back(service_name);
      }
    }
    policies.push_back({{"name", name},
                        {"services", std::move(users)},
                        {"samples", policy.samples.size()},
                        {"source", policy.source}});
  }
  writer->respond(
      json_response(200, {{"version", current->version}, {"policies", std::move(policies)}}));
}

void ConfigurationApi::check(const HttpRequest& request, const SharedWriter& writer) const {
  const auto parsed = parse_apply_request(request);
  if (!parsed) {
    writer->respond(error_response(parsed.error()));
    return;
  }
  const auto outcome = manager_.check(parsed->bundle);
  if (!outcome) {
    writer->respond(error_response(outcome.error()));
    return;
  }
  writer->respond(json_response(200, {{"current_version", outcome->current_version},
                                      {"difference", redacted_difference(outcome->difference)},
                                      {"samples", outcome->samples}}));
}

void ConfigurationApi::apply(const HttpRequest& request, const SharedWriter& writer) {
  auto parsed = parse_apply_request(request);
  if (!parsed) {
    writer->respond(error_response(parsed.error()));
    return;
  }
  manager_.apply(*std::move(parsed), [writer](const Expected<ApplyOutcome>& outcome) {
    if (!outcome) {
      writer->respond(error_response(outcome.error()));
    } else if (!outcome->accepted) {
      writer->respond(conflict_response(*outcome));
    } else {
      writer->respond(
          json_response(200, {{"version", outcome->version},
                              {"changed", outcome->changed},
                              {"difference", redacted_difference(outcome->difference)}}));
    }
  });
}

}  // namespace chalkshed
