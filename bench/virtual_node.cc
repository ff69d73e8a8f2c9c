#include "bench/virtual_node.h"

#include "emulator/answer_model.h"

namespace chalkshed::bench {
namespace {

constexpr uint32_t kBatchMaxTokens = 256;
constexpr uint32_t kMaxOnlineAttempts = 3;

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

}  // namespace

// One online request: routes it and records its latencies.
class VirtualNode::Online : public GenerateCallbacks {
 public:
  Online(VirtualNode& node, uint64_t attempt, const OnlineRequest& request, Duration client_latency,
         MonotonicTime sent_at)
      : node_(node),
        attempt_(attempt),
        request_(request),
        client_latency_(client_latency),
        sent_at_(sent_at) {}

  // @return whether the request was routed to a worker.
  bool start() {
    RouteRequest route;
    route.service = kServiceName;
    route.prompt = request_.prompt;
    route.prompt_tokens = count_prompt_tokens(request_.prompt);
    route.max_tokens = request_.max_tokens;
    route.time_left = std::chrono::seconds(30);
    route.excluded = excluded_;
    Expected<RoutedRequestPtr> routed = node_.router_.route(route);
    if (!routed) {
      return false;
    }
    routed_ = std::move(*routed);
    routed_at_ = node_.dependencies_.time_source.monotonic_now();
    stream_ = node_.dependencies_.engine_client.generate(
        routed_->address(), node_.make_request(request_.prompt, EnginePriority::kOnline), *this);
    return true;
  }

  void on_chunk(const GenerateChunk& chunk) override {
    routed_->report_load(chunk.load);
    const MonotonicTime now = node_.dependencies_.time_source.monotonic_now();
    if (first_) {
      first_ = false;
      routed_->report_first_token();
      first_token_ = now - sent_at_ + client_latency_;
      node_.record_.first_token_ms.push_back(milliseconds(first_token_));
      if (!request_.in_burst) {
        node_.record_.steady_first_token_ms.push_back(milliseconds(first_token_));
      }
    } else {
      node_.record_.inter_token_ms.push_back(milliseconds(now - last_token_at_));
    }
    last_token_at_ = now;
  }
  void on_complete(const GenerateResult& result) override {
    routed_->report_load(result.load);
    routed_->report_success();
    ++node_.record_.online_completed;
    record_arrival(result);
    node_.end_online(attempt_);
  }
  void on_error(const Error& error) override {
    routed_->report_failure(error);
    excluded_.push_back(routed_->worker());
    const bool may_retry = error.ran == Ran::kNo && excluded_.size() < kMaxOnlineAttempts;
    if (!may_retry || !start()) {
      ++node_.record_.online_failed;
      node_.end_online(attempt_);
    }
  }

 private:
  void record_arrival(const GenerateResult& result) {
    const VirtualEngineClient::Target& target = node_.engines_.target(routed_->address());
    const MonotonicTime arrived = routed_at_ + target.one_way;
    EngineArrival arrival;
    arrival.worker = target.worker;
    arrival.arrived_us = static_cast<double>((arrived - node_.record_.trace_start).count());
    arrival.path_us =
        static_cast<double>((arrived - sent_at_ + target.one_way + client_latency_).count());
    arrival.first_token_us = static_cast<double>(first_token_.count());
    arrival.prompt_tokens = result.prompt_tokens - result.cached_prompt_tokens;
    arrival.answer_tokens = result.completion_tokens;
    node_.record_.arrivals.push_back(arrival);
  }

  VirtualNode& node_;
  uint64_t attempt_;
  const OnlineRequest& request_;
  Duration client_latency_;
  MonotonicTime sent_at_;
  MonotonicTime routed_at_;
  MonotonicTime last_token_at_;
  Duration first_token_{0};
  bool first_ = true;
  std::vector<WorkerId> excluded_;
  RoutedRequestPtr routed_;
  GenerateStreamPtr stream_;
};

// One attempt of a batch item.
class VirtualNode::Batch : public GenerateCallbacks {
 public:
  Batch(VirtualNode& node, uint64_t attempt, BatchItem item, BatchSlotPtr slot)
      : node_(node), attempt_(attempt), item_(std::move(item)), slot_(std::move(slot)) {}

