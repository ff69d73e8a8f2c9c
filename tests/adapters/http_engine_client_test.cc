#include "src/adapters/http_engine_client.h"

#include <gtest/gtest.h>

#include "src/adapters/engine_codec.h"
#include "src/adapters/error_codec.h"

namespace chalkshed {
namespace {

// Lets the test act as the server.
class ScriptedHttpClient : public HttpClient {
 public:
  HttpCallPtr send(const Address&, const HttpRequest& request, const HttpCallOptions&,
                   HttpCallCallbacks& callbacks) override {
    last_request = request;
    server = &callbacks;
    return std::make_unique<KeptCall>(connection_use);
  }
  void fetch(const Address&, const HttpRequest&, const HttpCallOptions&,
             Callback<HttpResponse> callback) override {
    fetched = std::move(callback);
  }

  // A call on a connection that has carried others, unless its use is 1.
  class KeptCall : public HttpCall {
   public:
    explicit KeptCall(uint64_t use) : use_(use) {}
    uint64_t connection_use() const override { return use_; }

   private:
    uint64_t use_;
  };

  uint64_t connection_use = 1;
  HttpRequest last_request;
  HttpCallCallbacks* server = nullptr;
  Callback<HttpResponse> fetched;
};

struct Receiver : GenerateCallbacks {
  void on_chunk(const GenerateChunk& chunk) override {
    text.insert(text.end(), chunk.tokens.begin(), chunk.tokens.end());
    if (destroy_on_chunk) {
      stream.reset();
    }
  }
  void on_complete(const GenerateResult& end) override { result = end; }
  void on_error(const Error& end) override { error = end; }

  GenerateStreamPtr stream;
  bool destroy_on_chunk = false;
  std::vector<std::string> text;
  std::optional<GenerateResult> result;
  std::optional<Error> error;
};

class HttpEngineClientTest : public testing::Test {
 protected:
  HttpEngineClientTest() { receiver_.stream = client_.generate({}, {}, receiver_); }
  static std::string chunk_line(uint32_t index, std::string token) {
    GenerateChunk chunk;
    chunk.first_index = index;
    chunk.tokens = {std::move(token)};
    return encode_chunk_line(chunk);
  }

  ScriptedHttpClient http_;
  HttpEngineClient client_{http_};
  Receiver receiver_;
};

TEST_F(HttpEngineClientTest, LinesSplitAnywhereGiveTheCompleteResponse) {
  GenerateResult result;
  result.completion_tokens = 3;
  const std::string body = chunk_line(0, " one") + chunk_line(1, " \"two\"\n") +
                           chunk_line(2, " tre\xC3\xA9") + encode_done_line(result);
  http_.server->on_headers(200, {});
  for (const char byte : body) {
    http_.server->on_body(std::string_view(&byte, 1));
  }
  EXPECT_FALSE(receiver_.result);
  http_.server->on_end();
  EXPECT_EQ(receiver_.text, (std::vector<std::string>{" one", " \"two\"\n", " tre\xC3\xA9"}));
  ASSERT_TRUE(receiver_.result);
  EXPECT_EQ(receiver_.result->completion_tokens, 3U);
}

TEST_F(HttpEngineClientTest, StreamWithoutTheEndMarkIsAnError) {
  http_.server->on_headers(200, {});
  http_.server->on_body(chunk_line(0, " one"));
  http_.server->on_end();
  EXPECT_FALSE(receiver_.result);
  ASSERT_TRUE(receiver_.error);
  EXPECT_EQ(receiver_.error->kind, ErrorKind::kUpstreamFailed);
  EXPECT_EQ(receiver_.error->ran, Ran::kUnknown);
}

TEST_F(HttpEngineClientTest, RejectionKeepsItsKindAndRanState) {
  const HttpResponse refusal =
      encode_error(not_run(ErrorKind::kOverloaded, "full", "use another worker"));
  http_.server->on_headers(refusal.status, {});
  http_.server->on_body(refusal.body);
  http_.server->on_end();
  ASSERT_TRUE(receiver_.error);
  EXPECT_EQ(receiver_.error->kind, ErrorKind::kOverloaded);
  EXPECT_EQ(receiver_.error->ran, Ran::kNo);
}

// Guards against a caller that is told "not run" though the engine runs its completion.
TEST_F(HttpEngineClientTest, OnAKeptConnectionARejectionMustNameItsAttempt) {
  const Error full = not_run(ErrorKind::kOverloaded, "full", "retry");
  const auto ran_by = [&](const std::string& named) {
    http_.connection_use = 2;
    receiver_.error.reset();
    GenerateRequest request;
    request.attempt_id = "a-1";
    receiver_.stream = client_.generate({}, request, receiver_);
    const HttpResponse response = encode_error(full, named);
    http_.server->on_headers(response.status, response.headers);
    http_.server->on_body(response.body);
    http_.server->on_end();
    return receiver_.error->ran;
  };
  EXPECT_EQ(ran_by("a-1"), Ran::kNo);
  EXPECT_EQ(ran_by("a-2"), Ran::kUnknown);
  EXPECT_EQ(ran_by(""), Ran::kUnknown);
}

TEST_F(HttpEngineClientTest, MalformedErrorMayHaveRun) {
  http_.server->on_headers(503, {});
  http_.server->on_body("<html>");
  http_.server->on_end();
  EXPECT_EQ(receiver_.error->ran, Ran::kUnknown);
}

TEST_F(HttpEngineClientTest, ReceiverMayDestroyTheStreamInsideAChunk) {
  receiver_.destroy_on_chunk = true;
  http_.server->on_headers(200, {});
  http_.server->on_body(chunk_line(0, " one") + chunk_line(1, " two"));
  EXPECT_EQ(receiver_.text, (std::vector<std::string>{" one"}));
  EXPECT_FALSE(receiver_.error);
}

TEST_F(HttpEngineClientTest, MalformedLineFailsTheStream) {
  http_.server->on_headers(200, {});
  http_.server->on_body("{\"first_index\":0,\"tokens\":[\n" + chunk_line(0, " one"));
  ASSERT_TRUE(receiver_.error);
  EXPECT_TRUE(receiver_.text.empty());
}

TEST(EngineCodecTest, LoadIsUnchangedByARoundTrip) {
  EngineLoad load;
  load.running_online = 1;
  load.pending_batch_prompt_tokens = 6;
  load.step_number = uint64_t{1} << 40U;
  load.last_step_time = std::chrono::microseconds(7200);
  load.incarnation = 9;
  load.leaving = true;
  const Expected<EngineLoad> read = decode_load(encode_load(load));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->running_online, 1U);
  EXPECT_EQ(read->pending_batch_prompt_tokens, 6U);
  EXPECT_EQ(read->step_number, load.step_number);
  EXPECT_EQ(read->last_step_time, load.last_step_time);
  EXPECT_EQ(read->incarnation, 9U);
  EXPECT_TRUE(read->leaving);
}

}  // namespace
}  // namespace chalkshed
