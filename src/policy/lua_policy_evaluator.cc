#include "src/policy/lua_policy_evaluator.h"

#include <utility>

namespace chalkshed {

LuaPolicyEvaluator::LuaPolicyEvaluator(ConfigurationSource& configuration,
                                       NodeDependencies& dependencies, PolicyKnobs knobs)
    : dependencies_(dependencies), knobs_(knobs) {
  if (const ConfigurationPtr current = configuration.current()) {
    install(current);
  }
  configuration.subscribe(
      lifetime_.guard([this](const ConfigurationPtr& changed) { install(changed); }));
}

void LuaPolicyEvaluator::install(const ConfigurationPtr& configuration) {
  std::map<std::string, ProgramPtr> programs;
  for (const auto& [name, policy] : configuration->policies) {
    const auto known = programs_.find(name);
    const bool unchanged = known != programs_.end() && known->second->source == policy.source;
    programs[name] = unchanged ? known->second : compile(policy);
  }
  programs_ = std::move(programs);
  service_programs_.clear();
  for (const auto& [name, service] : configuration->services) {
    if (const auto program = programs_.find(service.policy); program != programs_.end()) {
      service_programs_[name] = program->second;
    }
  }
}

LuaPolicyEvaluator::ProgramPtr LuaPolicyEvaluator::compile(const PolicyConfiguration& policy) {
  auto program = std::make_shared<Program>();
  program->source = policy.source;
  program->evaluations =
      &dependencies_.metrics.counter("chalkshed_policy_evaluations_total",
                                     "Policy decisions asked for.", {{"policy", policy.name}});
  program->failures = &dependencies_.metrics.counter(
      "chalkshed_policy_failures_total",
      "Policy evaluations that failed and gave the default decision.", {{"policy", policy.name}});
  auto loaded = LuaPolicy::load(policy.name, policy.source, knobs_);
  if (loaded) {
    program->policy = *std::move(loaded);
  } else {
    log_failure(*program, loaded.error());
  }
  return program;
}

PolicyDecision LuaPolicyEvaluator::evaluate(const RequestAttributes& attributes) {
  const auto found = service_programs_.find(attributes.service);
  if (found == service_programs_.end()) {
    return {};
  }
  Program& program = *found->second;
  program.evaluations->add(1);
  if (program.policy == nullptr) {
    program.failures->add(1);
    return {};
  }
  auto decision = program.policy->decide(attributes);
  if (!decision) {
    program.failures->add(1);
    log_failure(program, decision.error());
    return {};
  }
  return *std::move(decision);
}

// Logs once per program version, so that a failing policy does not flood the log.
void LuaPolicyEvaluator::log_failure(Program& program, const Error& error) {
  if (program.failure_logged) {
    return;
  }
  program.failure_logged = true;
  dependencies_.logger.write(LogLevel::kError, "policy_failed", {{"message", error.message}});
}

}  // namespace chalkshed
