#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <string>

#include "src/openai/completion.h"

namespace chalkshed {
namespace {

Expected<CompletionRequest> parse_chat(const std::string& body) {
  return parse_completion_request(kChatCompletionPath, body);
}

Expected<CompletionRequest> parse_text(const std::string& body) {
  return parse_completion_request(kTextCompletionPath, body);
}

TEST(CompletionParserTest, ParsesChatMessagesWithStringsAndParts) {
  const auto request = parse_chat(R"({"model":"m","stream":true,"max_completion_tokens":7,
      "stream_options":{"include_usage":true},"temperature":0.2,"user":"x",
      "messages":[{"role":"system","content":"be brief"},
                  {"role":"user","content":[{"type":"text","text":"a"},{"type":"text","text":"b"}]}]})");
  ASSERT_TRUE(request);
  EXPECT_EQ(request->prompt, "system: be brief\nuser: ab\nassistant: ");
  EXPECT_EQ(request->max_tokens, 7U);
  EXPECT_TRUE(request->stream);
  EXPECT_TRUE(request->include_usage);
  EXPECT_EQ(request->prompt_tokens, estimate_tokens(request->prompt));
}

TEST(CompletionParserTest, NullCountsAsAbsent) {
  const auto request =
      parse_text(R"({"model":"m","prompt":["one"],"max_tokens":null,"stream":null,"n":1})");
  ASSERT_TRUE(request);
  EXPECT_EQ(request->prompt, "one");
  EXPECT_EQ(request->max_tokens, kDefaultMaxTokens);
}

struct BadBody {
  std::string_view path;
  const char* body;
  const char* mentioned;  // text that the message must contain
};

class BadBodyTest : public testing::TestWithParam<BadBody> {};

TEST_P(BadBodyTest, IsRejectedWithTheNameOfTheField) {
  const auto request = parse_completion_request(GetParam().path, GetParam().body);
  ASSERT_FALSE(request);
  EXPECT_EQ(request.error().kind, ErrorKind::kInvalidRequest);
  EXPECT_EQ(request.error().ran, Ran::kNo);
  EXPECT_FALSE(request.error().remedy.empty());
  EXPECT_NE(request.error().message.find(GetParam().mentioned), std::string::npos)
      << request.error().message;
}

INSTANTIATE_TEST_SUITE_P(
    Bodies, BadBodyTest,
    testing::Values(
        BadBody{kTextCompletionPath, "{", "JSON at byte 2"},
        BadBody{kTextCompletionPath, "", "JSON"}, BadBody{kTextCompletionPath, "\"\xff\"", "JSON"},
        BadBody{kTextCompletionPath, R"({"model":1e400})", "out of range"},
        BadBody{kTextCompletionPath, "[]", "object"},
        BadBody{kTextCompletionPath, R"({"prompt":"p"})", "'model'"},
        BadBody{kTextCompletionPath, R"({"model":3,"prompt":"p"})", "'model'"},
        BadBody{kTextCompletionPath, R"({"model":"m"})", "'prompt'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":["a","b"]})", "'prompt'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":"p","max_tokens":0})",
                "'max_tokens'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":"p","max_tokens":-5})",
                "'max_tokens'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":"p","max_tokens":1e9})",
                "'max_tokens'"},
        BadBody{kTextCompletionPath,
                R"({"model":"m","prompt":"p","max_tokens":18446744073709551615})", "'max_tokens'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":"p","stream":"yes"})", "'stream'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":"p","n":2})", "'n'"},
        BadBody{kTextCompletionPath, R"({"model":"m","prompt":"p","logprobs":3})", "'logprobs'"},
        BadBody{kTextCompletionPath,
                R"({"model":"m","prompt":"p","stream_options":{"include_usage":1}})",
                "'stream_options.include_usage'"},
        BadBody{kChatCompletionPath, R"({"model":"m","messages":[]})", "'messages'"},
        BadBody{kChatCompletionPath, R"({"model":"m","messages":["x"]})", "'messages[0]'"},
        BadBody{kChatCompletionPath, R"({"model":"m","messages":[{"content":"x"}]})",
                "'messages[0].role'"},
        BadBody{kChatCompletionPath, R"({"model":"m","messages":[{"role":"user","content":5}]})",
                "'messages[0].content'"},
        BadBody{kChatCompletionPath,
                R"({"model":"m","messages":[{"role":"user","content":[{"type":"image_url"}]}]})",
                "'messages[0].content[0].type'"}));

TEST(CompletionParserTest, OtherPathIsNotFound) {
  EXPECT_EQ(parse_completion_request("/v1/other", "{}").error().kind, ErrorKind::kNotFound);
}

TEST(CompletionParserTest, SurvivesDeepNesting) {
  const std::string body = std::string(200000, '[') + std::string(200000, ']');
  EXPECT_FALSE(parse_text(body));
}

RC_GTEST_PROP(CompletionParserProperty, AnyBytesGiveATypedError, (const std::string& body)) {
  const auto request = parse_chat(body);
  RC_ASSERT(!request);
  RC_ASSERT(request.error().kind == ErrorKind::kInvalidRequest);
}

// Corrupts a valid body: truncates it, or replaces one value.
RC_GTEST_PROP(CompletionParserProperty, CorruptBodyIsParsedOrRejectedButNeverThrows, ()) {
  const std::string valid =
      R"({"model":"m","messages":[{"role":"user","content":[{"type":"text","text":"a"}]}],)"
      R"("max_tokens":5,"stream":true,"stream_options":{"include_usage":false},"n":1})";
  std::string body = valid;
  const auto position = *rc::gen::inRange<size_t>(0, valid.size());
  const auto length = *rc::gen::inRange<size_t>(0, 12);
  const auto insert = *rc::gen::element<std::string>("", "null", "[]", "{}", "-1", "1e400", "\"x\"",
                                                     "true", "\\ud800", "\x00\x01", "}", "]");
  body.replace(position, length, insert);
  const auto request = parse_chat(body);
  if (!request) {
    RC_ASSERT(request.error().kind == ErrorKind::kInvalidRequest);
    RC_ASSERT(request.error().ran == Ran::kNo);
    RC_ASSERT(!request.error().remedy.empty());
  }
}

}  // namespace
}  // namespace chalkshed
