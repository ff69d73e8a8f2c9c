#include "bench/cluster_run.h"

#include <sstream>
#include <stdexcept>

#include "sim/simulated_cluster.h"
#include "sim/workload_requests.h"

namespace chalkshed::bench {
namespace {

constexpr int kStatusOk = 200;
constexpr Duration kBootLimit = std::chrono::seconds(30);
constexpr Duration kBootPoll = std::chrono::milliseconds(200);
// Time for the nodes to discover one another and the workers before the trace begins.
constexpr Duration kWarmUp = std::chrono::seconds(4);
// Time for online requests in flight at the end of the trace; batch items that finish in it are not
// counted.
constexpr Duration kDrain = std::chrono::seconds(10);

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

// Records the latencies of one streamed response.
class OnlineWriter : public ResponseWriter {
 public:
  OnlineWriter(RunRecord& record, const VirtualClock& clock, const OnlineRequest& request,
               MonotonicTime sent_at)
      : record_(record), clock_(clock), request_(request), sent_at_(sent_at) {}

  void start(int /*status*/, const HttpHeaders& /*headers*/) override {}
  void write(std::string_view chunk) override {
    // Each token is one event; the last events carry the finish reason and the end-of-stream
    // marker.
    if (chunk.find("\"finish_reason\":null") == std::string_view::npos) {
      return;
    }
    const MonotonicTime now = clock_.monotonic_now();
    if (last_token_at_) {
      record_.inter_token_ms.push_back(milliseconds(now - *last_token_at_));
    } else {
      const double latency = milliseconds(now - sent_at_ + record_.client_latency);
      record_.first_token_ms.push_back(latency);
      if (!request_.in_burst) {
        record_.steady_first_token_ms.push_back(latency);
      }
    }
    last_token_at_ = now;
  }
  void finish() override { ++record_.online_completed; }
  void respond(const HttpResponse& /*response*/) override { ++record_.online_refused; }
  void abort() override { ++record_.online_failed; }
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()> /*callback*/) override {}

 private:
  RunRecord& record_;
  const VirtualClock& clock_;
  const OnlineRequest& request_;
  MonotonicTime sent_at_;
  std::optional<MonotonicTime> last_token_at_;
};

// Collects one complete response.
class ResponseCollector : public ResponseWriter {
 public:
  explicit ResponseCollector(std::function<void(const HttpResponse&)> done)
      : done_(std::move(done)) {}
  void start(int status, const HttpHeaders& /*headers*/) override { response_.status = status; }
  void write(std::string_view chunk) override { response_.body += chunk; }
  void finish() override { done_(response_); }
  void respond(const HttpResponse& response) override { done_(response); }
  void abort() override {}
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()> /*callback*/) override {}

 private:
  std::function<void(const HttpResponse&)> done_;
  HttpResponse response_;
};

ClusterKnobs cluster_knobs(const Deployment& deployment, const RunSettings& settings) {
  ClusterKnobs knobs;
  knobs.zones = static_cast<uint32_t>(deployment.zones.size());
  knobs.nodes = deployment.nodes;
  knobs.workers = deployment.workers;
  knobs.backends = 1;
  knobs.engine = settings.engine;
  knobs.network.within_zone = deployment.local_latency;
  knobs.network.between_zones = deployment.zone_latency;
  knobs.network.outside = deployment.client_latency;
  knobs.node.roles.routing = settings.routing;
  return knobs;
}

std::string configuration_text(const Deployment& deployment, const RunSettings& settings) {
  std::ostringstream text;
  text << "version = 0\n[services." << kModelService << "]\nkind = \"model\"\nmodels = [\""
       << chalkshed::kModelName << "\"]\npolicy = \"fill\"\nmax_sequences_per_worker = "
       << settings.engine.max_running_sequences
       << "\nbatch_enabled = " << (settings.batch ? "true" : "false")
       << "\n[tenants.callers]\napi_key = \"" << kCallerApiKey
       << "\"\n[policies.fill]\nsource = '''\nfunction decide(request)\n"
       << "  return { batch_fill = " << deployment.batch_fill << " }\nend\n'''\n";
  return text.str();
}

