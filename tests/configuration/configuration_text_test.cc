#include "src/configuration/configuration_text.h"

#include <gtest/gtest.h>

#include "src/configuration/configuration_content.h"

namespace chalkshed {
namespace {

Expected<ParsedConfiguration> parse(const std::string& text) {
  return parse_configuration({{{"fleet.toml", text}}, {{"rush.lua", "return 1"}}});
}

constexpr const char* kFullText = R"(version = 4
[services.chat]
models = ["large", "small"]
policy = "rush"
request_deadline_seconds = 2.5
retry_budget_fraction = 0.2
max_sequences_per_worker = 8
[services.maps]
kind = "plain"
[tenants.alpha]
api_key = "key"
requests_per_second = 10
request_burst = 20
batch_weight = 3
[policies.rush]
source = '''
function decide(request)
  return { urgency = "urgent" }
end
'''
[[policies.rush.samples]]
name = "any"
request = { path = "/x", prompt_tokens = 7, deadline_seconds = 1.5 }
expect = { urgency = "urgent", refuse = false }
)";

TEST(ConfigurationTextTest, ReadsEveryFieldAndWritesItBack) {
  const auto parsed = parse(kFullText);
  ASSERT_TRUE(parsed) << parsed.error().message;
  EXPECT_EQ(parsed->base_version, 4U);
  const Configuration& read = parsed->configuration;
  EXPECT_EQ(read.services.at("chat").request_deadline, std::chrono::milliseconds(2500));
  EXPECT_EQ(read.services.at("maps").kind, ServiceKind::kPlain);
  EXPECT_FALSE(read.services.at("maps").batch_enabled);
  EXPECT_EQ(read.tenants.at("alpha").request_burst, 20);
  ASSERT_EQ(read.policies.at("rush").samples.size(), 1U);
  EXPECT_EQ(read.policies.at("rush").samples[0].expect.urgency, Urgency::kUrgent);

  const std::string text = format_configuration(read);
  const auto again = parse(text);
  ASSERT_TRUE(again) << again.error().message << "\n" << text;
  EXPECT_EQ(format_configuration(again->configuration), text);
  EXPECT_EQ(again->configuration.policies.at("rush").source, read.policies.at("rush").source);
  EXPECT_EQ(configuration_difference(text, format_configuration(again->configuration)), "");
}

TEST(ConfigurationTextTest, SplitContentIsPutTogetherAgain) {
  Configuration configuration = parse(kFullText)->configuration;
  configuration.version = 9;
  const SplitConfiguration split = split_configuration(configuration, 16);
  ConfigurationCache cache;
  ASSERT_TRUE(cache.add(split));
  ConfigurationHead head;
  head.version = 9;
  head.manifest_digest = split.manifest_digest;
  EXPECT_EQ(format_configuration(**cache.assemble(head)), format_configuration(configuration));
}

struct Mistake {
  std::string text;
  std::string message;  // expected prefix
};

class ConfigurationMistakeTest : public testing::TestWithParam<Mistake> {};

TEST_P(ConfigurationMistakeTest, NamesDocumentLineAndField) {
  const auto parsed = parse(GetParam().text);
  ASSERT_FALSE(parsed);
  EXPECT_EQ(parsed.error().kind, ErrorKind::kInvalidRequest);
  EXPECT_EQ(parsed.error().ran, Ran::kNo);
  EXPECT_TRUE(parsed.error().message.starts_with(GetParam().message)) << parsed.error().message;
  EXPECT_FALSE(parsed.error().remedy.empty());
}

INSTANTIATE_TEST_SUITE_P(
    Mistakes, ConfigurationMistakeTest,
    testing::Values(
        Mistake{"[services.a]\nmodels = [\"m\"]\nmodel = 1\n",
                "fleet.toml:3: services.a.model is not a known field"},
        Mistake{"[service.a]\n", "fleet.toml:1: service is not a known field"},
        Mistake{"x = \n", "fleet.toml:1: not valid TOML"},
        Mistake{"[services.a]\nmodels = \"m\"\n", "fleet.toml:2: services.a.models must be a list"},
        Mistake{"[services.a]\n", "fleet.toml:1: services.a.models is missing"},
        Mistake{"[services.\"a/b\"]\nmodels = [\"m\"]\n",
                "fleet.toml:1: services.a/b is not a valid name"},
        Mistake{"[services.a]\nmodels = [\"m\"]\nretry_budget_fraction = 1.5\n",
                "fleet.toml:3: services.a.retry_budget_fraction must be a number from 0 to 1"},
        Mistake{"[services.a]\nkind = \"plain\"\nmodels = [\"m\"]\n",
                "fleet.toml:3: services.a.models is set on a plain service"},
        Mistake{"[services.a]\nmodels = [\"m\"]\npolicy = \"p\"\n",
                "services.a.policy names \"p\", which is not defined"},
        Mistake{"[services.a]\nmodels = [\"m\"]\n[services.b]\nmodels = [\"m\"]\n",
                "services.b.models: \"m\" is already offered by services.a"},
        Mistake{"[tenants.a]\napi_key = \"k\"\n[tenants.b]\napi_key = \"k\"\n",
                "tenants.b.api_key is the same as that of tenants.a"},
        Mistake{"[tenants.a]\napi_key = 5\n", "fleet.toml:2: tenants.a.api_key must be a string"},
        Mistake{
            "[policies.p]\nfile = \"none.lua\"\n",
            "fleet.toml:2: policies.p.file names \"none.lua\", which is not part of the request"},
        Mistake{"[policies.p]\nfile = \"rush.lua\"\nsource = \"x\"\n",
                "fleet.toml:1: policies.p needs exactly one of source and file"},
        Mistake{"[policies.p]\nfile = \"rush.lua\"\n[[policies.p.samples]]\n"
                "expect = { urgency = \"soon\" }\n",
                "fleet.toml:4: policies.p.samples.expect.urgency is \"soon\""}));

TEST(ConfigurationTextTest, NameDefinedInTwoDocumentsIsAnError) {
  const auto parsed = parse_configuration(
      {{{"a.toml", "[tenants.a]\napi_key = \"k\"\n"}, {"b.toml", "[tenants.a]\napi_key = \"l\"\n"}},
       {}});
  ASSERT_FALSE(parsed);
  EXPECT_EQ(parsed.error().message, "b.toml:1: tenants.a is defined twice");
}

}  // namespace
}  // namespace chalkshed
