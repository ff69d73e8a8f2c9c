// The active configuration set by operators: services, tenants and policies. Immutable once built.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "src/core/time.h"
#include "src/policy/policy.h"

namespace chalkshed {

using ConfigurationVersion = uint64_t;

enum class ServiceKind {
  kModel,  // model workers; serves completions and batch jobs
  kPlain,  // plain back ends; requests are passed through
};

struct ServiceConfiguration {
  std::string name;
  ServiceKind kind = ServiceKind::kModel;
  std::vector<std::string> models;  // model services: the model names callers use
  std::string policy;               // empty: built-in default decisions
  Duration request_deadline = std::chrono::seconds(30);  // default for callers that set none
  // Retries allowed as a fraction of recent successes.
  double retry_budget_fraction = 0.1;
  // Maximum size of the running set of an engine of this service.
  uint32_t max_sequences_per_worker = 32;
  bool batch_enabled = true;
};

struct TenantConfiguration {
  std::string name;
  std::string api_key;             // callers send it as a bearer token
  double requests_per_second = 0;  // over all nodes; 0: unlimited
  double request_burst = 0;        // token bucket size; 0: one second of requests_per_second
  double batch_weight = 1.0;       // weight among tenants when batch capacity is scarce
};

// Expected fields of a policy's decision for a sample; empty fields are not checked.
struct PolicyExpectation {
  std::optional<Urgency> urgency;
  std::optional<Duration> deadline;
  std::optional<double> batch_fill;
  std::optional<double> batch_weight;
  std::optional<bool> refuse;
};

// A request and the decision that the policy must make for it; checked before the configuration is
// accepted.
struct PolicySample {
  std::string name;
  RequestAttributes request;
  PolicyExpectation expect;
};

struct PolicyConfiguration {
  std::string name;
  std::string source;  // Lua 5.4
  std::vector<PolicySample> samples;
};

struct Configuration {
  ConfigurationVersion version = 0;
  std::map<std::string, ServiceConfiguration> services;
  std::map<std::string, TenantConfiguration> tenants;
  std::map<std::string, PolicyConfiguration> policies;
};
using ConfigurationPtr = std::shared_ptr<const Configuration>;

// @return the model service that offers `model`, or null if there is none.
const ServiceConfiguration* service_offering(const Configuration& configuration,
                                             const std::string& model);

// Provides the active configuration to the roles of a node.
class ConfigurationSource {
 public:
  virtual ~ConfigurationSource() = default;
  // @return the active configuration, or null while the node has not loaded one and therefore must
  // not serve.
  virtual ConfigurationPtr current() const = 0;
  // Calls `callback` after every change. Subscribers must outlive the source or never unsubscribe.
  virtual void subscribe(std::function<void(const ConfigurationPtr&)> callback) = 0;
};

}  // namespace chalkshed
