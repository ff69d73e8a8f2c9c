// Evaluates the policies of the active configuration.
#pragma once

#include <map>
#include <memory>
#include <string>

#include "src/configuration/configuration.h"
#include "src/core/lifetime.h"
#include "src/node/node_dependencies.h"
#include "src/policy/lua_policy.h"
#include "src/policy/policy.h"
#include "src/policy/policy_knobs.h"

namespace chalkshed {

class LuaPolicyEvaluator : public PolicyEvaluator {
 public:
  LuaPolicyEvaluator(ConfigurationSource& configuration, NodeDependencies& dependencies,
                     PolicyKnobs knobs);

  PolicyDecision evaluate(const RequestAttributes& attributes) override;

 private:
  struct Program {
    std::string source;
    std::unique_ptr<LuaPolicy> policy;  // null when loading failed
    Counter* evaluations = nullptr;
    Counter* failures = nullptr;
    bool failure_logged = false;
  };
  using ProgramPtr = std::shared_ptr<Program>;

  void install(const ConfigurationPtr& configuration);
  ProgramPtr compile(const PolicyConfiguration& policy);
  void log_failure(Program& program, const Error& error);

  NodeDependencies& dependencies_;
  const PolicyKnobs knobs_;
  std::map<std::string, ProgramPtr> programs_;          // by policy
  std::map<std::string, ProgramPtr> service_programs_;  // by service
  Lifetime lifetime_;
};

}  // namespace chalkshed
