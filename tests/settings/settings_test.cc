#include "src/settings/settings.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using testing::HasSubstr;

// Not inlined: inlined concatenations cause a false bounds warning in GCC 12.
[[gnu::noinline]] std::string valid(const std::string& more = {}) {
  std::string content = R"(id = "node-1"
zone = "a"
region = "r"

[listen]
http = "10.0.0.1:8080"
peer = "10.0.0.1:8081"

[platform]
table = "10.0.0.9:9000"
objects = "10.0.0.9:9000"
machines = "10.0.0.9:9000"
)";
  content += more;
  return content;
}

std::vector<SettingsProblem> problems_of(const std::string& content,
                                         const SettingsOverrides& overrides = {}) {
  const auto settings = parse_settings(content, "node.toml", overrides);
  return settings ? std::vector<SettingsProblem>() : settings.error();
}

TEST(SettingsTest, ReadsAllFields) {
  const auto settings = parse_settings(valid(R"([limits]
max_body_bytes = 5000
idle_timeout_seconds = 7
[log]
level = "debug"
format = "json"
)"),
                                       "node.toml", {});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->id, "node-1");
  EXPECT_EQ(settings->listen.http, (Address{"10.0.0.1", 8080}));
  EXPECT_EQ(settings->platform.table, (Address{"10.0.0.9", 9000}));
  EXPECT_EQ(settings->limits.max_body_bytes, 5000U);
  EXPECT_EQ(settings->limits.idle_timeout, Duration(std::chrono::seconds(7)));
  EXPECT_EQ(settings->log.level, LogLevel::kDebug);
  EXPECT_EQ(settings->log.format, LogLineFormat::kJson);
}

TEST(SettingsTest, ReadsTheOperatorKeyAndNeverRepeatsIt) {
  const auto settings = parse_settings(valid("[admin]\nkey = \"0123456789abcdef\"\n"), "f", {});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->admin.key, "0123456789abcdef");
  const auto problems = problems_of(valid("[admin]\nkey = \"too-short\"\n"));
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].field, "admin.key");
  EXPECT_THAT(to_string(problems[0]), testing::Not(HasSubstr("too-short")));
}

TEST(SettingsTest, FlagsWinOverTheFile) {
  const auto settings = parse_settings(valid(), "node.toml", {{"zone", "b"}});
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->zone, "b");
}

TEST(SettingsTest, UnknownFieldNamesFileLineFieldAndRemedy) {
  const auto problems = problems_of(valid("colour = \"red\"\n"));
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_THAT(to_string(problems[0]), HasSubstr("node.toml:13: platform.colour: unknown field; "));
}

TEST(SettingsTest, UnknownGroupIsAnError) {
  const auto problems = problems_of(valid("[colours]\nred = 1\n"));
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].field, "colours");
}

TEST(SettingsTest, ReportsEveryWrongValueWithItsLine) {
  const auto problems = problems_of(R"(id = "two words"
zone = 3
region = "r"
listen = { http = "localhost:80", peer = "10.0.0.1:0" }
platform = { table = "1.2.3.4", objects = "10.0.0.9:1", machines = "10.0.0.9:70000" }
limits = { max_body_bytes = -1, idle_timeout_seconds = "soon" }
log = { level = "loud" }
)");
  std::vector<std::string> found;
  for (const SettingsProblem& problem : problems) {
    found.push_back(problem.field + ":" + std::to_string(problem.line));
    EXPECT_FALSE(problem.remedy.empty());
  }
  EXPECT_THAT(found, testing::UnorderedElementsAre("id:1", "zone:2", "listen.http:4",
                                                   "listen.peer:4", "platform.table:5",
                                                   "platform.machines:5", "limits.max_body_bytes:6",
                                                   "limits.idle_timeout_seconds:6", "log.level:7"));
}

TEST(SettingsTest, MissingFieldsAreNamed) {
  const auto problems = problems_of("id = \"n\"\n");
  ASSERT_EQ(problems.size(), 7U);
  EXPECT_EQ(problems[0].field, "zone");
  EXPECT_EQ(problems[0].message, "missing");
}

TEST(SettingsTest, BrokenTomlNamesItsLine) {
  const auto problems = problems_of("id = \"n\"\nzone = \n");
  ASSERT_FALSE(problems.empty());
  EXPECT_EQ(problems[0].line, 2U);
}

TEST(SettingsTest, WrongFlagIsNamed) {
  const auto problems = problems_of(valid(), {{"listen.http", "nowhere"}});
  ASSERT_EQ(problems.size(), 1U);
  EXPECT_EQ(problems[0].source, "flags");
}

TEST(SettingsTest, MissingFileIsAnError) {
  EXPECT_FALSE(load_settings("/nonexistent/node.toml", {}));
}

}  // namespace
}  // namespace chalkshed
