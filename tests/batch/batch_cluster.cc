#include "tests/batch/batch_cluster.h"
#include "sim/unused_dependencies.h"

#include <gtest/gtest.h>

#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

class Answer : public ResponseWriter {
 public:
  explicit Answer(std::shared_ptr<RecordedAnswer> record) : record_(std::move(record)) {}
  void start(int status, const HttpHeaders& headers) override {
    record_->status = status;
    record_->headers = headers;
  }
  void write(std::string_view chunk) override { record_->body += chunk; }
  void finish() override { record_->finished = true; }
  void respond(const HttpResponse& response) override {
    start(response.status, response.headers);
    write(response.body);
    finish();
  }
  void abort() override { record_->aborted = true; }
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()>) override {}

 private:
  std::shared_ptr<RecordedAnswer> record_;
};

class DefaultPolicy : public PolicyEvaluator {
 public:
  PolicyDecision evaluate(const RequestAttributes&) override { return {}; }
};

// Counts a node's posted callbacks, to verify that long work is sliced.
class CountingDispatcher : public Dispatcher {
 public:
  explicit CountingDispatcher(Dispatcher& inner) : inner_(inner) {}
  TimerPtr create_timer(std::function<void()> callback) override {
    return inner_.create_timer(std::move(callback));
  }
  void post(std::function<void()> callback) override {
    ++posts;
    inner_.post(std::move(callback));
  }
  uint64_t posts = 0;

 private:
  Dispatcher& inner_;
};

}  // namespace

std::string expected_answer(const std::string& prompt, uint32_t tokens) {
  std::string text;
  for (uint32_t index = 0; index < tokens; ++index) {
    text += prompt + "#" + std::to_string(index) + " ";
  }
  return text;
}

class BatchCluster::Membership : public MembershipView {
 public:
  Membership(const BatchCluster& cluster, Member self)
      : cluster_(cluster), self_(std::move(self)) {}
  const Member& self() const override { return self_; }
  std::vector<Member> members() const override { return cluster_.members_; }
  void subscribe(std::function<void()>) override {}

 private:
  const BatchCluster& cluster_;
  Member self_;
};

class BatchCluster::Configurations : public ConfigurationSource {
 public:
  explicit Configurations(const BatchCluster& cluster) : cluster_(cluster) {}
  ConfigurationPtr current() const override { return cluster_.configuration_; }
  void subscribe(std::function<void(const ConfigurationPtr&)>) override {}

 private:
  const BatchCluster& cluster_;
};

class BatchCluster::Slots : public BatchSlots {
 public:
  explicit Slots(uint32_t capacity) : capacity_(capacity) {}

  BatchSlotPtr try_acquire(const std::string&, uint32_t) override {
    if (taken_.size() >= capacity_) {
      return nullptr;
    }
    return std::make_unique<Slot>(*this);
  }
  uint32_t available(const std::string&) const override {
    return capacity_ - std::min<uint32_t>(capacity_, static_cast<uint32_t>(taken_.size()));
  }
  void subscribe(std::function<void()> callback) override { changed_ = std::move(callback); }

  void set_capacity(uint32_t capacity) {
    capacity_ = capacity;
    notify();
  }
  void revoke_all() {
    const std::set<Slot*> slots = taken_;
    for (Slot* slot : slots) {
      slot->revoke();
    }
  }
  void notify() {
    if (changed_) {
      changed_();
    }
  }

 private:
  class Slot : public BatchSlot {
   public:
    explicit Slot(Slots& slots) : slots_(slots) { slots_.taken_.insert(this); }
    ~Slot() override {
      slots_.taken_.erase(this);
      slots_.notify();
    }
    const WorkerId& worker() const override { return worker_; }
    const Address& address() const override { return address_; }
    void report_load(const EngineLoad&) override {}
    void report_first_token() override {}
    void report_success() override {}
    void report_failure(const Error&) override {}
    void set_on_revoked(std::function<void()> callback) override { revoked_ = std::move(callback); }
    void revoke() { revoked_(); }

   private:
    Slots& slots_;
    WorkerId worker_ = "worker";
    Address address_{"127.0.0.1", 1};
    std::function<void()> revoked_;
  };

  uint32_t capacity_;
  std::set<Slot*> taken_;
  std::function<void()> changed_;
};

