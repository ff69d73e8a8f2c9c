#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "src/openai/completion.h"

namespace chalkshed {
namespace {

using Json = nlohmann::json;

const CompletionIdentity kChatIdentity = {CompletionApi::kChat, "r1", "m\"odel", 1700000000};
const CompletionIdentity kTextIdentity = {CompletionApi::kText, "r1", "model", 1700000000};

// @return the JSON values of the events; the [DONE] mark is returned as a string.
std::vector<Json> read_events(std::string_view stream) {
  std::vector<Json> events;
  while (!stream.empty()) {
    EXPECT_TRUE(stream.starts_with("data: "));
    const size_t end = stream.find("\n\n");
    const std::string_view data = stream.substr(6, end - 6);
    events.push_back(data == "[DONE]" ? Json(data) : Json::parse(data));
    stream.remove_prefix(end + 2);
  }
  return events;
}

TEST(CompletionFormatterTest, ChatResponseHasTheFieldsThatClientsRead) {
  const Json body = Json::parse(
      format_completion(kChatIdentity, "hi \"there\"", FinishReason::kLength, {5, 2, 3}));
  EXPECT_EQ(body["id"], "chatcmpl-r1");
  EXPECT_EQ(body["object"], "chat.completion");
  EXPECT_EQ(body["model"], "m\"odel");
  EXPECT_EQ(body["choices"][0]["message"]["content"], "hi \"there\"");
  EXPECT_EQ(body["choices"][0]["finish_reason"], "length");
  EXPECT_EQ(body["usage"]["total_tokens"], 8);
  EXPECT_EQ(body["usage"]["prompt_tokens_details"]["cached_tokens"], 2);
}

TEST(CompletionFormatterTest, ChatStreamOpensWithTheRoleAndEndsWithUsageAndDone) {
  const CompletionStreamFormatter formatter(kChatIdentity, true);
  const auto events = read_events(formatter.opening() + formatter.text("h\n") +
                                  formatter.closing(FinishReason::kStop, {5, 0, 1}));
  ASSERT_EQ(events.size(), 5U);
  EXPECT_EQ(events[0]["choices"][0]["delta"]["role"], "assistant");
  EXPECT_EQ(events[1]["object"], "chat.completion.chunk");
  EXPECT_EQ(events[1]["choices"][0]["delta"]["content"], "h\n");
  EXPECT_TRUE(events[1]["usage"].is_null());
  EXPECT_EQ(events[2]["choices"][0]["finish_reason"], "stop");
  EXPECT_TRUE(events[3]["choices"].empty());
  EXPECT_EQ(events[3]["usage"]["prompt_tokens"], 5);
  EXPECT_EQ(events[4], "[DONE]");
}

TEST(CompletionFormatterTest, TextStreamHasNoUsageUnlessRequested) {
  const CompletionStreamFormatter formatter(kTextIdentity, false);
  const auto events = read_events(formatter.opening() + formatter.text("x") +
                                  formatter.closing(FinishReason::kLength, {}));
  ASSERT_EQ(events.size(), 3U);
  EXPECT_EQ(events[0]["object"], "text_completion");
  EXPECT_EQ(events[0]["choices"][0]["text"], "x");
  EXPECT_FALSE(events[0].contains("usage"));
  EXPECT_EQ(events[1]["choices"][0]["finish_reason"], "length");
}

TEST(CompletionFormatterTest, FailureHasNoDoneMark) {
  const auto events = read_events(CompletionStreamFormatter::failure(
      maybe_run(ErrorKind::kUpstreamFailed, "worker lost", "send it again")));
  ASSERT_EQ(events.size(), 1U);
  EXPECT_EQ(events[0]["error"]["ran"], "unknown");
}

TEST(CompletionFormatterTest, InvalidUtf8IsReplaced) {
  const std::string text = format_completion(kTextIdentity, "\xff", FinishReason::kStop, {});
  EXPECT_TRUE(Json::accept(text)) << text;
}

TEST(CompletionFormatterTest, ListsModels) {
  const Json body = Json::parse(format_models({"a", "b"}, 7));
  EXPECT_EQ(body["object"], "list");
  EXPECT_EQ(body["data"][1]["id"], "b");
  EXPECT_EQ(body["data"][1]["object"], "model");
}

}  // namespace
}  // namespace chalkshed