class ClusterRun {
 public:
  ClusterRun(const Deployment& deployment, const Trace& trace, const RunSettings& settings)
      : deployment_(deployment),
        trace_(trace),
        settings_(settings),
        cluster_(settings.seed, cluster_knobs(deployment, settings)) {
    record_.client_latency = deployment.client_latency;
  }

  RunRecord run() {
    apply_configuration();
    cluster_.run_for(kWarmUp);
    schedule_trace();
    cluster_.run_for(trace_.length);
    for (const std::string& worker : cluster_.workers()) {
      add_counters(record_, cluster_.engine(worker)->model().counters());
    }
    record_.batch_completed = record_.engines.finished_batch_sequences;
    record_.batch_completed_tokens = record_.engines.finished_batch_tokens;
    cluster_.run_for(kDrain);
    return std::move(record_);
  }

 private:
  void send(const std::string& node, HttpRequest request, ResponseWriterPtr writer) {
    cluster_.node(node)->handle(std::move(request), std::move(writer));
  }

  void apply_configuration() {
    for (Duration waited{0}; waited < kBootLimit && !all_serve(); waited += kBootPoll) {
      const std::string text = configuration_text(deployment_, settings_);
      send(cluster_.nodes().front(), as_operator(post_request("/admin/configuration", "", text)),
           std::make_unique<ResponseCollector>(
               [this](const HttpResponse& response) { last_response_ = response.body; }));
      cluster_.run_for(kBootPoll);
    }
    if (!all_serve()) {
      throw std::runtime_error("the nodes did not apply the configuration: " + last_response_);
    }
  }

  bool all_serve() {
    return std::ranges::all_of(cluster_.nodes(), [this](const std::string& name) {
      return cluster_.node(name)->serves();
    });
  }

  void schedule_trace() {
    VirtualClock& clock = cluster_.clock();
    for (const OnlineRequest& request : trace_.online) {
      clock.schedule(request.send_at + deployment_.client_latency,
                     [this, &request] { send_online(request); });
    }
    if (!settings_.batch) {
      return;
    }
    for (size_t number = 0; number < trace_.batch_submissions.size(); ++number) {
      clock.schedule(trace_.batch_submissions[number].send_at,
                     [this, number] { submit_batch(number); });
    }
  }

  void send_online(const OnlineRequest& request) {
    const MonotonicTime sent_at = cluster_.clock().monotonic_now() - deployment_.client_latency;
    const HttpRequest http =
        completion_request(chalkshed::kModelName, request.prompt, request.max_tokens, true);
    send(cluster_.nodes()[request.node], http,
         std::make_unique<OnlineWriter>(record_, cluster_.clock(), request, sent_at));
  }

  void submit_batch(size_t number) {
    std::vector<BatchItemRequest> items;
    for (const std::string& prompt : trace_.batch_submissions[number].prompts) {
      items.push_back({"item-" + std::to_string(items.size()), prompt, kBatchMaxTokens});
    }
    const std::string& node = cluster_.nodes()[number % cluster_.nodes().size()];
    send(node, submit_job_request("heap-" + std::to_string(number), items),
         std::make_unique<ResponseCollector>([this](const HttpResponse& response) {
           record_.batch_failed += response.status == kStatusOk ? 0 : 1;
         }));
  }

  static constexpr uint32_t kBatchMaxTokens = 256;

  const Deployment& deployment_;
  const Trace& trace_;
  const RunSettings& settings_;
  RunRecord record_;
  std::string last_response_;
  SimulatedCluster cluster_;
};

}  // namespace

RunRecord run_on_cluster(const Deployment& deployment, const Trace& trace,
                         const RunSettings& settings) {
  return ClusterRun(deployment, trace, settings).run();
}

}  // namespace chalkshed::bench
