#include "src/routing/router_impl.h"

#include <algorithm>

#include "src/routing/admission.h"
#include "src/routing/outlier_detector.h"

namespace chalkshed {
namespace {

constexpr double kProfileSmoothing = 0.05;
constexpr Duration kNoWorkerRetryAfter = std::chrono::seconds(1);

void update_mean(double& mean, double sample) {
  mean = mean == 0 ? sample : mean + kProfileSmoothing * (sample - mean);
}

}  // namespace

// An online request assigned to a worker.
class RouterImpl::Routed : public RoutedRequest {
 public:
  Routed(RouterImpl& router, WorkerHandle worker, const RouteRequest& request, Duration expected)
      : router_(router),
        handle_(std::move(worker)),
        ticket_(router.next_ticket_++),
        prompt_tokens_(request.prompt_tokens),
        max_tokens_(request.max_tokens),
        expected_(expected),
        started_at_(router.now()) {
    handle_->load.request_started(EnginePriority::kOnline, prompt_tokens_);
    handle_->health.request_started(ticket_, started_at_);
    router_.windows_.online_arrived(*handle_);
    router_.windows_.update(*handle_);
  }
  Routed(const Routed&) = delete;
  Routed& operator=(const Routed&) = delete;
  ~Routed() override {
    handle_->load.request_ended(EnginePriority::kOnline, prompt_tokens_, !first_token_at_);
    handle_->health.request_ended(ticket_);
    router_.windows_.update(*handle_);
  }

  const WorkerId& worker() const override { return handle_->id; }
  const Address& address() const override { return handle_->address; }
  void report_load(const EngineLoad& load) override {
    router_.directory_.observe_report(*handle_, load);
    router_.windows_.update(*handle_);
  }
  void report_first_token() override {
    if (first_token_at_) {
      return;
    }
    first_token_at_ = router_.now();
    handle_->load.first_token_seen(EnginePriority::kOnline, prompt_tokens_);
    handle_->health.first_token_seen(ticket_, *first_token_at_ - started_at_, expected_);
    router_.eject_if_unhealthy_now(*handle_);
  }
  void report_success() override {
    handle_->health.success(router_.now(), router_.knobs_.health);
    router_.record_success(handle_->service, router_.now() - started_at_,
                           router_.now() - first_token_at_.value_or(started_at_), max_tokens_);
  }
  void report_failure(const Error& error) override {
    if (error.kind == ErrorKind::kCancelled || error.kind == ErrorKind::kUnknownModel) {
      return;  // not a fault of the worker
    }
    if (error.kind == ErrorKind::kDraining) {
      router_.windows_.poll(handle_);  // the load report shows whether the worker is leaving
    }
    handle_->health.failure();
    router_.eject_if_unhealthy_now(*handle_);
  }

