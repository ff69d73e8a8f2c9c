#include "src/policy/lua_policy.h"

#include <gtest/gtest.h>

#include "src/policy/policy_check.h"

namespace chalkshed {
namespace {

Expected<PolicyDecision> decide(const std::string& source, const RequestAttributes& request = {}) {
  auto policy = LuaPolicy::load("test", source, {});
  if (!policy) {
    return tl::unexpected(policy.error());
  }
  return (*policy)->decide(request);
}

TEST(LuaPolicyTest, DecidesFromTheRequest) {
  RequestAttributes request;
  request.path = "/services/maps/status";
  request.prompt_tokens = 900;
  request.deadline = std::chrono::seconds(3);
  const auto decision = decide(R"(
    local long = 500
    function decide(request)
      if request.path:ends_with("/status") and request.prompt_tokens > long then
        return { urgency = "urgent", deadline_seconds = request.deadline_seconds / 2,
                 batch_fill = 0.25, batch_weight = 4, refuse = true, refusal_reason = "why" }
      end
      return {}
    end)",
                               request);
  ASSERT_TRUE(decision) << decision.error().message;
  EXPECT_EQ(decision->urgency, Urgency::kUrgent);
  EXPECT_EQ(decision->deadline, std::chrono::milliseconds(1500));
  EXPECT_EQ(decision->batch_fill, 0.25);
  EXPECT_EQ(decision->batch_weight, 4);
  EXPECT_TRUE(decision->refuse);
  EXPECT_EQ(decision->refusal_reason, "why");
}

TEST(LuaPolicyTest, KeepsNothingBetweenDecisions) {
  auto policy = LuaPolicy::load("test", R"(
    local calls = 0
    function decide(request)
      calls = calls + 1
      seen = (seen or 0) + 1
      return { batch_weight = calls + seen }
    end)",
                                {});
  ASSERT_TRUE(policy);
  EXPECT_EQ((*policy)->decide({})->batch_weight, 2);
  EXPECT_EQ((*policy)->decide({})->batch_weight, 2);
}

struct BadPolicy {
  std::string name;
  std::string source;
  std::string problem;  // part of the message
};

class BadPolicyTest : public testing::TestWithParam<BadPolicy> {};

TEST_P(BadPolicyTest, FailsWithATypedError) {
  const auto decision = decide(GetParam().source);
  ASSERT_FALSE(decision);
  EXPECT_EQ(decision.error().kind, ErrorKind::kPolicyFailed);
  EXPECT_EQ(decision.error().ran, Ran::kNo);
  EXPECT_NE(decision.error().message.find(GetParam().problem), std::string::npos)
      << decision.error().message;
}

std::string decide_with(const std::string& body) { return "function decide(r) " + body + " end"; }

INSTANTIATE_TEST_SUITE_P(
    Policies, BadPolicyTest,
    testing::Values(
        BadPolicy{"syntax", "function decide(", "test:1:"},
        BadPolicy{"missing", "x = 1", "no function decide"},
        BadPolicy{"loops", decide_with("while true do end"), "too many instructions"},
        BadPolicy{"loops_at_top", "while true do end", "too many instructions"},
        BadPolicy{"recurses", decide_with("return decide(r)"), "too many instructions"},
        BadPolicy{"recurses_deeply", decide_with("return decide(r) + 1"), ""},
        BadPolicy{"eats_memory", decide_with("local s = 'x' while true do s = s .. s end"),
                  "too much memory"},
        BadPolicy{"churns_memory",
                  decide_with("local s = 'x' for i = 1, 16 do s = s .. s end "
                              "for i = 1, 1000 do local t = s .. i end"),
                  "too much memory"},
        BadPolicy{"raises", decide_with("error('no idea')"), "no idea"},
        BadPolicy{"raises_table", decide_with("error({})"), "not a string"},
        BadPolicy{"indexes_nil", decide_with("return r.none.more"), "test:1:"},
        BadPolicy{"returns_number", decide_with("return 3"), "must return a table"},
        BadPolicy{"returns_nothing", decide_with(""), "must return a table"},
        BadPolicy{"wrong_urgency", decide_with("return {urgency = 1}"), "field urgency"},
        BadPolicy{"wrong_fill", decide_with("return {batch_fill = 1.5}"), "field batch_fill"},
        BadPolicy{"not_a_number", decide_with("return {batch_fill = 0/0}"), "field batch_fill"},
        BadPolicy{"number_as_text", decide_with("return {batch_fill = '0.5'}"), "field batch_fill"},
        BadPolicy{"wrong_refuse", decide_with("return {refuse = 'yes'}"), "field refuse"},
        BadPolicy{"unknown_field", decide_with("return {urgent = true}"), "unknown field: urgent"},
        BadPolicy{"list", decide_with("return {true}"), "not a field name"},
        BadPolicy{"changes_library", decide_with("string.sub = 1"), "cannot be changed"}),
    [](const auto& test) { return test.param.name; });

class ForbiddenNameTest : public testing::TestWithParam<const char*> {};

TEST_P(ForbiddenNameTest, IsNotThere) {
  const auto decision = decide(decide_with("if " + std::string(GetParam()) +
                                           " ~= nil then error('it is there') end return {}"));
  EXPECT_TRUE(decision) << decision.error().message;
}

INSTANTIATE_TEST_SUITE_P(Names, ForbiddenNameTest,
                         testing::Values("io", "os", "debug", "load", "loadstring", "loadfile",
                                         "dofile", "require", "package", "pcall", "xpcall",
                                         "coroutine", "pairs", "next", "setmetatable",
                                         "getmetatable", "rawset", "rawget", "collectgarbage",
                                         "print", "_G", "string.rep", "string.find", "string.gsub",
                                         "string.dump", "string.format", "math.random",
                                         "table.concat", "('').rep"));

TEST(LuaPolicyTest, WorksAgainAfterAFailure) {
  auto policy = LuaPolicy::load("test", R"(
    function decide(request)
      if request.batch then while true do end end
      if request.streamed then local s = "x" while true do s = s .. s end end
      return { batch_fill = 1 }
    end)",
                                {});
  ASSERT_TRUE(policy);
  for (int round = 0; round < 50; ++round) {
    RequestAttributes request;
    request.batch = round % 3 == 1;
    request.streamed = round % 3 == 2;
    EXPECT_EQ((*policy)->decide(request).has_value(), round % 3 == 0);
  }
}

TEST(LuaPolicyTest, RefusesByteCodeAndLongPrograms) {
  EXPECT_FALSE(LuaPolicy::load("test", "\x1bLua", {}));
  EXPECT_FALSE(LuaPolicy::load("test", std::string(70'000, ' '), {}));
}

TEST(PolicyCheckTest, NamesTheSampleAndTheFieldThatDiffer) {
  PolicyConfiguration policy;
  policy.name = "rush";
  policy.source = decide_with("return {urgency = r.tenant == 'a' and 'urgent' or 'normal'}");
  PolicySample sample;
  sample.name = "tenant a";
  sample.request.tenant = "a";
  sample.expect.urgency = Urgency::kUrgent;
  policy.samples = {sample};
  EXPECT_TRUE(check_policy(policy, {}));
  sample.name = "tenant b";
  sample.request.tenant = "b";
  policy.samples.push_back(sample);
  const auto checked = check_policy(policy, {});
  ASSERT_FALSE(checked);
  EXPECT_EQ(checked.error().message,
            "policy rush: sample 2 (tenant b): urgency must be urgent but is normal");
}

}  // namespace
}  // namespace chalkshed
