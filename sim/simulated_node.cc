#include "sim/simulated_node.h"

#include <utility>

#include "sim/operator_workload.h"
#include "sim/workload_requests.h"
#include "src/node/node.h"

namespace chalkshed {

namespace {

// Response writer that reports when a complete successful response was written.
class AcknowledgementWriter : public ResponseWriter {
 public:
  AcknowledgementWriter(ResponseWriterPtr inner, std::function<void()> on_acknowledgement)
      : inner_(std::move(inner)), on_acknowledgement_(std::move(on_acknowledgement)) {}
  void start(int status, const HttpHeaders& headers) override { inner_->start(status, headers); }
  void write(std::string_view chunk) override { inner_->write(chunk); }
  void finish() override { inner_->finish(); }
  void respond(const HttpResponse& response) override {
    inner_->respond(response);
    constexpr int kFirstNonSuccessStatus = 300;
    if (response.status < kFirstNonSuccessStatus) {
      on_acknowledgement_();
    }
  }
  void abort() override { inner_->abort(); }
  size_t buffered_bytes() const override { return inner_->buffered_bytes(); }
  void set_on_closed(std::function<void()> callback) override {
    inner_->set_on_closed(std::move(callback));
  }

 private:
  ResponseWriterPtr inner_;
  std::function<void()> on_acknowledgement_;
};

}  // namespace

SimulatedNode::SimulatedNode(const SimulatedNodeContext& context, uint64_t incarnation,
                             const SimulatedNodeKnobs& knobs)
    : context_(context),
      drain_before_exit_(knobs.drain_before_exit),
      table_store_(context.platform, *context.host.dispatcher),
      object_store_(context.platform, *context.host.dispatcher),
      machine_list_(context.platform, *context.host.dispatcher),
      engine_client_(context.network, context.host, context.recorder),
      http_client_(context.network, context.host),
      datagrams_(context.network, context.host),
      peer_client_(http_client_),
      dependencies_{context.network.clock(),
                    *context.host.dispatcher,
                    context.random,
                    table_store_,
                    object_store_,
                    machine_list_,
                    engine_client_,
                    http_client_,
                    datagrams_,
                    peer_client_,
                    peer_server_,
                    logger_,
                    metrics_} {
  NodeIdentity identity;
  identity.id = context.host.name;
  identity.http_address = context.host.http_address;
  identity.peer_address = context.host.peer_address;
  identity.zone = context.host.zone;
  identity.region = "region-0";
  identity.incarnation = incarnation;
  NodeKnobs roles = knobs.roles;
  roles.admin_key = kOperatorKey;
  node_ = std::make_unique<Node>(identity, dependencies_, roles);
  node_->configuration().subscribe([this](const ConfigurationPtr&) { record_configuration(); });
  node_->start();
  context_.host.handler = this;
  context_.host.listening = true;
}

SimulatedNode::~SimulatedNode() = default;

bool SimulatedNode::serves() const {
  const ConfigurationPtr configuration = node_->configuration().current();
  return configuration != nullptr && configuration->version > 0;
}

void SimulatedNode::record_configuration() {
  const ConfigurationPtr configuration = node_->configuration().current();
  ConfigurationInForce in_force{context_.host.name, configuration->version, {}};
  for (const auto& [name, tenant] : configuration->tenants) {
    if (is_change(name)) {
      in_force.changes.push_back(name);
    }
  }
  context_.recorder.record(std::move(in_force));
}

void SimulatedNode::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.path.starts_with(kPeerPathPrefix)) {
    peer_server_.handle(std::move(request), std::move(writer));
    return;
  }
  if (const auto call = find_header(request.headers, "X-Request-Id")) {
    context_.recorder.record(CallArrived{std::string(*call)});
  }
  if (request.method == "POST" && request.path == "/v1/batches") {
    writer =
        std::make_unique<AcknowledgementWriter>(std::move(writer), context_.on_acknowledgement);
  }
  node_->handle(std::move(request), std::move(writer));
}

void SimulatedNode::stop(std::function<void()> exited) {
  if (!drain_before_exit_) {
    exited();
    return;
  }
  // Posted to the process's own event loop: a frozen process handles the stop after it thaws.
  context_.host.dispatcher->post([this, exited = std::move(exited)] {
    context_.host.listening = false;
    node_->begin_drain(exited);
  });
}

void SimulatedNode::set_platform_reachable(bool reachable) {
  table_store_.set_reachable(reachable);
  object_store_.set_reachable(reachable);
  machine_list_.set_reachable(reachable);
}

}  // namespace chalkshed