 private:
  RouterImpl& router_;
  WorkerHandle handle_;
  uint64_t ticket_;
  uint32_t prompt_tokens_;
  uint32_t max_tokens_;
  Duration expected_;
  MonotonicTime started_at_;
  std::optional<MonotonicTime> first_token_at_;
};

RouterImpl::RouterImpl(const NodeIdentity& identity, NodeDependencies& dependencies,
                       ConfigurationSource& configuration, MembershipView& membership,
                       Gossip& gossip, PolicyEvaluator& policy, RoutingKnobs knobs)
    : dependencies_(dependencies),
      configuration_(configuration),
      gossip_(gossip),
      knobs_(knobs),
      directory_(identity, dependencies, gossip, knobs_),
      chooser_({identity.zone, identity.region}, knobs_, dependencies.random),
      windows_(identity, dependencies, configuration, membership, policy, directory_, knobs_),
      refused_(dependencies.metrics.counter(
          "chalkshed_routing_refused_total",
          "Online requests refused because they could not finish in time", {})),
      ejected_(dependencies.metrics.counter("chalkshed_routing_ejections_total",
                                            "Workers ejected as failing or slow", {})) {}

RouterImpl::~RouterImpl() = default;

void RouterImpl::start() {
  directory_.start();
  windows_.start();
}

Expected<RoutedRequestPtr> RouterImpl::route(const RouteRequest& request) {
  const ConfigurationPtr configuration = configuration_.current();
  if (configuration == nullptr) {
    return tl::unexpected(not_run(ErrorKind::kUnavailable, "the node has no configuration yet",
                                  "use another node, or retry shortly"));
  }
  if (!gossip_.caught_up()) {
    Error error =
        not_run(ErrorKind::kUnavailable, "the node has not yet learned which workers are leaving",
                "use another node, or retry after the delay in retry_after");
    error.retry_after = kNoWorkerRetryAfter;
    return tl::unexpected(std::move(error));
  }
  const auto service = configuration->services.find(request.service);
  if (service == configuration->services.end()) {
    return tl::unexpected(not_run(ErrorKind::kUnknownService,
                                  "there is no service " + request.service,
                                  "use a service of the current configuration"));
  }
  ServiceProfile& profile = state_of(request.service).profile;
  profile.max_sequences = service->second.max_sequences_per_worker;
  profile.typical = directory_.typical_load(request.service);
  const MonotonicTime time = now();
  WorkerHandle worker =
      chooser_.choose(directory_.workers(request.service), request, profile, time);
  if (worker == nullptr) {
    return tl::unexpected(no_worker(request.service));
  }
  const Duration first_token = worker->load.predicted_first_token(
      time, request.prompt_tokens, knobs_.choice.zone_round_trip, profile, knobs_.estimate);
  if (service->second.kind == ServiceKind::kModel) {
    const double jitter = dependencies_.random.unit();
    if (auto error = refuse_if_late(request, first_token, profile, jitter, knobs_.admission)) {
      refused_.add(1);
      return tl::unexpected(std::move(*error));
    }
  }
  return std::make_unique<Routed>(*this, std::move(worker), request, first_token);
}

bool RouterImpl::take_retry(const std::string& service) {
  return state_of(service).retries.take(now());
}

BatchSlotPtr RouterImpl::try_acquire(const std::string& service, uint32_t prompt_tokens) {
  return gossip_.caught_up() ? windows_.try_acquire(service, prompt_tokens) : nullptr;
}

uint32_t RouterImpl::available(const std::string& service) const {
  return gossip_.caught_up() ? windows_.available(service) : 0;
}

void RouterImpl::subscribe(std::function<void()> callback) {
  windows_.subscribe(std::move(callback));
}

RouterImpl::ServiceState& RouterImpl::state_of(const std::string& service) {
  const auto found = services_.find(service);
  if (found != services_.end()) {
    return found->second;
  }
  const ServiceState state{RetryBudget(knobs_.admission, now()), ServiceProfile{}};
  return services_.emplace(service, state).first->second;
}

Error RouterImpl::no_worker(const std::string& service) const {
  Error error = not_run(ErrorKind::kUnavailable, "no worker of service " + service + " is usable",
                        "retry after the delay in retry_after; operators: see /admin/workers");
  error.retry_after = kNoWorkerRetryAfter;
  return error;
}

void RouterImpl::record_success(const std::string& service, Duration whole,
                                Duration after_first_token, uint32_t max_tokens) {
  ServiceState& state = state_of(service);
  const ConfigurationPtr configuration = configuration_.current();
  if (configuration != nullptr && configuration->services.contains(service)) {
    state.retries.success(configuration->services.at(service).retry_budget_fraction);
  }
  double mean = static_cast<double>(state.profile.mean_duration.count());
  update_mean(mean, static_cast<double>(whole.count()));
  state.profile.mean_duration = Duration(static_cast<Duration::rep>(mean));
  if (max_tokens > 0) {
    const double seconds = std::chrono::duration<double>(after_first_token).count();
    update_mean(state.profile.seconds_per_max_token, seconds / max_tokens);
  }
}

void RouterImpl::eject_if_unhealthy_now(Worker& worker) {
  if (eject_if_unhealthy(worker, directory_.workers(worker.service), now(), knobs_.health)) {
    ejected_.add(1);
    dependencies_.logger.write(LogLevel::kWarning, "worker_ejected",
                               {{"worker", worker.id}, {"service", worker.service}});
  }
}

}  // namespace chalkshed
