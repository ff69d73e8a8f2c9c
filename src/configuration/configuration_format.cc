// Canonical text form of configurations.
#include <sstream>

#include "src/configuration/configuration_text.h"
#include "src/configuration/toml_writer.h"
#include "src/policy/urgency_names.h"

namespace chalkshed {
namespace {

double seconds_of(Duration duration) { return static_cast<double>(duration.count()) / 1e6; }

std::string heading(const std::string& kind, const std::string& name) {
  return "\n[" + kind + "." + toml_key(name) + "]\n";
}

std::string format(const ServiceConfiguration& service) {
  const bool plain = service.kind == ServiceKind::kPlain;
  TomlFields fields;
  fields.add_text("kind", plain ? "plain" : "model");
  if (!plain) {
    fields.add_texts("models", service.models);
    fields.add_flag("batch_enabled", service.batch_enabled);
  }
  if (!service.policy.empty()) {
    fields.add_text("policy", service.policy);
  }
  fields.add_number("request_deadline_seconds", seconds_of(service.request_deadline));
  fields.add_number("retry_budget_fraction", service.retry_budget_fraction);
  fields.add_integer("max_sequences_per_worker", service.max_sequences_per_worker);
  return heading("services", service.name) + fields.lines();
}

std::string format(const TenantConfiguration& tenant) {
  TomlFields fields;
  fields.add_text("api_key", tenant.api_key);
  fields.add_number("requests_per_second", tenant.requests_per_second);
  fields.add_number("request_burst", tenant.request_burst);
  fields.add_number("batch_weight", tenant.batch_weight);
  return heading("tenants", tenant.name) + fields.lines();
}

// Only fields that differ from the defaults, to keep samples readable.
TomlFields request_fields(const RequestAttributes& request) {
  TomlFields fields;
  const auto add_text = [&fields](std::string_view key, const std::string& value) {
    if (!value.empty()) {
      fields.add_text(key, value);
    }
  };
  add_text("service", request.service);
  add_text("tenant", request.tenant);
  add_text("model", request.model);
  add_text("path", request.path);
  add_text("urgency_hint", request.urgency_hint);
  if (request.prompt_tokens > 0) {
    fields.add_integer("prompt_tokens", request.prompt_tokens);
  }
  if (request.max_tokens > 0) {
    fields.add_integer("max_tokens", request.max_tokens);
  }
  if (request.streamed) {
    fields.add_flag("streamed", true);
  }
  if (request.batch) {
    fields.add_flag("batch", true);
  }
  if (request.deadline) {
    fields.add_number("deadline_seconds", seconds_of(*request.deadline));
  }
  return fields;
}

TomlFields expectation_fields(const PolicyExpectation& expect) {
  TomlFields fields;
  if (expect.urgency) {
    fields.add_text("urgency", std::string(urgency_name(*expect.urgency)));
  }
  if (expect.deadline) {
    fields.add_number("deadline_seconds", seconds_of(*expect.deadline));
  }
  if (expect.batch_fill) {
    fields.add_number("batch_fill", *expect.batch_fill);
  }
  if (expect.batch_weight) {
    fields.add_number("batch_weight", *expect.batch_weight);
  }
  if (expect.refuse) {
    fields.add_flag("refuse", *expect.refuse);
  }
  return fields;
}

std::string format(const PolicyConfiguration& policy) {
  TomlFields fields;
  fields.add_text("source", policy.source);
  std::string text = heading("policies", policy.name) + fields.lines();
  for (const PolicySample& sample : policy.samples) {
    TomlFields sample_fields;
    if (!sample.name.empty()) {
      sample_fields.add_text("name", sample.name);
    }
    const TomlFields request = request_fields(sample.request);
    if (!request.empty()) {
      sample_fields.add_fields("request", request);
    }
    sample_fields.add_fields("expect", expectation_fields(sample.expect));
    text += "\n[[policies." + toml_key(policy.name) + ".samples]]\n" + sample_fields.lines();
  }
  return text;
}

}  // namespace

std::string format_configuration(const Configuration& configuration) {
  std::string text;
  if (configuration.version > 0) {
    text += "version = " + std::to_string(configuration.version) + "\n";
  }
  for (const auto& [name, service] : configuration.services) {
    text += format(service);
  }
  for (const auto& [name, tenant] : configuration.tenants) {
    text += format(tenant);
  }
  for (const auto& [name, policy] : configuration.policies) {
    text += format(policy);
  }
  return text;
}

}  // namespace chalkshed
