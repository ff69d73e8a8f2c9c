#include "src/policy/policy_check.h"

#include <cmath>
#include <sstream>

#include "src/policy/lua_policy.h"
#include "src/policy/urgency_names.h"

namespace chalkshed {
namespace {

constexpr double kTolerance = 1e-9;

std::string format_value(double number) {
  std::ostringstream text;
  text << number;
  return text.str();
}

std::string format_value(const std::optional<Duration>& duration) {
  return duration ? format_value(static_cast<double>(duration->count()) / 1e6) + " s" : "none";
}

struct Mismatch {
  std::string field;
  std::string expected;
  std::string decided;
};

std::optional<Mismatch> compare(const PolicyExpectation& expect, const PolicyDecision& decision) {
  if (expect.urgency && *expect.urgency != decision.urgency) {
    return Mismatch{"urgency", std::string(urgency_name(*expect.urgency)),
                    std::string(urgency_name(decision.urgency))};
  }
  if (expect.deadline && expect.deadline != decision.deadline) {
    return Mismatch{"deadline_seconds", format_value(expect.deadline),
                    format_value(decision.deadline)};
  }
  if (expect.batch_fill && std::abs(*expect.batch_fill - decision.batch_fill) > kTolerance) {
    return Mismatch{"batch_fill", format_value(*expect.batch_fill),
                    format_value(decision.batch_fill)};
  }
  if (expect.batch_weight && std::abs(*expect.batch_weight - decision.batch_weight) > kTolerance) {
    return Mismatch{"batch_weight", format_value(*expect.batch_weight),
                    format_value(decision.batch_weight)};
  }
  if (expect.refuse && *expect.refuse != decision.refuse) {
    return Mismatch{"refuse", *expect.refuse ? "true" : "false",
                    decision.refuse ? "true" : "false"};
  }
  return std::nullopt;
}

Error sample_error(const PolicyConfiguration& policy, size_t index, const std::string& problem) {
  const std::string& name = policy.samples[index].name;
  const std::string sample =
      "sample " + std::to_string(index + 1) + (name.empty() ? "" : " (" + name + ")");
  return not_run(ErrorKind::kPolicyFailed, "policy " + policy.name + ": " + sample + ": " + problem,
                 "correct the policy, or the sample if its expectation is outdated");
}

}  // namespace

Expected<std::monostate> check_policy(const PolicyConfiguration& policy, const PolicyKnobs& knobs) {
  auto loaded = LuaPolicy::load(policy.name, policy.source, knobs);
  if (!loaded) {
    return tl::unexpected(std::move(loaded.error()));
  }
  LuaPolicy& program = **loaded;
  if (auto decision = program.decide(RequestAttributes{}); !decision) {
    return tl::unexpected(std::move(decision.error()));
  }
  for (size_t index = 0; index < policy.samples.size(); ++index) {
    const PolicySample& sample = policy.samples[index];
    const auto decision = program.decide(sample.request);
    if (!decision) {
      return tl::unexpected(sample_error(policy, index, decision.error().message));
    }
    if (const auto mismatch = compare(sample.expect, *decision)) {
      return tl::unexpected(sample_error(
          policy, index,
          mismatch->field + " must be " + mismatch->expected + " but is " + mismatch->decided));
    }
  }
  return std::monostate{};
}

}  // namespace chalkshed
