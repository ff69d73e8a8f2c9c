// Property: written configurations parse as the same values for arbitrary characters.
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "src/configuration/configuration_content.h"
#include "src/configuration/configuration_text.h"

namespace chalkshed {
namespace {

// Texts with many characters that are special in TOML.
rc::Gen<std::string> text_with_special_characters() {
  return rc::gen::map(
      rc::gen::container<std::vector<std::string>>(rc::gen::elementOf(std::vector<std::string>{
          "a",  "Z",      " ",        "\n",           "\r\n", "\t",   "'",   "''", "'''",
          "\"", "\"\"\"", "\\",       "\\n",          "#",    "=",    "[",   "]",  "{",
          "}",  ".",      "\xc3\xa6", "\xe2\x82\xac", "\x01", "\x7f", "-- x"})),
      [](const std::vector<std::string>& parts) {
        std::string text;
        for (const std::string& part : parts) {
          text += part;
        }
        return text;
      });
}

double any_number(double maximum) {
  return maximum * *rc::gen::inRange<int64_t>(0, 1'000'000'001) / 1'000'000'000.0;
}

Configuration any_configuration() {
  Configuration configuration;
  PolicyConfiguration policy{"p.1", "--" + *text_with_special_characters(), {}};
  PolicySample sample;
  sample.name = *text_with_special_characters();
  sample.request.path = *text_with_special_characters();
  sample.request.prompt_tokens = *rc::gen::inRange(0U, 1000U);
  sample.request.batch = *rc::gen::arbitrary<bool>();
  sample.expect.batch_fill = any_number(1);
  sample.expect.refuse = *rc::gen::arbitrary<bool>();
  policy.samples = {sample, sample};
  configuration.policies[policy.name] = policy;
  ServiceConfiguration service;
  service.name = "s";
  service.models = {"m" + *text_with_special_characters()};
  service.policy = policy.name;
  service.retry_budget_fraction = any_number(1);
  service.request_deadline = Duration(*rc::gen::inRange<int64_t>(1000, 86'400'000'000));
  configuration.services[service.name] = service;
  for (const char* name : {"t-1", "t.2", "T_3"}) {
    TenantConfiguration tenant;
    tenant.name = name;
    tenant.api_key = name + *text_with_special_characters();
    tenant.request_burst = any_number(1e9);
    configuration.tenants[name] = tenant;
  }
  return configuration;
}

RC_GTEST_PROP(TomlRoundTripTest, TextReadsBackAsItself, ()) {
  const Configuration configuration = any_configuration();
  const std::string text = format_configuration(configuration);
  const auto parsed = parse_configuration({{{"text", text}}, {}});
  RC_ASSERT(parsed.has_value());
  const Configuration& read = parsed->configuration;
  RC_ASSERT(format_configuration(read) == text);
  RC_ASSERT(read.policies.at("p.1").source == configuration.policies.at("p.1").source);
  RC_ASSERT(read.services.at("s").models == configuration.services.at("s").models);
  RC_ASSERT(read.services.at("s").request_deadline ==
            configuration.services.at("s").request_deadline);
  for (const auto& [name, tenant] : configuration.tenants) {
    RC_ASSERT(read.tenants.at(name).api_key == tenant.api_key);
    RC_ASSERT(read.tenants.at(name).request_burst == tenant.request_burst);
  }
}

RC_GTEST_PROP(TomlRoundTripTest, DeltasLeadFromAnyManifestToAnyOther, ()) {
  const SplitConfiguration from = split_configuration(any_configuration(), 4);
  const SplitConfiguration to = split_configuration(any_configuration(), 4);
  const ManifestDelta delta = manifest_delta(from.manifest, to.manifest);
  RC_ASSERT(apply_delta(from.manifest, delta) == to.manifest);
  ConfigurationCache cache;
  RC_ASSERT(cache.add(from).has_value());
  RC_ASSERT(cache.add(to).has_value());
  RC_ASSERT(difference_from(cache, from.manifest_digest, from).empty());
}

}  // namespace
}  // namespace chalkshed
