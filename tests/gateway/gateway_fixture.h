// A gateway with scripted workers, back ends and a table store, in virtual time.
#pragma once

#include <gtest/gtest.h>

#include <list>
#include <nlohmann/json.hpp>

#include "emulator/memory_table.h"
#include "sim/virtual_time.h"
#include "src/gateway/gateway.h"

namespace chalkshed {

// The answer as received by a caller. Outlives the writer.
struct SeenAnswer {
  int status = 0;
  HttpHeaders headers;
  std::string body;
  bool finished = false;
  bool aborted = false;
  size_t unread_bytes = 0;  // set by the test: bytes buffered for the caller
  std::function<void()> on_closed;

  nlohmann::json json() const { return nlohmann::json::parse(body); }
  std::string header(std::string_view name) const {
    return std::string(find_header(headers, name).value_or(""));
  }
};
using SeenAnswerPtr = std::shared_ptr<SeenAnswer>;

class FakeWriter : public ResponseWriter {
 public:
  explicit FakeWriter(SeenAnswerPtr seen) : seen_(std::move(seen)) {}
  ~FakeWriter() override {
    seen_->on_closed = nullptr;
    seen_->aborted = seen_->aborted || !seen_->finished;
  }
  void start(int status, const HttpHeaders& headers) override {
    EXPECT_EQ(seen_->status, 0) << "answer started twice";
    seen_->status = status;
    seen_->headers = headers;
  }
  void write(std::string_view chunk) override {
    expect_open();
    seen_->body += chunk;
  }
  void finish() override {
    expect_open();
    seen_->finished = true;
  }
  void respond(const HttpResponse& response) override {
    start(response.status, response.headers);
    write(response.body);
    finish();
  }
  void abort() override {
    expect_open();
    seen_->aborted = true;
  }
  size_t buffered_bytes() const override { return seen_->unread_bytes; }
  void set_on_closed(std::function<void()> callback) override {
    seen_->on_closed = std::move(callback);
  }

 private:
  void expect_open() const {
    EXPECT_FALSE(seen_->finished || seen_->aborted) << "answer used after its end";
  }
  SeenAnswerPtr seen_;
};

// One stream on a fake engine, driven by the test.
struct FakeStream {
  Address worker;
  GenerateRequest request;
  GenerateCallbacks* callbacks = nullptr;  // null after cancellation, which destroys the stream

  bool open() const { return callbacks != nullptr; }
  void send(uint32_t first_index, std::vector<std::string> tokens) {
    callbacks->on_chunk({first_index, std::move(tokens), {}});
  }
  void complete(uint32_t tokens) {
    callbacks->on_complete({FinishReason::kStop, 5, 0, tokens, {}});
  }
  void fail(ErrorKind kind, Ran ran) { callbacks->on_error({kind, "broken", "again", ran, {}}); }
};

class FakeEngineClient : public EngineClient {
 public:
  GenerateStreamPtr generate(const Address& worker, GenerateRequest request,
                             GenerateCallbacks& callbacks) override {
    streams.push_back({worker, std::move(request), &callbacks});
    return std::make_unique<Handle>(streams.back());
  }
  void fetch_load(const Address&, Callback<EngineLoad>) override {}

  std::list<FakeStream> streams;

 private:
  struct Handle : GenerateStream {
    explicit Handle(FakeStream& opened) : stream(opened) {}
    ~Handle() override { stream.callbacks = nullptr; }
    FakeStream& stream;
  };
};

// One call to a fake back end, driven by the test.
struct FakeCall {
  Address server;
  HttpRequest request;
  HttpCallOptions options;
  HttpCallCallbacks* callbacks = nullptr;
  bool paused = false;

  bool open() const { return callbacks != nullptr; }
  void fail(ErrorKind kind, Ran ran) { callbacks->on_error({kind, "broken", "again", ran, {}}); }
};

class FakeHttpClient : public HttpClient {
 public:
  HttpCallPtr send(const Address& server, const HttpRequest& request,
                   const HttpCallOptions& options, HttpCallCallbacks& callbacks) override {
    calls.push_back({server, request, options, &callbacks, false});
    return std::make_unique<Handle>(calls.back());
  }
  void fetch(const Address&, const HttpRequest&, const HttpCallOptions&,
             Callback<HttpResponse>) override {}

