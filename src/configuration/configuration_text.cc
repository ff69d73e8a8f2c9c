#include "src/configuration/configuration_text.h"

#include <set>
#include <utility>

#include "src/configuration/toml_reader.h"
#include "src/policy/urgency_names.h"

namespace chalkshed {
namespace {

constexpr double kMaxDeadlineSeconds = 24.0 * 3600;
constexpr double kMaxRate = 1e9;
constexpr double kMaxWeight = 1e6;
constexpr size_t kMaxNameLength = 64;

// Names are used in paths, object names and metrics, so the character set is restricted.
bool valid_name(std::string_view name) {
  const auto plain = [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_' || character == '.';
  };
  return !name.empty() && name.size() <= kMaxNameLength &&
         std::all_of(name.begin(), name.end(), plain);
}

// Parses one document into a configuration that is shared by all documents.
class DocumentParser {
 public:
  DocumentParser(const ConfigurationDocument& document,
                 const std::map<std::string, std::string>& policy_files, Configuration& target)
      : document_(document), policy_files_(policy_files), target_(target) {}

  std::optional<Error> parse(std::optional<ConfigurationVersion>& base_version) {
    toml::table root;
    try {
      root = toml::parse(document_.text, document_.name);
    } catch (const toml::parse_error& failure) {
      return not_run(ErrorKind::kInvalidRequest,
                     document_.name + ":" + std::to_string(failure.source().begin.line) +
                         ": not valid TOML: " + std::string(failure.description()),
                     "correct the line");
    }
    TomlReader reader(root, document_.name, "", error_);
    if (reader.has("version")) {
      ConfigurationVersion version = 0;
      reader.read_integer("version", version, 0, std::numeric_limits<int64_t>::max());
      base_version = version;
    }
    each_section(reader, "services", [this](const std::string& name, const toml::table& table) {
      read_service(name, table);
    });
    each_section(reader, "tenants", [this](const std::string& name, const toml::table& table) {
      read_tenant(name, table);
    });
    each_section(reader, "policies", [this](const std::string& name, const toml::table& table) {
      read_policy(name, table);
    });
    reader.reject_unknown_keys();
    return error_;
  }

 private:
  template <typename ReadSection>
  void each_section(TomlReader& root, const std::string& kind, ReadSection read_section) {
    const toml::table* sections = root.table(kind);
    if (sections == nullptr) {
      return;
    }
    TomlReader reader(*sections, document_.name, kind, error_);
    for (const auto& [key, node] : *sections) {
      const std::string name(key.str());
      const toml::table* table = reader.table(name);
      if (!valid_name(name)) {
        reader.fail(node, name, "is not a valid name",
                    "use at most 64 letters, digits, '-', '_' and '.'");
      }
      if (table != nullptr) {
        read_section(name, *table);
      }
    }
  }

  template <typename Section>
  void add(std::map<std::string, Section>& sections, Section section, TomlReader& reader,
           const toml::table& table) {
    if (sections.contains(section.name)) {
      reader.fail(table, "", "is defined twice", "keep one of the two definitions");
      return;
    }
    std::string name = section.name;
    sections.emplace(std::move(name), std::move(section));
  }