// Engines generate on the global virtual clock, so a frozen node does not stop them.
class BatchCluster::Engines : public EngineClient {
 public:
  Engines(BatchCluster& cluster, VirtualDispatcher& loop) : cluster_(cluster), loop_(loop) {}
  GenerateStreamPtr generate(const Address&, GenerateRequest request,
                             GenerateCallbacks& callbacks) override {
    auto stream = std::make_unique<Stream>();
    stream->state = std::make_shared<State>();
    stream->state->request = std::move(request);
    stream->state->callbacks = &callbacks;
    stream->state->next = static_cast<uint32_t>(stream->state->request.resumed_tokens.size());
    stream->state->deadline =
        cluster_.clock_.monotonic_now() + stream->state->request.time_limit.value_or(kForever);
    cluster_.worker_log_.started.push_back(stream->state->request.prompt);
    ++cluster_.worker_log_.active;
    step(stream->state, &cluster_, &loop_);
    return stream;
  }
  void fetch_load(const Address&, Callback<EngineLoad>) override {}

 private:
  static constexpr Duration kForever = std::chrono::hours(1000);

  struct State {
    GenerateRequest request;
    GenerateCallbacks* callbacks = nullptr;  // null once cancelled
    uint32_t next = 0;
    MonotonicTime deadline;
  };
  struct Stream : GenerateStream {
    ~Stream() override { state->callbacks = nullptr; }
    std::shared_ptr<State> state;
  };

  // Static because an engine outlives its client's node. The loop does not, and is used only while
  // the node's stream exists.
  static void step(const std::shared_ptr<State>& state, BatchCluster* cluster,
                   VirtualDispatcher* loop) {
    cluster->clock_.schedule(cluster->options_.token_time,
                             [state, cluster, loop] { on_step(state, *cluster, *loop); });
  }

  static void deliver(VirtualDispatcher& loop, const std::shared_ptr<State>& state,
                      std::function<void(GenerateCallbacks&)> event) {
    loop.schedule(Duration(0), [state, event = std::move(event)] {
      if (state->callbacks != nullptr) {
        event(*state->callbacks);
      }
    });
  }

  static void on_step(const std::shared_ptr<State>& state, BatchCluster& cluster,
                      VirtualDispatcher& loop) {
    WorkerLog& worker_log = cluster.worker_log_;
    const std::string& prompt = state->request.prompt;
    if (state->callbacks == nullptr) {
      --worker_log.active;
      return;
    }
    if (cluster.clock_.monotonic_now() >= state->deadline) {
      --worker_log.active;
      fail(loop, state, "the time limit is reached");
      return;
    }
    if (auto found = worker_log.injected_failures.find(prompt);
        found != worker_log.injected_failures.end() && found->second > 0) {
      --found->second;
      --worker_log.active;
      fail(loop, state, "the stream broke");
      return;
    }
    worker_log.last_token[prompt] = cluster.clock_.monotonic_now();
    GenerateChunk chunk;
    chunk.first_index = state->next;
    chunk.tokens = {prompt + "#" + std::to_string(state->next) + " "};
    ++state->next;
    deliver(loop, state, [chunk](GenerateCallbacks& callbacks) { callbacks.on_chunk(chunk); });
    if (state->next < state->request.max_tokens) {
      step(state, &cluster, &loop);
      return;
    }
    --worker_log.active;
    ++worker_log.completions[prompt];
    GenerateResult result;
    result.finish_reason = FinishReason::kLength;
    result.completion_tokens = state->next;
    deliver(loop, state, [result](GenerateCallbacks& callbacks) { callbacks.on_complete(result); });
  }

  static void fail(VirtualDispatcher& loop, const std::shared_ptr<State>& state,
                   const std::string& message) {
    const Error error = maybe_run(ErrorKind::kUpstreamFailed, message, "run it again");
    deliver(loop, state, [error](GenerateCallbacks& callbacks) { callbacks.on_error(error); });
  }

  BatchCluster& cluster_;
  VirtualDispatcher& loop_;
};

// Delivers calls between nodes with a latency of one millisecond.
class BatchCluster::Network {
 public:
  explicit Network(BatchCluster& cluster) : cluster_(cluster) {}

  void register_method(size_t node, const std::string& method, PeerServer::Handler handler) {
    handlers_[{node, method}] = std::move(handler);
  }
  void forget(size_t node) {
    std::erase_if(handlers_, [node](const auto& entry) { return entry.first.first == node; });
  }
  void call(size_t node, const std::string& method, const std::string& body);

 private:
  BatchCluster& cluster_;
  std::map<std::pair<size_t, std::string>, PeerServer::Handler> handlers_;
};

