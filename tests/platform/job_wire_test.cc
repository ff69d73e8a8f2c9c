#include "platform/job_wire.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

#include "platform/header_names.h"

namespace chalkshed::platform {
namespace {

std::string job_of(size_t items) {
  nlohmann::json requests = nlohmann::json::array();
  for (size_t index = 0; index < items; ++index) {
    requests.push_back({{"id", "i" + std::to_string(index)},
                        {"path", "/p/x?y=1"},
                        {"headers", {{kTokenUsage, "540,400"}, {kPromptPrefix, "9c:300,5d:240"}}},
                        {"body", "q83v"},
                        {"tokens", 940}});
  }
  return nlohmann::json{{"requests", requests}}.dump();
}

TEST(JobWireTest, ItemsBecomeRequests) {
  const auto items = JobWire().decode_items("a.example", job_of(2));
  ASSERT_TRUE(items);
  const ServingRequest& item = items->at(1);
  EXPECT_EQ(item.id, "i1");
  EXPECT_EQ(item.host, "a.example");
  EXPECT_EQ(item.message.method, "POST");
  EXPECT_EQ(item.message.path, "/p/x");
  EXPECT_EQ(item.message.query, "y=1");
  EXPECT_EQ(item.message.body, "\xab\xcd\xef");
  EXPECT_EQ(item.prompt_tokens, 540U);
  EXPECT_EQ(item.max_output_tokens, 400U);
  ASSERT_EQ(item.prompt.size(), 2U);
  EXPECT_EQ(item.prompt[0].tokens, 300U);
  EXPECT_EQ(find_header(item.message.headers, kRequestId), "i1");
}

TEST(JobWireTest, MalformedJobsAreRejectedWithTheReason) {
  const auto message = [](const std::string& content) {
    const auto items = JobWire().decode_items("a.example", content);
    EXPECT_FALSE(items) << content;
    return items ? "" : items.error().message;
  };
  EXPECT_NE(message("{\"requests\": [").find("cannot be read"), std::string::npos);
  EXPECT_NE(message("{}").find("requests"), std::string::npos);
  EXPECT_NE(message(R"({"requests": []})").find("between 1 and 200"), std::string::npos);
  EXPECT_NE(message(job_of(201)).find("not 201"), std::string::npos);
  EXPECT_NE(message(R"({"requests": [{"id": "a", "path": "/p", "body": "*"}]})").find("base64"),
            std::string::npos);
  EXPECT_NE(message(R"({"requests": [{"id": "a", "path": "/p", "body": ""},
                                     {"id": "a", "path": "/p", "body": ""}]})")
                .find("twice"),
            std::string::npos);
  EXPECT_TRUE(JobWire().decode_items("a.example", job_of(200)));
}

TEST(JobWireTest, AJobIsForwardedWithItsOriginalBytes) {
  RequestJob job;
  job.id = "j1";
  job.path = "/batch/j";
  job.content = job_of(3);
  job.sent_as_of = 17;
  const HttpRequest call = JobWire().encode_submission(job);
  EXPECT_EQ(call.method, "POST");
  EXPECT_EQ(call.path, job.path);
  EXPECT_EQ(call.body, job.content);
  EXPECT_EQ(find_header(call.headers, kRequestId), "j1");
  EXPECT_EQ(find_header(call.headers, kForwarded), "17");
}

TEST(JobWireTest, ResultsContainTotalNextAndTexts) {
  ResultPage page;
  page.total = 40;
  page.next = 13;
  page.results.push_back({"a", ItemState::kCompleted, "one\ntwo"});
  page.results.push_back({"b", ItemState::kErrored, ""});
  const nlohmann::json answer = nlohmann::json::parse(encode_results(page));
  EXPECT_EQ(answer["total"], 40);
  EXPECT_EQ(answer["next_token"], 13);
  EXPECT_EQ(answer["results"][0]["state"], "completed");
  EXPECT_EQ(answer["results"][0]["message"], "one\ntwo");
  EXPECT_EQ(answer["results"][1]["state"], "errored");
}

}  // namespace
}  // namespace chalkshed::platform
