// Tests the emulator's HTTP handlers without sockets.
#include <gtest/gtest.h>

#include <fstream>

#include "emulator/answer_model.h"
#include "emulator/engine_handler.h"
#include "emulator/fleet_settings.h"
#include "emulator/platform_handler.h"
#include "sim/virtual_time.h"
#include "src/adapters/engine_codec.h"
#include "tests/support/temporary_folder.h"

namespace chalkshed {
namespace {

using std::chrono::seconds;

struct Exchange {
  int status = 0;
  std::string body;
  bool finished = false;
  bool aborted = false;
  std::function<void()> on_closed;
};

class RecordingWriter : public ResponseWriter {
 public:
  explicit RecordingWriter(Exchange& exchange) : exchange_(exchange) {}
  void start(int status, const HttpHeaders&) override { exchange_.status = status; }
  void write(std::string_view chunk) override { exchange_.body += chunk; }
  void finish() override { exchange_.finished = true; }
  void respond(const HttpResponse& response) override {
    exchange_.status = response.status;
    exchange_.body = response.body;
    exchange_.finished = true;
  }
  void abort() override { exchange_.aborted = true; }
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()> callback) override {
    exchange_.on_closed = std::move(callback);
  }

 private:
  Exchange& exchange_;
};

class HandlersTest : public testing::Test {
 protected:
  void send(HttpHandler& handler, std::string method, std::string path, std::string body,
            Exchange& exchange) {
    HttpRequest request;
    request.method = std::move(method);
    request.path = std::move(path);
    request.body = std::move(body);
    handler.handle(std::move(request), std::make_unique<RecordingWriter>(exchange));
  }
  static std::string generate_body() {
    GenerateRequest request;
    request.attempt_id = "a";
    request.model = "m";
    request.prompt = "hello";
    return encode_generate_request(request);
  }

  VirtualClock clock_;
  VirtualDispatcher dispatcher_{clock_};
  SeededRandomGenerator random_{1};
  EngineModel engine_{{}, clock_, dispatcher_, random_};
  EngineHandler handler_{engine_, dispatcher_};
  Exchange exchange_;
};

TEST_F(HandlersTest, StreamContainsTheCompleteAnswerAndTheEndMarker) {
  send(handler_, "POST", "/generate", generate_body(), exchange_);
  clock_.run_for(seconds(5));
  EXPECT_TRUE(exchange_.finished);
  std::vector<std::string> tokens;
  bool done = false;
  std::istringstream lines(exchange_.body);
  for (std::string text; std::getline(lines, text);) {
    const Expected<StreamLine> line = decode_stream_line(text);
    ASSERT_TRUE(line);
    if (const auto* chunk = std::get_if<GenerateChunk>(&*line)) {
      tokens.insert(tokens.end(), chunk->tokens.begin(), chunk->tokens.end());
    } else {
      done = true;
    }
  }
  EXPECT_TRUE(done);
  EXPECT_EQ(tokens, expected_answer_tokens("m", "hello", 0));
}

TEST_F(HandlersTest, KilledEngineAbortsItsStreams) {
  send(handler_, "POST", "/generate", generate_body(), exchange_);
  clock_.run_for(std::chrono::milliseconds(20));
  handler_.kill();
  EXPECT_TRUE(exchange_.aborted);
  EXPECT_FALSE(exchange_.finished);
}

TEST_F(HandlersTest, ClosedConnectionCancelsTheRequest) {
  send(handler_, "POST", "/generate", generate_body(), exchange_);
  clock_.run_for(std::chrono::milliseconds(20));
  exchange_.on_closed();
  clock_.run_for(seconds(1));
  EXPECT_EQ(engine_.counters().cancelled_sequences, 1U);
}

TEST_F(HandlersTest, FrozenEngineRespondsOnlyWhenUnfrozen) {
  handler_.set_frozen(true);
  send(handler_, "GET", "/load", "", exchange_);
  clock_.run_for(seconds(5));
  EXPECT_FALSE(exchange_.finished);
  handler_.set_frozen(false);
  EXPECT_TRUE(exchange_.finished);
}

TEST_F(HandlersTest, LostStoreResponseClosesTheConnection) {
  EmulatedPlatform platform(clock_, dispatcher_, random_);
  platform.table_service().faults.lost_answer_probability = 1;
  PlatformHandler platform_handler(platform, dispatcher_);
  send(platform_handler, "POST", "/table/commit",
       R"({"conditions":[],"writes":[{"table":"t","key":"k","value":"v"}]})", exchange_);
  clock_.run_for(seconds(5));
  EXPECT_TRUE(exchange_.aborted);
  EXPECT_FALSE(exchange_.finished);
  EXPECT_EQ(platform.table().size(), 1U);
}

TEST_F(HandlersTest, MalformedRequestsDidNotRun) {
  for (const std::string_view body : {"", "{", "[]", R"({"attempt_id":1})"}) {
    Exchange exchange;
    send(handler_, "POST", "/generate", std::string(body), exchange);
    EXPECT_EQ(exchange.status, 400);
    EXPECT_NE(exchange.body.find(R"("ran":"no")"), std::string::npos);
  }
}

TEST(FleetSettingsTest, UnknownKeyIsReportedWithItsLine) {
  const TemporaryFolder folder;
  const std::string path = folder.path() + "/fleet.toml";
  std::ofstream(path) << "seed = 3\n[engine]\nstep_bass_ms = 4\n";
  const Expected<FleetSettings> settings = load_fleet_settings(path);
  ASSERT_FALSE(settings);
  EXPECT_NE(settings.error().message.find("line 3: engine.step_bass_ms"), std::string::npos);
}

TEST(FleetSettingsTest, GroupsAreRead) {
  const TemporaryFolder folder;
  const std::string path = folder.path() + "/fleet.toml";
  std::ofstream(path) << "[engine]\nstep_base_ms = 2.5\n[[workers]]\nservice = \"lm\"\n"
                         "count = 12\nfirst_address = \"127.0.0.1:7400\"\nzones = [\"a\", \"b\"]\n";
  const Expected<FleetSettings> settings = load_fleet_settings(path);
  ASSERT_TRUE(settings);
  EXPECT_EQ(settings->engine.step_base, std::chrono::microseconds(2500));
  EXPECT_EQ(settings->groups.at(0).count, 12U);
  EXPECT_EQ(settings->groups.at(0).zones.size(), 2U);
}

}  // namespace
}  // namespace chalkshed