struct BatchCluster::Node : PeerClient, PeerServer {
  Node(BatchCluster& owner, size_t number, uint64_t incarnation)
      : cluster(owner),
        index(number),
        loop(owner.clock_),
        counting(loop),
        random(owner.options_.seed * 1000 + number + incarnation * 100),
        table(*owner.platform_, loop),
        objects(*owner.platform_, loop),
        machines(*owner.platform_, loop),
        engines(owner, loop),
        slots(owner.options_.slots),
        configurations(owner),
        identity{"node" + std::to_string(number),
                 {"127.0.0.1", static_cast<uint16_t>(number)},
                 {},
                 "zone",
                 "region",
                 incarnation},
        membership(owner, Member{identity.id,
                                 identity.http_address,
                                 {},
                                 "zone",
                                 "region",
                                 incarnation,
                                 MemberState::kAlive}),
        dependencies{owner.clock_, counting,  random, table, objects, machines, engines,
                     backends,     datagrams, *this,  *this, logger,  metrics},
        service(std::make_unique<BatchService>(identity, dependencies, configurations, membership,
                                               policy, slots, owner.options_.knobs)) {}

  void call(const Address& node, std::string method, std::string body,
            Callback<std::string>) override {
    if (!loop.frozen()) {
      cluster.network_->call(node.port, method, body);
    }
  }
  void register_method(std::string method, Handler handler) override {
    cluster.network_->register_method(index, method, std::move(handler));
  }

  BatchCluster& cluster;
  size_t index;
  VirtualDispatcher loop;
  CountingDispatcher counting;
  SeededRandomGenerator random;
  EmulatedTableStore table;
  EmulatedObjectStore objects;
  EmulatedMachineList machines;
  Engines engines;
  Slots slots;
  Configurations configurations;
  NodeIdentity identity;
  Membership membership;
  DefaultPolicy policy;
  UnusedHttpClient backends;
  UnusedDatagrams datagrams;
  NullLogger logger;
  NullMetricsRegistry metrics;
  NodeDependencies dependencies;
  std::unique_ptr<BatchService> service;
};

void BatchCluster::Network::call(size_t node, const std::string& method, const std::string& body) {
  cluster_.clock_.schedule(std::chrono::milliseconds(1), [this, node, method, body] {
    if (!cluster_.up(node)) {
      return;
    }
    cluster_.nodes_[node]->loop.schedule(Duration(0), [this, node, method, body] {
      const auto found = handlers_.find({node, method});
      if (found != handlers_.end()) {
        found->second(body, [](const Expected<std::string>&) {});
      }
    });
  });
}

BatchCluster::BatchCluster(const Options& options)
    : options_(options),
      random_(options_.seed),
      platform_loop_(clock_),
      platform_(std::make_unique<EmulatedPlatform>(clock_, platform_loop_, random_)),
      configuration_(std::make_shared<Configuration>()),
      network_(std::make_unique<Network>(*this)) {
  ServiceConfiguration service;
  service.name = "lm";
  service.models = {"model"};
  configuration_->services["lm"] = service;
  configuration_->version = 1;
  nodes_.resize(options_.nodes);
  for (size_t index = 0; index < options_.nodes; ++index) {
    restart(index);
  }
}

BatchCluster::~BatchCluster() {
  for (auto& node : nodes_) {
    node.reset();
  }
}

bool BatchCluster::up(size_t node) const { return nodes_[node] != nullptr; }

void BatchCluster::update_members() {
  members_.clear();
  for (const auto& node : nodes_) {
    if (node != nullptr) {
      members_.push_back(node->membership.self());
    }
  }
}

void BatchCluster::kill(size_t node) {
  network_->forget(node);
  nodes_[node].reset();
  update_members();
}

void BatchCluster::restart(size_t node) {
  nodes_[node] = std::make_unique<Node>(*this, node, next_incarnation_++);
  update_members();
  nodes_[node]->service->start();
}

void BatchCluster::freeze(size_t node) { nodes_[node]->loop.freeze(); }
void BatchCluster::thaw(size_t node) { nodes_[node]->loop.thaw(); }

void BatchCluster::disconnect_from_peers(size_t node) { network_->forget(node); }

void BatchCluster::set_store_unreachable(size_t node, bool unreachable) {
  nodes_[node]->table.set_reachable(!unreachable);
  nodes_[node]->objects.set_reachable(!unreachable);
}

