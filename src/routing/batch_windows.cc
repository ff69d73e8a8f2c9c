#include "src/routing/batch_windows.h"

#include <algorithm>
#include <cmath>

#include "src/membership/rendezvous.h"
#include "src/routing/outlier_detector.h"

namespace chalkshed {

// One batch sequence on a worker.
class BatchWindows::Slot : public BatchSlot {
 public:
  Slot(BatchWindows& windows, WorkerHandle worker, uint32_t prompt_tokens)
      : windows_(windows), handle_(std::move(worker)), prompt_tokens_(prompt_tokens) {
    handle_->load.request_started(EnginePriority::kBatch, prompt_tokens_);
    windows_.slots_[handle_->id].push_back(this);
  }
  Slot(const Slot&) = delete;
  Slot& operator=(const Slot&) = delete;
  ~Slot() override {
    handle_->load.request_ended(EnginePriority::kBatch, prompt_tokens_, awaits_first_token_);
    windows_.released(*this);
  }

  const WorkerId& worker() const override { return handle_->id; }
  const Address& address() const override { return handle_->address; }
  void report_load(const EngineLoad& load) override {
    used_ = true;
    windows_.directory_.observe_report(*handle_, load);
    windows_.update(*handle_);
  }
  void report_first_token() override {
    if (awaits_first_token_) {
      awaits_first_token_ = false;
      handle_->load.first_token_seen(EnginePriority::kBatch, prompt_tokens_);
      windows_.schedule_notification();
    }
  }
  void report_success() override {
    handle_->health.success(windows_.dependencies_.time_source.monotonic_now(),
                            windows_.knobs_.health);
  }
  void report_failure(const Error& error) override {
    used_ = true;
    if (error.kind == ErrorKind::kCancelled) {
      return;
    }
    if (error.kind == ErrorKind::kDraining) {
      windows_.poll(handle_);  // the load report shows whether the worker is leaving
    }
    handle_->health.failure();
    const auto& workers = windows_.directory_.workers(handle_->service);
    eject_if_unhealthy(*handle_, workers, windows_.dependencies_.time_source.monotonic_now(),
                       windows_.knobs_.health);
  }
  void set_on_revoked(std::function<void()> callback) override {
    on_revoked_ = std::move(callback);
  }

  // @return whether it was not marked before and has a callback.
  bool mark_revoked() { return !std::exchange(revoked_, true) && on_revoked_ != nullptr; }
  bool revocation_due() const { return revoked_ && on_revoked_ != nullptr; }
  std::function<void()> take_on_revoked() { return std::exchange(on_revoked_, nullptr); }
  const WorkerHandle& handle() const { return handle_; }
  // Whether the worker reported load or a failure through this slot, or the slot was revoked.
  bool used() const { return used_ || revoked_; }