  std::list<FakeCall> calls;

 private:
  struct Handle : HttpCall {
    explicit Handle(FakeCall& opened) : call(opened) {}
    ~Handle() override { call.callbacks = nullptr; }
    void pause_reading() override { call.paused = true; }
    void resume_reading() override { call.paused = false; }
    FakeCall& call;
  };
};

// Routes to the first of the workers w0, w1, w2 that is not excluded.
class FakeRouter : public Router {
 public:
  Expected<RoutedRequestPtr> route(const RouteRequest& request) override {
    requests.push_back(request);
    for (const std::string& worker : workers) {
      const auto& excluded = request.excluded;
      if (std::find(excluded.begin(), excluded.end(), worker) == excluded.end()) {
        return std::make_unique<Routed>(*this, worker);
      }
    }
    return tl::unexpected(not_run(ErrorKind::kUnavailable, "no worker is left", "later"));
  }
  bool take_retry(const std::string&) override {
    if (retries_left == 0) {
      return false;
    }
    --retries_left;
    return true;
  }

  std::vector<std::string> workers = {"w0", "w1", "w2"};
  std::vector<RouteRequest> requests;
  int retries_left = 100;
  int failures = 0;  // reported by the gateway
  std::vector<EngineLoad> loads;

 private:
  class Routed : public RoutedRequest {
   public:
    Routed(FakeRouter& router, std::string worker) : router_(router), worker_(std::move(worker)) {}
    const WorkerId& worker() const override { return worker_; }
    const Address& address() const override { return address_; }
    void report_load(const EngineLoad& load) override { router_.loads.push_back(load); }
    void report_first_token() override {}
    void report_success() override {}
    void report_failure(const Error&) override { ++router_.failures; }

   private:
    FakeRouter& router_;
    std::string worker_;
    Address address_{"127.0.0.1", 1};
  };
};

class FakePolicies : public PolicyEvaluator {
 public:
  PolicyDecision evaluate(const RequestAttributes& attributes) override {
    seen.push_back(attributes);
    return decision;
  }
  PolicyDecision decision;
  std::vector<RequestAttributes> seen;
};

class FakeAdmission : public TenantAdmission {
 public:
  std::optional<Error> admit(const std::string&) override { return error; }
  std::optional<Error> error;
};

class FakeConfiguration : public ConfigurationSource {
 public:
  ConfigurationPtr current() const override { return configuration; }
  void subscribe(std::function<void(const ConfigurationPtr&)>) override {}
  ConfigurationPtr configuration;
};

// Table store with a delay of a millisecond and faults set by the test. Transactions are applied
// independently of the node; answers wait for the node's event loop.
class FakeTable : public TableStore {
 public:
  explicit FakeTable(VirtualClock& clock) : clock_(clock) {}
  void read(RowKey key, Callback<std::optional<Row>> callback) override {
    clock_.schedule(kDelay, [this, key, callback = std::move(callback)] {
      if (down) {
        return answer(callback, Expected<std::optional<Row>>(unavailable()));
      }
      answer(callback, Expected<std::optional<Row>>(table.read(key)));
    });
  }
  void scan(ScanRequest, Callback<ScanPage>) override {}
  void commit(Transaction transaction, Callback<CommitResult> callback) override {
    ++commits;
    clock_.schedule(
        kDelay, [this, transaction = std::move(transaction), callback = std::move(callback)] {
          if (down) {
            return answer(callback, Expected<CommitResult>(unavailable()));
          }
          const CommitResult result = table.commit(transaction);
          if (answers_to_lose > 0) {
            --answers_to_lose;
            return answer(callback, Expected<CommitResult>(tl::unexpected(
                                        maybe_run(ErrorKind::kOutcomeUnknown, "lost", "read"))));
          }
          answer(callback, Expected<CommitResult>(result));
        });
  }

