// One node in virtual time: its status API, operator access and planned shutdown.
#include "src/node/node.h"

#include <gmock/gmock.h>
#include <gtest/gtest.h>

#include "emulator/emulated_platform.h"
#include "sim/virtual_time.h"

namespace chalkshed {
namespace {

using testing::HasSubstr;

// Records the response of a handler.
struct RecordedResponse {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool ended = false;
  bool aborted = false;
};

class RecordingWriter : public ResponseWriter {
 public:
  explicit RecordingWriter(std::shared_ptr<RecordedResponse> response)
      : response_(std::move(response)) {}
  void start(int status, const HttpHeaders& headers) override {
    response_->status = status;
    response_->headers = headers;
  }
  void write(std::string_view chunk) override { response_->body.append(chunk); }
  void finish() override { response_->ended = true; }
  void respond(const HttpResponse& response) override {
    start(response.status, response.headers);
    write(response.body);
    finish();
  }
  void abort() override { response_->aborted = true; }
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()> /*callback*/) override {}

 private:
  std::shared_ptr<RecordedResponse> response_;
};

// Keeps streams open until the test completes them.
class OpenStreamEngineClient : public EngineClient {
 public:
  GenerateStreamPtr generate(const Address& /*worker*/, GenerateRequest /*request*/,
                             GenerateCallbacks& callbacks) override {
    stream = &callbacks;
    return std::make_unique<GenerateStream>();
  }
  void fetch_load(const Address& /*worker*/, Callback<EngineLoad> /*callback*/) override {}

  GenerateCallbacks* stream = nullptr;
};

class UnresponsiveHttpClient : public HttpClient {
 public:
  HttpCallPtr send(const Address& /*server*/, const HttpRequest& /*request*/,
                   const HttpCallOptions& /*options*/, HttpCallCallbacks& /*callbacks*/) override {
    return std::make_unique<HttpCall>();
  }
  void fetch(const Address& /*server*/, const HttpRequest& /*request*/,
             const HttpCallOptions& /*options*/, Callback<HttpResponse> /*callback*/) override {}
};

class UnresponsiveNetwork : public DatagramTransport, public PeerClient, public PeerServer {
 public:
  void send(const Address& /*to*/, std::string_view /*datagram*/) override {}
  void set_receiver(Receiver /*receiver*/) override {}
  void call(const Address& /*node*/, std::string /*method*/, std::string /*body*/,
            Callback<std::string> /*callback*/) override {}
  void register_method(std::string /*method*/, Handler /*handler*/) override {}
};

class NodeTest : public testing::Test {
 protected:
  NodeTest() {
    Machine worker;
    worker.id = "worker-1";
    worker.role = MachineRole::kWorker;
    worker.service = "lm";
    worker.address = {"127.0.0.1", 9};
    worker.incarnation = 1;
    platform_.set_machines({worker});
    platform_.forget_machine_history();
  }

  std::shared_ptr<RecordedResponse> send(const std::string& method, const std::string& path,
                                         const std::string& body = {}) {
    HttpRequest request;
    request.method = method;
    request.path = path.substr(0, path.find('?'));
    request.query = path.find('?') == std::string::npos ? "" : path.substr(path.find('?') + 1);
    request.body = body;
    request.peer = peer_;
    auto response = std::make_shared<RecordedResponse>();
    node_.handle(std::move(request), std::make_unique<RecordingWriter>(response));
    return response;
  }

  void run(Duration duration = std::chrono::seconds(5)) { clock_.run_for(duration); }

  void start_and_configure() {
    node_.start();
    run();
    const auto applied = send("POST", "/admin/configuration",
                              "version = 0\n[services.lm]\nkind = \"model\"\nmodels = [\"m\"]\n");
    run();
    ASSERT_EQ(applied->status, 200) << applied->body;
  }