 private:
  BatchWindows& windows_;
  WorkerHandle handle_;
  uint32_t prompt_tokens_;
  bool awaits_first_token_ = true;
  bool revoked_ = false;
  bool used_ = false;
  std::function<void()> on_revoked_;
};

BatchWindows::BatchWindows(const NodeIdentity& identity, NodeDependencies& dependencies,
                           ConfigurationSource& configuration, MembershipView& membership,
                           PolicyEvaluator& policy, WorkerDirectory& directory,
                           const RoutingKnobs& knobs)
    : identity_(identity),
      dependencies_(dependencies),
      configuration_(configuration),
      membership_(membership),
      policy_(policy),
      directory_(directory),
      knobs_(knobs) {}

BatchWindows::~BatchWindows() = default;

void BatchWindows::start() {
  membership_.subscribe(lifetime_.guard([this] { recompute_holders(); }));
  directory_.subscribe(lifetime_.guard([this] { recompute_holders(); }));
  configuration_.subscribe(
      lifetime_.guard([this](const ConfigurationPtr&) { refresh_policies(); }));
  timer_ = dependencies_.dispatcher.create_timer([this] { tick(); });
  tick();
}

void BatchWindows::subscribe(std::function<void()> callback) {
  subscribers_.push_back(std::move(callback));
}

void BatchWindows::tick() {
  refresh_policies();
  poll_idle_workers();
  schedule_notification();
  timer_->enable(knobs_.window.load_poll);
}

void BatchWindows::refresh_policies() {
  const ConfigurationPtr configuration = configuration_.current();
  if (configuration == nullptr) {
    return;
  }
  for (const auto& [name, service] : configuration->services) {
    if (service.kind != ServiceKind::kModel) {
      continue;
    }
    RequestAttributes attributes;
    attributes.service = name;
    attributes.batch = true;
    batch_fill_[name] = policy_.evaluate(attributes).batch_fill;
  }
  recompute_holders();
}

void BatchWindows::recompute_holders() {
  // A node that does not know the other members yet would hold all workers.
  const RendezvousIndex owners(membership_.caught_up() ? membership_.members()
                                                       : std::vector<Member>());
  for (auto& [name, service] : held_) {
    service.workers.clear();
  }
  for (const auto& [id, worker] : directory_.all()) {
    worker->window.held = worker->role == MachineRole::kWorker && holds(*worker, owners);
    if (worker->window.held) {
      held_[worker->service].workers.push_back(worker);
    }
  }
  for (auto& [name, service] : held_) {
    plan(name, service);
  }
  schedule_notification();
}

double BatchWindows::fill_of(const std::string& service) const {
  constexpr double kDefaultFill = 0.5;
  const auto fill = batch_fill_.find(service);
  return fill == batch_fill_.end() ? kDefaultFill : fill->second;
}

void BatchWindows::plan(const std::string& name, HeldService& service) {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  std::vector<PlannedWorker> workers;
  service.online_sequences = 0;
  for (const WorkerHandle& worker : service.workers) {
    PlannedWorker planned;
    planned.online_sequences = worker->load.online_sequences(now, knobs_.estimate);
    planned.usable = worker->usable();
    planned.light = worker->window.light;
    service.online_sequences += planned.online_sequences;
    workers.push_back(planned);
  }
  PlanConditions conditions;
  conditions.batch_fill = fill_of(name);
  conditions.arrivals_per_second = service.arrivals.per_second(now, knobs_.window);
  conditions.burst = service.arrivals.in_burst(now);
  conditions.may_shrink = now >= service.busy_until;
  if (service.online_sequences >= 0.5) {
    service.online_seen_at = now;
  }
  conditions.idle =
      !service.online_seen_at || now - *service.online_seen_at > knobs_.window.light_kept_for;
  const auto light_before = std::count_if(workers.begin(), workers.end(),
                                          [](const PlannedWorker& worker) { return worker.light; });
  plan_light_workers(workers, conditions, knobs_.window);
  const auto light_now = std::count_if(workers.begin(), workers.end(),
                                       [](const PlannedWorker& worker) { return worker.light; });
  const double needed_load =
      service.online_sequences / online_per_light_worker(conditions.batch_fill, knobs_.window);
  if (light_now != light_before || needed_load > static_cast<double>(light_now) - 1.0) {
    service.busy_until = now + knobs_.window.hold;
  }
  for (size_t index = 0; index < workers.size(); ++index) {
    service.workers[index]->window.light = workers[index].light;
    apply(*service.workers[index]);
  }
}

bool BatchWindows::in_burst(const std::string& service) const {
  const auto held = held_.find(service);
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  return held != held_.end() && held->second.arrivals.in_burst(now);
}

void BatchWindows::online_arrived(Worker& worker) {
  const auto held = held_.find(worker.service);
  if (held == held_.end()) {
    return;
  }
  held->second.arrivals.arrived(dependencies_.time_source.monotonic_now(), knobs_.window);
  plan(worker.service, held->second);
}

void BatchWindows::plan_if_changed(const Worker& worker) {
  const auto held = held_.find(worker.service);
  if (held == held_.end()) {
    return;
  }
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  double online = 0;
  for (const WorkerHandle& other : held->second.workers) {
    online += other->load.online_sequences(now, knobs_.estimate);
  }
  if (std::abs(online - held->second.online_sequences) >= 1.0) {
    plan(worker.service, held->second);
  }
}

bool BatchWindows::holds(const Worker& worker, const RendezvousIndex& owners) const {
  // Near the worker: loads arrive sooner, and online work of its zone mostly passes this node.
  const RendezvousScope scope{worker.region, worker.zone};
  const NodeId* owner = owners.owner(worker.id, scope);
  return owner != nullptr && *owner == identity_.id;
}

void BatchWindows::poll_idle_workers() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  const bool wanted = now - last_demand_at_ <= knobs_.window.idle_after;
  const Duration interval = wanted ? knobs_.window.load_poll : knobs_.window.idle_load_poll;
  uint32_t polls = 0;
  for (const auto& [name, service] : held_) {
    for (const WorkerHandle& worker : service.workers) {
      if (worker->load.age(now) >= interval && ++polls <= knobs_.window.polls_at_once) {
        poll(worker);
      }
    }
  }
}

void BatchWindows::poll(const WorkerHandle& worker) {
  dependencies_.engine_client.fetch_load(
      worker->address, lifetime_.guard([this, worker](const Expected<EngineLoad>& load) {
        if (load) {
          directory_.observe_report(*worker, *load, knobs_.window.polled_load_lag);
          update(*worker);
        }
      }));
}

void BatchWindows::update(Worker& worker) {
  if (worker.window.held) {
    plan_if_changed(worker);
    apply(worker);
  }
}

void BatchWindows::apply(Worker& worker) {
  refresh_limits(worker);
  if (free_sequences(worker) > 0) {
    schedule_notification();
  }
  revoke_excess(worker);
}