  static constexpr Duration kDelay = std::chrono::milliseconds(1);
  MemoryTable table;
  VirtualDispatcher* node = nullptr;  // event loop that runs the callbacks
  bool down = false;
  int answers_to_lose = 0;
  int commits = 0;

 private:
  template <typename Value>
  void answer(const Callback<Value>& callback, Expected<Value> value) {
    node->post([callback, value = std::move(value)] { callback(value); });
  }
  static tl::unexpected<Error> unavailable() {
    return tl::unexpected(not_run(ErrorKind::kStoreUnavailable, "down", "later"));
  }

  VirtualClock& clock_;
};

class UnusedObjectStore : public ObjectStore {
  void put(std::string, std::shared_ptr<const std::string>, Callback<std::monostate>) override {}
  void get(std::string, Callback<std::shared_ptr<const std::string>>) override {}
  void remove(std::string, Callback<std::monostate>) override {}
};

class UnusedMachineList : public MachineList {
  void fetch(Callback<MachineListSnapshot>) override {}
};

class UnusedTransport : public DatagramTransport, public PeerClient, public PeerServer {
  void send(const Address&, std::string_view) override {}
  void set_receiver(Receiver) override {}
  void call(const Address&, std::string, std::string, Callback<std::string>) override {}
  void register_method(std::string, Handler) override {}
};

class GatewayFixture : public testing::Test {
 protected:
  GatewayFixture() {
    auto configuration = std::make_shared<Configuration>();
    ServiceConfiguration pool;
    pool.name = "pool";
    pool.models = {"m"};
    ServiceConfiguration maps;
    maps.name = "maps";
    maps.kind = ServiceKind::kPlain;
    configuration->services = {{"pool", pool}, {"maps", maps}};
    configuration_.configuration = configuration;
    start_node("n1");
  }

  // Starts another node with the same table store, as if the previous one had crashed.
  void start_node(const std::string& id, const GatewayKnobs& knobs = {}) {
    gateway_.reset();
    dispatcher_ = std::make_unique<VirtualDispatcher>(clock_);
    table_.node = dispatcher_.get();
    dependencies_.emplace(NodeDependencies{clock_, *dispatcher_, random_, table_, objects_,
                                           machines_, engine_, backends_, transport_, transport_,
                                           transport_, logger_, metrics_});
    NodeIdentity identity;
    identity.id = id;
    gateway_ = std::make_unique<Gateway>(identity, *dependencies_, configuration_, policies_,
                                         router_, admission_, knobs);
  }

  SeenAnswerPtr call(HttpRequest request) {
    auto seen = std::make_shared<SeenAnswer>();
    gateway_->handle(std::move(request), std::make_unique<FakeWriter>(seen));
    return seen;
  }

  static HttpRequest completion(bool stream, HttpHeaders headers = {}) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = std::move(headers);
    request.body = R"({"model":"m","prompt":"p","max_tokens":3,"stream":)";
    request.body += stream ? "true}" : "false}";
    return request;
  }

  static HttpRequest plain(const std::string& method, const std::string& path,
                           HttpHeaders headers = {}) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers = std::move(headers);
    return request;
  }

  FakeStream& stream(size_t index) { return *std::next(engine_.streams.begin(), index); }
  FakeCall& backend_call(size_t index) { return *std::next(backends_.calls.begin(), index); }

  VirtualClock clock_;
  SeededRandomGenerator random_{1};
  FakeTable table_{clock_};
  UnusedObjectStore objects_;
  UnusedMachineList machines_;
  FakeEngineClient engine_;
  FakeHttpClient backends_;
  UnusedTransport transport_;
  NullLogger logger_;
  NullMetricsRegistry metrics_;
  FakeConfiguration configuration_;
  FakePolicies policies_;
  FakeRouter router_;
  FakeAdmission admission_;
  std::unique_ptr<VirtualDispatcher> dispatcher_;
  std::optional<NodeDependencies> dependencies_;
  std::unique_ptr<Gateway> gateway_;
};

}  // namespace chalkshed