  void start() {
    GenerateRequest request = node_.make_request(item_.prompt, EnginePriority::kBatch);
    request.resumed_tokens = item_.tokens;
    slot_->set_on_revoked([this] {
      ++node_.record_.batch_revoked;
      requeue();
    });
    stream_ =
        node_.dependencies_.engine_client.generate(slot_->address(), std::move(request), *this);
  }

  void on_chunk(const GenerateChunk& chunk) override {
    slot_->report_load(chunk.load);
    if (first_) {
      first_ = false;
      slot_->report_first_token();
    }
    item_.tokens.insert(item_.tokens.end(), chunk.tokens.begin(), chunk.tokens.end());
  }
  void on_complete(const GenerateResult& result) override {
    slot_->report_load(result.load);
    slot_->report_success();
    ++node_.record_.batch_completed;
    node_.record_.batch_completed_tokens += result.completion_tokens;
    node_.end_batch(attempt_);
  }
  void on_error(const Error& error) override {
    slot_->report_failure(error);
    ++node_.record_.batch_failed;
    requeue();
  }

 private:
  void requeue() {
    node_.backlog_.push_front(std::move(item_));
    node_.end_batch(attempt_);
  }

  VirtualNode& node_;
  uint64_t attempt_;
  BatchItem item_;
  bool first_ = true;
  BatchSlotPtr slot_;
  GenerateStreamPtr stream_;
};

VirtualNode::VirtualNode(const NodeIdentity& identity, const NodeDependencies& dependencies,
                         const VirtualEngineClient& engines, FixedMembership membership,
                         ConfigurationPtr configuration, double batch_fill,
                         const RoutingKnobs& knobs, BatchBacklog& backlog, RunRecord& record)
    : identity_(identity),
      dependencies_(dependencies),
      engines_(engines),
      membership_(std::move(membership)),
      configuration_(std::move(configuration)),
      policy_(batch_fill),
      router_(identity_, dependencies_, configuration_, membership_, gossip_, policy_, knobs),
      backlog_(backlog),
      record_(record) {
  router_.start();
  router_.subscribe(lifetime_.guard([this] { start_batch_items(); }));
}

VirtualNode::~VirtualNode() = default;

GenerateRequest VirtualNode::make_request(const std::string& prompt, EnginePriority priority) {
  GenerateRequest request;
  request.attempt_id = identity_.id + "/" + std::to_string(next_attempt_++);
  request.model = kModelName;
  request.prompt = prompt;
  request.max_tokens = kBatchMaxTokens;
  request.priority = priority;
  return request;
}

void VirtualNode::arrive(const OnlineRequest& request, size_t number) {
  const uint64_t attempt = number;
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  // The latency from client to node has elapsed; the way back is added to each measured latency.
  const Duration client_latency = record_.client_latency;
  auto online =
      std::make_unique<Online>(*this, attempt, request, client_latency, now - client_latency);
  if (online->start()) {
    online_.emplace(attempt, std::move(online));
  } else {
    ++record_.online_refused;
  }
}

void VirtualNode::start_batch_items() {
  while (!backlog_.empty()) {
    const BatchItem& next = backlog_.front();
    const auto resumed = static_cast<uint32_t>(next.tokens.size());
    BatchSlotPtr slot =
        router_.try_acquire(kServiceName, count_prompt_tokens(next.prompt) + resumed);
    if (!slot) {
      return;
    }
    const uint64_t attempt = next_attempt_++;
    auto batch =
        std::make_unique<Batch>(*this, attempt, std::move(backlog_.front()), std::move(slot));
    backlog_.pop_front();
    Batch& started = *batch;
    batch_.emplace(attempt, std::move(batch));
    started.start();
  }
}

// Requests end inside their own callbacks, so they are destroyed in a later iteration of the event
// loop.
void VirtualNode::end_online(uint64_t attempt) {
  dependencies_.dispatcher.post(lifetime_.guard([this, attempt] { online_.erase(attempt); }));
}

void VirtualNode::end_batch(uint64_t attempt) {
  dependencies_.dispatcher.post(lifetime_.guard([this, attempt] {
    batch_.erase(attempt);
    start_batch_items();
  }));
}

}  // namespace chalkshed::bench