void BatchWindows::refresh_limits(Worker& worker) {
  const ConfigurationPtr configuration = configuration_.current();
  if (configuration == nullptr) {
    return;
  }
  const auto service = configuration->services.find(worker.service);
  if (service == configuration->services.end() || !service->second.batch_enabled) {
    worker.window.limits = WindowLimits{};
    return;
  }
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  WindowConditions conditions;
  conditions.online_sequences = worker.load.online_sequences(now, knobs_.estimate);
  conditions.max_sequences = service->second.max_sequences_per_worker;
  conditions.load_known = worker.load.age(now) <= knobs_.window.load_fresh_for;
  conditions.batch_fill = fill_of(worker.service);
  conditions.light = worker.window.light;
  conditions.burst = in_burst(worker.service);
  worker.window.limits = window_limits(conditions, knobs_.window, knobs_.safeguards);
}

bool BatchWindows::may_start(const Worker& worker) const {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  return worker.window.held && worker.usable() && !worker.health.ejected(now);
}

uint32_t BatchWindows::free_sequences(const Worker& worker) const {
  const uint32_t taken = worker.load.own_batch();
  const uint32_t limit = worker.window.limits.sequences;
  return may_start(worker) && limit > taken ? limit - taken : 0;
}

BatchSlotPtr BatchWindows::try_acquire(const std::string& service, uint32_t prompt_tokens) {
  last_demand_at_ = dependencies_.time_source.monotonic_now();
  const auto held = held_.find(service);
  if (held == held_.end()) {
    return nullptr;
  }
  WorkerHandle best;
  uint32_t best_free = 0;
  for (const WorkerHandle& worker : held->second.workers) {
    refresh_limits(*worker);
    const double share = worker->load.prefill_share();
    const double pending = share * worker->load.own_pending_batch_prompt_tokens();
    const bool prompt_fits =
        pending == 0 || pending + share * prompt_tokens <= worker->window.limits.prompt_tokens;
    const uint32_t worker_free = free_sequences(*worker);
    if (prompt_fits && worker_free > best_free) {
      best = worker;
      best_free = worker_free;
    }
  }
  return best == nullptr ? nullptr : std::make_unique<Slot>(*this, best, prompt_tokens);
}

uint32_t BatchWindows::available(const std::string& service) const {
  last_demand_at_ = dependencies_.time_source.monotonic_now();
  const auto held = held_.find(service);
  uint32_t total = 0;
  if (held != held_.end()) {
    for (const WorkerHandle& worker : held->second.workers) {
      total += free_sequences(*worker);
    }
  }
  return total;
}

void BatchWindows::revoke_excess(const Worker& worker) {
  const bool yielding =
      knobs_.safeguards.batch_yields && knobs_.window.policy == BatchPolicy::kYielding;
  if (!yielding || !knobs_.window.revoke || !worker.window.light) {
    return;
  }
  const auto found = slots_.find(worker.id);
  if (found == slots_.end()) {
    return;
  }
  // The most recent sequences have made the least progress and cost the least to cancel.
  const size_t slack = in_burst(worker.service) ? 0 : knobs_.window.revoke_slack;
  const size_t allowed = worker.window.limits.sequences + slack;
  const size_t kept = std::max<size_t>(allowed, knobs_.window.never_revoked);
  bool any = false;
  for (size_t index = found->second.size(); index > kept; --index) {
    any = found->second[index - 1]->mark_revoked() || any;
  }
  if (any) {
    // Posted, because the caller may be a slot that its owner destroys in the callback.
    dependencies_.dispatcher.post(lifetime_.guard([this, id = worker.id] { call_revoked(id); }));
  }
}

void BatchWindows::call_revoked(const WorkerId& id) {
  while (true) {
    // Searched again in each iteration, because a callback may destroy any slot.
    const std::vector<Slot*>& slots = slots_[id];
    const auto next = std::find_if(slots.begin(), slots.end(),
                                   [](const Slot* slot) { return slot->revocation_due(); });
    if (next == slots.end()) {
      return;
    }
    (*next)->take_on_revoked()();
  }
}

void BatchWindows::released(Slot& slot) {
  std::vector<Slot*>& slots = slots_[slot.handle()->id];
  slots.erase(std::remove(slots.begin(), slots.end(), &slot), slots.end());
  // Releasing an unused slot adds no capacity; a notification would make its owner acquire again.
  if (slot.used()) {
    update(*slot.handle());
  }
}

void BatchWindows::schedule_notification() {
  if (notification_posted_) {
    return;
  }
  notification_posted_ = true;
  dependencies_.dispatcher.post(lifetime_.guard([this] {
    notification_posted_ = false;
    for (const auto& subscriber : subscribers_) {
      subscriber();
    }
  }));
}

}  // namespace chalkshed