void BatchCluster::set_slots(size_t node, uint32_t slots) {
  nodes_[node]->slots.set_capacity(slots);
}
void BatchCluster::revoke_slots(size_t node) { nodes_[node]->slots.revoke_all(); }
BatchService& BatchCluster::service(size_t node) { return *nodes_[node]->service; }
uint64_t BatchCluster::posts(size_t node) const { return nodes_[node]->counting.posts; }

void BatchCluster::add_tenant(const std::string& name, double weight) {
  auto next = std::make_shared<Configuration>(*configuration_);
  TenantConfiguration tenant;
  tenant.name = name;
  tenant.api_key = "key-" + name;
  tenant.batch_weight = weight;
  next->tenants[name] = tenant;
  configuration_ = next;
}

std::shared_ptr<RecordedAnswer> BatchCluster::send(size_t node, const std::string& method,
                                                   const std::string& path, const std::string& body,
                                                   HttpHeaders headers) {
  auto answer = std::make_shared<RecordedAnswer>();
  if (!up(node)) {
    return answer;
  }
  HttpRequest request;
  request.method = method;
  const size_t question = path.find('?');
  request.path = path.substr(0, question);
  request.query = question == std::string::npos ? "" : path.substr(question + 1);
  request.headers = std::move(headers);
  request.body = body;
  nodes_[node]->loop.schedule(Duration(0), [this, node, request, answer] {
    nodes_[node]->service->handle(request, std::make_unique<Answer>(answer));
  });
  return answer;
}

void BatchCluster::wait(const RecordedAnswer& answer, Duration limit) {
  const MonotonicTime end = clock_.monotonic_now() + limit;
  while (!answer.finished && !answer.aborted && clock_.monotonic_now() < end) {
    run_for(std::chrono::milliseconds(1));
  }
}

std::string BatchCluster::submit(size_t node, const std::string& lines, HttpHeaders headers) {
  const auto answer = send(node, "POST", "/v1/batches", lines, std::move(headers));
  wait(*answer);
  EXPECT_EQ(answer->status, 200) << answer->body;
  return answer->status == 200 ? nlohmann::json::parse(answer->body).at("id") : "";
}

std::string BatchCluster::status(size_t node, const std::string& job) {
  const auto answer = send(node, "GET", "/v1/batches/" + job);
  wait(*answer);
  if (answer->status == 0) {
    return "";
  }
  const auto body = nlohmann::json::parse(answer->body);
  return answer->status == 200 ? body.at("status") : body.at("error").at("kind");
}

std::vector<std::string> BatchCluster::output(size_t node, const std::string& job) {
  const auto answer = send(node, "GET", "/v1/batches/" + job + "/output");
  wait(*answer);
  EXPECT_EQ(answer->status, 200) << answer->body;
  EXPECT_TRUE(answer->finished);
  std::vector<std::string> lines;
  std::istringstream text(answer->body);
  for (std::string line; std::getline(text, line);) {
    lines.push_back(line);
  }
  return lines;
}

bool BatchCluster::run_until(size_t node, const std::string& job, const std::string& wanted,
                             Duration limit) {
  const MonotonicTime end = clock_.monotonic_now() + limit;
  while (clock_.monotonic_now() < end) {
    if (status(node, job) == wanted) {
      return true;
    }
    run_for(std::chrono::milliseconds(100));
  }
  return false;
}

std::string job_lines(const std::string& prefix, uint32_t items, uint32_t max_tokens) {
  std::string lines;
  for (uint32_t item = 0; item < items; ++item) {
    const std::string name = prefix + std::to_string(item);
    lines += R"({"custom_id":")" + name + R"(","method":"POST","url":"/v1/completions","body":)";
    lines += R"({"model":"model","prompt":")" + name + R"(","max_tokens":)";
    lines += std::to_string(max_tokens) + "}}\n";
  }
  return lines;
}

void expect_complete(const std::vector<std::string>& output, const std::string& prefix,
                     uint32_t items, uint32_t max_tokens) {
  ASSERT_EQ(output.size(), items);
  for (uint32_t item = 0; item < items; ++item) {
    const std::string name = prefix + std::to_string(item);
    const auto line = nlohmann::json::parse(output[item]);
    EXPECT_EQ(line.at("custom_id"), name);
    ASSERT_TRUE(line.at("error").is_null()) << output[item];
    EXPECT_EQ(line.at("response").at("body").at("choices").at(0).at("text"),
              expected_answer(name, max_tokens));
  }
}

}  // namespace chalkshed
