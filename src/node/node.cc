#include "src/node/node.h"

#include <exception>

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

NodeDependencies with_machine_list(const NodeDependencies& outer, MachineList& machine_list) {
  return NodeDependencies{outer.time_source,   outer.dispatcher,     outer.random,
                          outer.table_store,   outer.object_store,   machine_list,
                          outer.engine_client, outer.backend_client, outer.datagrams,
                          outer.peer_client,   outer.peer_server,    outer.logger,
                          outer.metrics};
}

// Paths that operators, health probes and peers use while the node drains.
bool served_while_draining(const HttpRequest& request) {
  return !request.path.starts_with("/v1/") && !request.path.starts_with("/services/");
}

HttpResponse draining_response() {
  Error error = not_run(ErrorKind::kDraining, "this node is shutting down",
                        "send the request to another node");
  error.retry_after = std::chrono::seconds(1);
  HttpResponse response = error_response(error);
  response.headers.push_back({"Connection", "close"});
  return response;
}

}  // namespace

// Counts a request as open from its arrival until its writer is destroyed.
class Node::OpenRequest : public ResponseWriter {
 public:
  OpenRequest(ResponseWriterPtr inner, std::shared_ptr<size_t> count)
      : inner_(std::move(inner)), count_(std::move(count)) {
    ++*count_;
  }
  ~OpenRequest() override { --*count_; }
  OpenRequest(const OpenRequest&) = delete;
  OpenRequest& operator=(const OpenRequest&) = delete;

  void start(int status, const HttpHeaders& headers) override { inner_->start(status, headers); }
  void write(std::string_view chunk) override { inner_->write(chunk); }
  void finish() override { inner_->finish(); }
  void respond(const HttpResponse& response) override { inner_->respond(response); }
  void abort() override { inner_->abort(); }
  size_t buffered_bytes() const override { return inner_->buffered_bytes(); }
  void set_on_closed(std::function<void()> callback) override {
    inner_->set_on_closed(std::move(callback));
  }

 private:
  ResponseWriterPtr inner_;
  std::shared_ptr<size_t> count_;
};

Node::Node(const NodeIdentity& identity, NodeDependencies& dependencies, const NodeKnobs& knobs)
    : machine_list_(dependencies, knobs.machine_list),
      dependencies_(with_machine_list(dependencies, machine_list_)),
      drain_poll_interval_(knobs.drain_poll_interval),
      admin_access_(knobs.admin_key),
      membership_(identity, dependencies_, knobs.membership),
      configuration_(identity, dependencies_, membership_, membership_, knobs.configuration),
      configuration_retention_(identity, dependencies_, membership_, knobs.configuration),
      configuration_api_(configuration_, dependencies_, membership_, membership_),
      policies_(configuration_, dependencies_, knobs.policy),
      router_(identity, dependencies_, configuration_, membership_, membership_, policies_,
              knobs.routing),
      worker_api_(router_),
      tenants_(identity, dependencies_, configuration_, membership_, membership_, knobs.tenants),
      batch_(identity, dependencies_, configuration_, membership_, policies_, router_, knobs.batch),
      gateway_(identity, dependencies_, configuration_, policies_, router_, tenants_,
               knobs.gateway),
      claim_sweep_(identity, dependencies_, membership_, knobs.claim_retention),
      node_api_(*this, membership_, configuration_, dependencies_.metrics),
      drain_timer_(dependencies_.dispatcher.create_timer([this] { check_drained(); })) {
  machine_list_.attach(membership_);
  for (const char* prefix : {"/healthz", "/readyz", "/metrics", "/admin/nodes"}) {
    paths_.add(prefix, node_api_);
  }
  for (const char* prefix : {"/admin/configuration", "/admin/services", "/admin/policies"}) {
    paths_.add(prefix, configuration_api_);
  }
  for (const char* prefix : {"/v1/batches", "/admin/jobs"}) {
    paths_.add(prefix, batch_);
  }
  paths_.add("/admin/workers", worker_api_);
  paths_.add("/v1", gateway_);
  paths_.add("/services", gateway_);
}

Node::~Node() = default;

void Node::start() {
  membership_.start();
  configuration_.start();
  configuration_retention_.start();
  router_.start();
  batch_.start();
  claim_sweep_.start();
}

void Node::handle(HttpRequest request, ResponseWriterPtr writer) {
  const std::string path = request.path;
  try {
    dispatch(std::move(request), std::make_unique<OpenRequest>(std::move(writer), open_requests_));
  } catch (const std::exception& exception) {
    // A bug in a handler. Its writer has been destroyed, so the caller sees a broken connection
    // rather than a wrong response.
    dependencies_.logger.write(LogLevel::kError, "handler_failed",
                               {{"path", path}, {"what", exception.what()}});
  }
}

void Node::dispatch(HttpRequest request, ResponseWriterPtr writer) {
  if (draining_ && !served_while_draining(request)) {
    writer->respond(draining_response());
    return;
  }
  if (const auto refusal = admin_access_.refusal(request)) {
    writer->respond(error_response(*refusal));
    return;
  }
  paths_.handle(std::move(request), std::move(writer));
}

std::optional<std::string_view> Node::not_ready_reason() const {
  if (draining_) {
    return "draining";
  }
  if (configuration_.current() == nullptr) {
    return "no configuration learned yet";
  }
  if (!configuration_.ready()) {
    return "cut off from peers and store";
  }
  if (!membership_.caught_up()) {
    return "not yet told which workers are leaving";
  }
  return std::nullopt;
}

void Node::begin_drain(std::function<void()> done) {
  if (draining_) {
    return;
  }
  draining_ = true;
  on_drained_ = std::move(done);
  dependencies_.logger.write(
      LogLevel::kInfo, "drain_began",
      {{"requests_in_progress", std::to_string(gateway_.requests_in_progress())}});
  batch_.drain(lifetime_.guard([this] { batch_drained_ = true; }));
  drain_timer_->enable(drain_poll_interval_);
}

void Node::check_drained() {
  if (!batch_drained_ || *open_requests_ > 0 || gateway_.requests_in_progress() > 0) {
    drain_timer_->enable(drain_poll_interval_);
    return;
  }
  membership_.leave(lifetime_.guard([this] {
    dependencies_.logger.write(LogLevel::kInfo, "drain_ended", {});
    const std::function<void()> done = std::move(on_drained_);
    done();
  }));
}

}  // namespace chalkshed
