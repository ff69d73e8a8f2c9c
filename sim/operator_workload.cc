#include "sim/operator_workload.h"

#include "sim/workload_requests.h"

namespace chalkshed {

namespace {

constexpr int kOk = 200;
constexpr Duration kRetryDelay = std::chrono::milliseconds(500);
constexpr Duration kCallTimeout = std::chrono::seconds(8);

// Uses a stream because GCC 12 reports false buffer overruns for chains of operator+.
std::string tenant_section(const std::string& name, const std::string& key) {
  std::ostringstream text;
  text << "[tenants." << name << "]\napi_key = \"" << key << "\"\n";
  return text.str();
}

std::string initial_configuration() {
  std::ostringstream text;
  text << "version = 0\n[services." << kModelService << "]\nkind = \"model\"\nmodels = [\""
       << kModelName << "\"]\nmax_sequences_per_worker = 8\n[services." << kPlainService
       << "]\nkind = \"plain\"\n"
       << tenant_section("callers", kCallerApiKey) << tenant_section("change-first", "key-first");
  return text.str();
}

}  // namespace

OperatorWorkload::OperatorWorkload(SimulatedCluster& cluster, uint64_t seed,
                                   const OperatorWorkloadKnobs& knobs)
    : cluster_(cluster),
      random_(seed),
      knobs_(knobs),
      timer_(cluster.caller().dispatcher().create_timer([this] {
        apply_concurrent_changes();
        arm();
      })) {}

void OperatorWorkload::start() { arm(); }

void OperatorWorkload::arm() {
  const auto bound = static_cast<uint64_t>(2 * knobs_.mean_interval.count());
  timer_->enable(Duration(static_cast<int64_t>(random_.below(bound))));
}

std::string OperatorWorkload::random_node() {
  return cluster_.nodes()[random_.below(cluster_.nodes().size())];
}

void OperatorWorkload::send(const std::string& node, HttpRequest http, SimulatedCaller::Done done) {
  ++operations_;
  CallerRequest call;
  call.began.kind = CallKind::kConfigure;
  call.began.request = "operator-" + std::to_string(next_request_++);
  call.began.node = node;
  call.http = as_operator(std::move(http));
  call.timeout = kCallTimeout;
  cluster_.caller().send(std::move(call), std::move(done));
}

void OperatorWorkload::apply(const std::string& node, const std::string& text,
                             const std::string& change,
                             std::function<void(const CallerAnswer&)> done) {
  send(node, post_request("/admin/configuration", "", text),
       [this, change, done = std::move(done)](const CallerAnswer& answer) {
         const bool complete = answer.ended.outcome == CallOutcome::kComplete;
         if (complete && answer.status == kOk) {
           cluster_.recorder().record(
               ConfigurationAccepted{json_number(answer.body, "version"), change});
         }
         done(answer);
       });
}

void OperatorWorkload::apply_initial_configuration(std::function<void()> done) {
  apply(cluster_.nodes().front(), initial_configuration(), "change-first",
        [this, done = std::move(done)](const CallerAnswer& answer) {
          if (answer.status == kOk) {
            done();
          } else {
            cluster_.clock().schedule(kRetryDelay,
                                      [this, done] { apply_initial_configuration(done); });
          }
        });
}

void OperatorWorkload::apply_concurrent_changes() {
  for (uint32_t index = 0; index < knobs_.concurrent_operators; ++index) {
    change(random_node());
  }
}

// Reads the current configuration text, appends a section and applies it with the version that was
// read.
void OperatorWorkload::change(const std::string& node) {
  send(node, get_request("/admin/configuration", "format=toml&secrets=1"),
       [this, node](const CallerAnswer& answer) {
         if (answer.status != kOk || answer.ended.outcome != CallOutcome::kComplete) {
           return;
         }
         const std::string name = "change-" + std::to_string(next_change_++);
         const std::string text = answer.body + "\n" + tenant_section(name, "key-" + name);
         apply(node, text, name, [](const CallerAnswer&) {});
       });
}

void OperatorWorkload::drain(const std::string& node, const std::string& backend) {
  set_draining(node, backend, true);
}

void OperatorWorkload::restore(const std::string& node, const std::string& backend) {
  set_draining(node, backend, false);
}

void OperatorWorkload::set_draining(const std::string& node, const std::string& backend,
                                    bool draining) {
  if (!draining) {
    // Nodes may send new work from the moment the request is sent.
    cluster_.recorder().record(LeavingChanged{backend, false, node});
  }
  const std::string path = "/admin/workers/" + backend + (draining ? "/drain" : "/restore");
  send(node, post_request(path, "", ""),
       [this, node, backend, draining](const CallerAnswer& answer) {
         const bool complete =
             answer.ended.outcome == CallOutcome::kComplete && answer.status == kOk;
         // The response contains the incarnation of the back end that was drained. A node that has
         // not learned of the latest restart yet drains the previous incarnation; such a drain does
         // not count.
         const bool present =
             json_number(answer.body, "incarnation") == cluster_.incarnation(backend);
         if (complete && draining && present && cluster_.running(backend)) {
           cluster_.recorder().record(LeavingChanged{backend, true, node});
         }
       });
}

}  // namespace chalkshed