  void read_service(const std::string& name, const toml::table& table) {
    TomlReader reader(table, document_.name, "services." + name, error_);
    ServiceConfiguration service;
    service.name = name;
    std::string kind = "model";
    reader.read("kind", kind);
    if (kind != "model" && kind != "plain") {
      reader.fail(*table.get("kind"), "kind", "is \"" + kind + "\", which is not a kind of service",
                  "write \"model\" or \"plain\"");
    }
    service.kind = kind == "plain" ? ServiceKind::kPlain : ServiceKind::kModel;
    service.batch_enabled = service.kind == ServiceKind::kModel;
    reader.read("models", service.models);
    reader.read("policy", service.policy);
    reader.read_seconds("request_deadline_seconds", service.request_deadline, 0.001,
                        kMaxDeadlineSeconds);
    reader.read("retry_budget_fraction", service.retry_budget_fraction, 0, 1);
    reader.read_integer("max_sequences_per_worker", service.max_sequences_per_worker, 1, 100'000);
    reader.read("batch_enabled", service.batch_enabled);
    reader.reject_unknown_keys();
    check_kind(service, reader, table);
    add(target_.services, std::move(service), reader, table);
  }

  static void check_kind(const ServiceConfiguration& service, TomlReader& reader,
                         const toml::table& table) {
    const bool plain = service.kind == ServiceKind::kPlain;
    if (plain && !service.models.empty()) {
      reader.fail(*table.get("models"), "models", "is set on a plain service",
                  "remove it, or write kind = \"model\"");
    }
    if (plain && service.batch_enabled) {
      reader.fail(*table.get("batch_enabled"), "batch_enabled", "is true on a plain service",
                  "remove it; only model services run batch jobs");
    }
    if (!plain && service.models.empty()) {
      reader.fail(table, "models", "is missing", "list the model names that callers use");
    }
  }

  void read_tenant(const std::string& name, const toml::table& table) {
    TomlReader reader(table, document_.name, "tenants." + name, error_);
    TenantConfiguration tenant;
    tenant.name = name;
    reader.read("api_key", tenant.api_key);
    reader.read("requests_per_second", tenant.requests_per_second, 0, kMaxRate);
    reader.read("request_burst", tenant.request_burst, 0, kMaxRate);
    reader.read("batch_weight", tenant.batch_weight, 0.001, kMaxWeight);
    reader.reject_unknown_keys();
    if (tenant.api_key.empty()) {
      reader.fail(table, "api_key", "is missing", "set the key that the tenant's callers send");
    }
    add(target_.tenants, std::move(tenant), reader, table);
  }

  void read_policy(const std::string& name, const toml::table& table) {
    TomlReader reader(table, document_.name, "policies." + name, error_);
    PolicyConfiguration policy;
    policy.name = name;
    std::string file;
    reader.read("source", policy.source);
    reader.read("file", file);
    if (policy.source.empty() == file.empty()) {
      reader.fail(table, "", "needs exactly one of source and file",
                  "set source to the program, or file to the name of its file");
    }
    if (!file.empty()) {
      const auto found = policy_files_.find(file);
      if (found == policy_files_.end()) {
        reader.fail(*table.get("file"), "file",
                    "names \"" + file + "\", which is not part of the request",
                    "check the name, or put the program into source");
      } else {
        policy.source = found->second;
      }
    }
    read_samples(reader, policy);
    reader.reject_unknown_keys();
    add(target_.policies, std::move(policy), reader, table);
  }

  void read_samples(TomlReader& reader, PolicyConfiguration& policy) {
    const toml::array* samples = reader.array("samples");
    if (samples == nullptr) {
      return;
    }
    for (const toml::node& node : *samples) {
      if (!node.is_table()) {
        reader.fail(node, "samples", "must contain tables",
                    "write [[" + reader.path_of("samples") + "]]");
        return;
      }
      read_sample(*node.as_table(), reader.path_of("samples"), policy);
    }
  }

  void read_sample(const toml::table& table, const std::string& path, PolicyConfiguration& policy) {
    TomlReader reader(table, document_.name, path, error_);
    PolicySample sample;
    reader.read("name", sample.name);
    if (const toml::table* request = reader.table("request")) {
      read_request(*request, path + ".request", sample.request);
    }
    if (const toml::table* expect = reader.table("expect")) {
      read_expectation(*expect, path + ".expect", sample.expect);
    } else {
      reader.fail(table, "expect", "is missing", "write what the policy must decide");
    }
    reader.reject_unknown_keys();
    policy.samples.push_back(std::move(sample));
  }

  void read_request(const toml::table& table, const std::string& path, RequestAttributes& request) {
    constexpr int64_t kMaxTokens = 100'000'000;
    TomlReader reader(table, document_.name, path, error_);
    reader.read("service", request.service);
    reader.read("tenant", request.tenant);
    reader.read("model", request.model);
    reader.read("path", request.path);
    reader.read_integer("prompt_tokens", request.prompt_tokens, 0, kMaxTokens);
    reader.read_integer("max_tokens", request.max_tokens, 0, kMaxTokens);
    reader.read("streamed", request.streamed);
    reader.read("batch", request.batch);
    reader.read_seconds("deadline_seconds", request.deadline, 0, kMaxDeadlineSeconds);
    reader.read("urgency_hint", request.urgency_hint);
    reader.reject_unknown_keys();
  }

  void read_expectation(const toml::table& table, const std::string& path,
                        PolicyExpectation& expect) {
    TomlReader reader(table, document_.name, path, error_);
    if (reader.has("urgency")) {
      std::string name;
      reader.read("urgency", name);
      expect.urgency = urgency_from_name(name);
      if (!expect.urgency) {
        reader.fail(*table.get("urgency"), "urgency", "is \"" + name + "\"",
                    "write \"urgent\", \"normal\" or \"deferrable\"");
      }
    }
    reader.read_seconds("deadline_seconds", expect.deadline, 0, kMaxDeadlineSeconds);
    read_optional(reader, "batch_fill", expect.batch_fill, 1);
    read_optional(reader, "batch_weight", expect.batch_weight, kMaxWeight);
    if (reader.has("refuse")) {
      reader.read("refuse", expect.refuse.emplace());
    }
    reader.reject_unknown_keys();
  }

  static void read_optional(TomlReader& reader, std::string_view key, std::optional<double>& target,
                            double maximum) {
    if (reader.has(key)) {
      reader.read(key, target.emplace(), 0, maximum);
    }
  }

  const ConfigurationDocument& document_;
  const std::map<std::string, std::string>& policy_files_;
  Configuration& target_;
  std::optional<Error> error_;
};

Error model_offered_twice(const std::string& model, const std::string& service,
                          const std::string& other) {
  return not_run(
      ErrorKind::kInvalidRequest,
      "services." + service + ".models: \"" + model + "\" is already offered by services." + other,
      "assign each model name to one service only");
}

Error policy_undefined(const ServiceConfiguration& service) {
  return not_run(
      ErrorKind::kInvalidRequest,
      "services." + service.name + ".policy names \"" + service.policy + "\", which is not defined",
      "define [policies." + service.policy + "] or correct the name");
}

Error key_used_twice(const std::string& tenant, const std::string& other) {
  return not_run(ErrorKind::kInvalidRequest,
                 "tenants." + tenant + ".api_key is the same as that of tenants." + other,
                 "give each tenant a unique key");
}

std::optional<Error> check_models(const Configuration& configuration) {
  std::map<std::string, std::string> offered;
  for (const auto& [name, service] : configuration.services) {
    for (const std::string& model : service.models) {
      const auto [entry, added] = offered.emplace(model, name);
      if (!added) {
        return model_offered_twice(model, name, entry->second);
      }
    }
  }
  return std::nullopt;
}

std::optional<Error> check_policies(const Configuration& configuration) {
  for (const auto& [name, service] : configuration.services) {
    if (!service.policy.empty() && !configuration.policies.contains(service.policy)) {
      return policy_undefined(service);
    }
  }
  return std::nullopt;
}

std::optional<Error> check_keys(const Configuration& configuration) {
  std::map<std::string, std::string> owners;
  for (const auto& [name, tenant] : configuration.tenants) {
    const auto [entry, added] = owners.emplace(tenant.api_key, name);
    if (!added) {
      return key_used_twice(name, entry->second);
    }
  }
  return std::nullopt;
}

}  // namespace

Expected<ParsedConfiguration> parse_configuration(const ConfigurationBundle& bundle) {
  ParsedConfiguration parsed;
  for (const ConfigurationDocument& document : bundle.documents) {
    DocumentParser parser(document, bundle.policy_files, parsed.configuration);
    if (auto error = parser.parse(parsed.base_version)) {
      return tl::unexpected(*std::move(error));
    }
  }
  for (const auto check : {check_models, check_policies, check_keys}) {
    if (auto error = check(parsed.configuration)) {
      return tl::unexpected(*std::move(error));
    }
  }
  return parsed;
}

Expected<Configuration> parse_configuration_fragment(const ConfigurationDocument& document) {
  Configuration configuration;
  std::optional<ConfigurationVersion> version;
  DocumentParser parser(document, {}, configuration);
  if (auto error = parser.parse(version)) {
    return tl::unexpected(*std::move(error));
  }
  return configuration;
}

}  // namespace chalkshed