  Address peer_ = {"127.0.0.1", 5};
  VirtualClock clock_;
  VirtualDispatcher dispatcher_{clock_};
  SeededRandomGenerator random_{1};
  EmulatedPlatform platform_{clock_, dispatcher_, random_};
  EmulatedTableStore table_{platform_, dispatcher_};
  EmulatedObjectStore objects_{platform_, dispatcher_};
  EmulatedMachineList machines_{platform_, dispatcher_};
  OpenStreamEngineClient engines_;
  UnresponsiveHttpClient backends_;
  UnresponsiveNetwork network_;
  NullLogger logger_;
  NullMetricsRegistry metrics_;
  NodeDependencies dependencies_{clock_,    dispatcher_, random_,   table_,   objects_,
                                 machines_, engines_,    backends_, network_, network_,
                                 network_,  logger_,     metrics_};
  Node node_{{"node-1", {"127.0.0.1", 1}, {"127.0.0.1", 2}, "zone-1", "region-1", 1},
             dependencies_};
};

TEST_F(NodeTest, IsReadyOnlyOnceAConfigurationIsKnown) {
  platform_.table_service().faults.outage = true;
  node_.start();
  run();
  EXPECT_EQ(send("GET", "/healthz")->status, 200);
  const auto before = send("GET", "/readyz");
  EXPECT_EQ(before->status, 503);
  EXPECT_THAT(before->body, HasSubstr("no configuration learned yet"));
  const auto refused = send("POST", "/v1/completions", R"({"model":"m","prompt":"p"})");
  EXPECT_EQ(refused->status, 503);
  EXPECT_THAT(refused->body, HasSubstr("\"ran\":\"no\""));
  platform_.table_service().faults.outage = false;
  run(std::chrono::seconds(60));
  EXPECT_EQ(send("GET", "/readyz")->status, 200);
}

TEST_F(NodeTest, ListsNodesAndRejectsUnknownPaths) {
  start_and_configure();
  const auto nodes = send("GET", "/admin/nodes");
  EXPECT_THAT(nodes->body, HasSubstr("\"id\":\"node-1\""));
  EXPECT_THAT(nodes->body, HasSubstr("\"configuration_version\":1"));
  EXPECT_EQ(send("GET", "/nowhere")->status, 404);
  EXPECT_EQ(send("POST", "/healthz")->status, 400);
}

TEST_F(NodeTest, ServesOperatorsFromLoopbackOnlyWithoutAKey) {
  start_and_configure();
  peer_.ip = "10.0.0.7";
  const auto refused = send("GET", "/admin/nodes");
  EXPECT_EQ(refused->status, 401);
  EXPECT_THAT(refused->body, HasSubstr("no operator key"));
  EXPECT_EQ(send("POST", "/admin/workers/worker-1/drain")->status, 401);
  EXPECT_EQ(send("GET", "/healthz")->status, 200);
  EXPECT_NE(send("GET", "/v1/models")->status, 401);
}

TEST(AdminAccessTest, KeyIsRequiredFromEveryPeer) {
  const AdminAccess access("0123456789abcdef");
  HttpRequest request;
  request.path = "/admin/configuration";
  request.peer.ip = "127.0.0.1";
  EXPECT_EQ(access.refusal(request)->kind, ErrorKind::kUnauthenticated);
  EXPECT_EQ(access.refusal(request)->ran, Ran::kNo);
  for (const char* wrong : {"Bearer 0123456789abcdeX", "Bearer 0123456789abcde", "Bearer ",
                            "Basic 0123456789abcdef", "0123456789abcdef"}) {
    request.headers = {{"Authorization", wrong}};
    EXPECT_TRUE(access.refusal(request)) << wrong;
  }
  request.headers = {{"authorization", "bearer 0123456789abcdef"}};
  EXPECT_FALSE(access.refusal(request));
  request.headers.clear();
  request.path = "/v1/models";
  EXPECT_FALSE(access.refusal(request));
}

TEST(AdminAccessTest, RecognizesLoopbackAddresses) {
  for (const char* ip : {"127.0.0.1", "127.9.8.7", "::1", "::ffff:127.0.0.1"}) {
    EXPECT_TRUE(is_loopback(ip)) << ip;
  }
  for (const char* ip : {"", "10.0.0.1", "128.0.0.1", "::", "::ffff:10.0.0.1", "127.0.0.1x"}) {
    EXPECT_FALSE(is_loopback(ip)) << ip;
  }
}

TEST_F(NodeTest, DrainFinishesOpenRequestsAndRefusesNewOnes) {
  start_and_configure();
  const auto running = send("POST", "/v1/completions", R"({"model":"m","prompt":"p"})");
  run(std::chrono::milliseconds(100));
  ASSERT_NE(engines_.stream, nullptr);
  ASSERT_EQ(node_.requests_in_progress(), 1U);

  bool drained = false;
  node_.begin_drain([&] { drained = true; });
  run();
  EXPECT_FALSE(drained);
  EXPECT_EQ(send("GET", "/readyz")->status, 503);
  for (const char* path : {"/v1/completions", "/v1/batches", "/services/x/y"}) {
    const auto refused = send("POST", path, "{}");
    EXPECT_EQ(refused->status, 503);
    EXPECT_THAT(refused->body, HasSubstr("\"kind\":\"draining\""));
    EXPECT_THAT(refused->body, HasSubstr("\"ran\":\"no\""));
    EXPECT_EQ(find_header(refused->headers, "Connection"), "close");
  }
  EXPECT_EQ(send("GET", "/admin/workers")->status, 200);

  engines_.stream->on_chunk({0, {" done"}, {}});
  GenerateResult result;
  result.prompt_tokens = 1;
  result.completion_tokens = 1;
  engines_.stream->on_complete(result);
  run(std::chrono::seconds(30));
  EXPECT_EQ(running->status, 200);
  EXPECT_TRUE(running->ended);
  EXPECT_THAT(running->body, HasSubstr(" done"));
  EXPECT_TRUE(drained);
}

TEST_F(NodeTest, IdleNodeDrainsAndReportsOnce) {
  start_and_configure();
  int reports = 0;
  node_.begin_drain([&] { ++reports; });
  node_.begin_drain([&] { ++reports; });
  run(std::chrono::seconds(60));
  EXPECT_EQ(reports, 1);
}

}  // namespace
}  // namespace chalkshed
