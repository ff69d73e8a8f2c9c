#include "src/jobs/owned_job.h"

#include <algorithm>
#include <set>

#include "chalkshed/request_digest.h"
#include "chalkshed/resumption_outcome.h"
#include "src/core/digest.h"
#include "src/core/number_text.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

item_wait wait_of(item_hold hold) {
  switch (hold) {
    case item_hold::kCrashes:
      return item_wait::kCrashes;
    case item_hold::kPart:
      return item_wait::kPart;
    case item_hold::kTurn:
    case item_hold::kNone:
      break;
  }
  return item_wait::kTurn;
}

}  // namespace

OwnedJob::OwnedJob(JobEnvironment& environment, failure_recorder& recorder, StoredJob record,
                   StoreVersion version, MonotonicTime known_since, LoadedJob loaded,
                   OnLost on_lost)
    : environment_(environment),
      recorder_(recorder),
      record_(std::move(record)),
      version_(version),
      confirmed_(known_since),
      on_lost_(std::move(on_lost)),
      first_held_(static_cast<uint32_t>(loaded.listed.size())),
      commit_timer_(environment.serving.dispatcher.create_timer([this] { commit(); })),
      checkpoint_timer_(environment.serving.dispatcher.create_timer(
          [this] { checkpoint([this] { checkpoint_later(); }); })) {
  const std::set<std::string> done(loaded.listed.begin(), loaded.listed.end());
  items_.reserve(loaded.items.size());
  for (ServingRequest& request : loaded.items) {
    Item item;
    item.listed = done.contains(request.id);
    item.phase = item.listed ? Phase::kEnded : Phase::kWaiting;
    const auto progress = loaded.progress.find(request.id);
    if (!item.listed && progress != loaded.progress.end()) {
      item.progress = std::move(progress->second);
      item.recorded_event = item.progress.last_event;
    }
    const auto failures = loaded.failures.find(request.id);
    if (failures != loaded.failures.end()) {
      item.failures = std::move(failures->second);
    }
    item.request = std::move(request);
    set_digests(item.request);
    item.request.owed = true;
    items_.push_back(std::move(item));
  }
  origins_recorded_ = !loaded.origins.empty();
  for (const ProgressOrigin& origin : loaded.origins) {
    Item* item = origin.item < items_.size() ? &items_[origin.item] : nullptr;
    if (item != nullptr && item->progress.last_event &&
        origin.text_hash == progress_text_hash(item->progress.text)) {
      item->progress.software = origin.software;
      item->origin = origin;
    }
  }
  update_places();
}

const Route* OwnedJob::route_of(const RouteTable& table, const Item& item) const {
  const Route* route = table.find(item.request.host, item.request.message.path);
  return route != nullptr ? route : table.find(record_.host, record_.path);
}

Duration OwnedJob::due() const {
  const RouteTablePtr& table = environment_.routes.current();
  const Route* route = table ? table->find(record_.host, record_.path) : nullptr;
  return record_.accepted + (route == nullptr ? Duration(0) : route->run_target);
}

Duration OwnedJob::slack_of(const Item& item) const {
  Duration ran = item.ran;
  if (item.phase == Phase::kRunning) {
    ran += environment_.serving.time_source.monotonic_now() - item.started;
  }
  // The remaining time stays positive even after a run has exceeded the estimate.
  constexpr int kMinRemainingDivisor = 8;
  const Duration pace = environment_.pace.estimate();
  const Duration needed = std::max(pace - ran, pace / kMinRemainingDivisor);
  return due() - environment_.clock.now() - needed;
}

batch_urgency OwnedJob::urgency_of(const Item& item) const {
  const Duration slack = slack_of(item);
  if (slack < Duration(0)) {
    return batch_urgency::kLate;
  }
  const bool soon = slack < environment_.pace.estimate() + environment_.knobs.urgent_slack;
  return soon ? batch_urgency::kUrgent : batch_urgency::kNormal;
}

// An item under which workers have just crashed pauses, and one with a part that crashes workers
// waits for a trial of it: no other result may be listed for it.
bool OwnedJob::may_run_now(Item& item) {
  // An item that has asked for a turn must use it while it is granted.
  constexpr Duration kTurnInterval = std::chrono::milliseconds(20);
  constexpr Duration kHeldInterval = std::chrono::milliseconds(100);
  const RouteTablePtr table = environment_.routes.current();
  const Route* route = table ? route_of(*table, item) : nullptr;
  const bool named = route != nullptr && !route->services.empty();
  const std::string service = named ? route->services.front().service : "";
  const item_claim claim = environment_.serving.quarantine.claim_owned_run(item.request, service);
  const bool held = claim.permit == run_permit::kQuarantined;
  if (!held && claim.permit != run_permit::kWait) {
    return true;
  }
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  const bool paused = claim.hold == item_hold::kCrashes && *claim.until - now > kHeldInterval;
  wait(item, wait_of(claim.hold), held || paused ? kHeldInterval : kTurnInterval, claim.until);
  return false;
}

// Such an item runs where few other requests do. After the first lost worker nearly all items are
// innocent; placed like the suspect ones, they would lose their next worker to one of these.
bool OwnedJob::may_crash_worker(const Item& item, const std::string& service) const {
  constexpr size_t kSuspect = 2;
  const request_quarantine& quarantine = environment_.serving.quarantine;
  return quarantine.evidence().possible_crashes(item.request.digest) >= kSuspect ||
         quarantine.part_is_suspect(item.request, service);
}

waiting_place OwnedJob::place_of(const RouteTable& table, const Item& item) const {
  waiting_place place;
  const Route* route = route_of(table, item);
  if (route != nullptr) {
    place.services = std::max<size_t>(route->services.size(), 1);
    for (const WeightedService& service : route->services) {
      place.group += service.service + "\n";
    }
  }
  // As in slack_of().
  constexpr int kMinRemainingDivisor = 8;
  const Duration pace = environment_.pace.estimate();
  place.due = due() + std::min(item.ran, pace - pace / kMinRemainingDivisor);
  return place;
}

void OwnedJob::wait(Item& item, item_wait why, Duration delay, std::optional<MonotonicTime> until) {
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  const RouteTablePtr table = environment_.routes.current();
  waiting_place place = table ? place_of(*table, item) : waiting_place{};
  place.not_before = now + delay;
  item.wait.enter(why, now, why == item_wait::kRetry ? place.not_before : until);
  item.phase = Phase::kWaiting;
  const auto index = static_cast<size_t>(&item - items_.data());
  item.waiting = environment_.waiting.add({this, index}, std::move(place));
}

void OwnedJob::update_places() {
  for (Item& item : items_) {
    if (item.phase == Phase::kWaiting && !ownership_lost_) {
      wait(item, item.wait.wait(), Duration(0), item.wait.until());
    }
  }
}

std::optional<OwnedJob::Preemptible> OwnedJob::first_to_preempt(const AtWorker& at) const {
  std::optional<Preemptible> first;
  if (!has_running()) {
    return first;
  }
  for (size_t index = 0; index < items_.size(); ++index) {
    const Item& item = items_[index];
    if (item.phase != Phase::kRunning) {
      continue;
    }
    const WorkerPtr worker = environment_.serving.workers.find(item.run->worker());
    const Duration slack = slack_of(item);
    if (worker && at(*worker) && (!first || starts_before(first->slack, slack))) {
      first = Preemptible{index, slack};
    }
  }
  return first;
}

void OwnedJob::preempt(const Preemptible& run, preemption_cause cause) {
  Item& item = items_[run.item];
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  const std::string worker = item.run->worker();
  item.run.reset();
  --running_;
  item.ran += now - item.started;
  wait(item, item_wait::kRetry, environment_.knobs.preempted_item_delay);
  environment_.serving.metrics
      .counter("chalkshed_items_preempted_total",
               "Runs of batch items stopped for online requests.",
               {{"cause", preemption_cause_name(cause)}})
      .add(1);
  environment_.serving.logger.write(
      LogLevel::kInfo, "item_preempted",
      {{"job", caller_job_id(record_.id)},
       {"request", item.request.id},
       {"worker", worker},
       {"cause", preemption_cause_name(cause)},
       {"slack_ms", std::to_string(run.slack / std::chrono::milliseconds(1))}});
}

item_start OwnedJob::start_item(size_t index) {
  constexpr Duration kUnroutedInterval = std::chrono::milliseconds(400);
  Item& item = items_[index];
  const RouteTablePtr table = environment_.routes.current();
  const Route* route = table ? route_of(*table, item) : nullptr;
  if (route == nullptr) {
    wait(item, item_wait::kRoute, kUnroutedInterval);
    return item_start::kDelayed;
  }
  if (!may_run_now(item)) {
    return item_start::kDelayed;
  }
  if (item.failures.used_up(max_attempts_of(item))) {
    end_item(item, ItemState::kErrored);
    return item_start::kEnded;
  }
  if (record_known_run(index)) {
    return item_start::kDelayed;
  }
  const std::string service = service_for(*route, item);
  WorkerSlotPtr slot = acquire_next(item, service);
  // Items that may run at any worker may have room.
  if (!slot && (item.progress.last_event || avoids_software(item, service))) {
    defer(item);
    return item_start::kDelayed;
  }
  if (!slot) {
    item.wait.enter(item_wait::kRoom, environment_.serving.time_source.monotonic_now());
    return item_start::kNoRoom;
  }
  start_run(index, std::move(slot), table->version());
  return item_start::kStarted;
}

WorkerSlotPtr OwnedJob::acquire_next(Item& item, const std::string& service) {
  WorkerSlotPtr slot;
  if (environment_.online_waits(service)) {
    return slot;
  }
  const item_continuation step = next_step(item, service);
  if (step.step == item_step::kStartOver) {
    drop_text(item);
  }
  if (step.step != item_step::kWait) {
    slot = acquire_slot(item, service, step.software);
  }
  if (!slot && step.may_start_over) {
    slot = acquire_slot(item, service, software_id::kUnknown);
    if (slot) {
      drop_text(item);
    }
  }
  return slot;
}

bool OwnedJob::avoids_software(const Item& item, const std::string& service) const {
  return !environment_.serving.quarantine.crashing_software(item.request, service).empty();
}

std::string OwnedJob::service_for(const Route& route, const Item& item) {
  for (const WeightedService& candidate : route.services) {
    if (environment_.serving.workers.serves(candidate.service, item.progress.software)) {
      return candidate.service;
    }
  }
  return environment_.draw.draw(route);
}

WorkerSlotPtr OwnedJob::acquire_slot(const Item& item, const std::string& service,
                                     software_id software) {
  SlotRequest wanted;
  wanted.service = service;
  wanted.software = software;
  wanted.work = WorkClass::kBatch;
  wanted.repeatable = true;
  wanted.request = &item.request;
  wanted.urgency = urgency_of(item);
  const std::vector<software_id> crashing =
      environment_.serving.quarantine.crashing_software(item.request, service);
  wanted.excluded_software = &crashing;
  wanted.alone = may_crash_worker(item, service);
  return environment_.serving.workers.acquire_slot(wanted);
}

item_continuation OwnedJob::next_step(const Item& item, const std::string& service) const {
  const WorkerSet& workers = environment_.serving.workers;
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  item_state state;
  state.has_text = item.progress.last_event.has_value();
  state.software = item.progress.software;
  state.waited = now - item.waits_for_version.value_or(now);
  state.ran = item.ran;
  const Duration since_accepted = environment_.clock.now() - record_.accepted;
  return continue_item(state, workers.versions(service, since_accepted),
                       workers.serves(service, state.software));
}

void OwnedJob::drop_text(Item& item) {
  note_continuation(item, nullptr);
  item.progress = {};
  item.ran = Duration(0);
  item.waits_for_version.reset();
}

void OwnedJob::defer(Item& item) {
  constexpr Duration kRetryInterval = std::chrono::milliseconds(100);
  if (item.progress.last_event) {
    const MonotonicTime now = environment_.serving.time_source.monotonic_now();
    item.waits_for_version = item.waits_for_version.value_or(now);
  }
  wait(item, item_wait::kSoftware, kRetryInterval);
}

void OwnedJob::note_continuation(const Item& item, const WorkerRecord* at) const {
  const bool known = item.progress.software != software_id::kUnknown;
  const resumption_outcome outcome = at != nullptr ? resumption_outcome::kSameVersion
                                     : known       ? resumption_outcome::kNoWorker
                                                   : resumption_outcome::kOriginUnknown;
  count_resumption(environment_.serving.metrics, resumed_work::kItem, outcome);
  environment_.serving.logger.write(
      LogLevel::kInfo, at != nullptr ? "item_resumed" : "item_started_over",
      {{"job", caller_job_id(record_.id)},
       {"request", item.request.id},
       {"software", software_text(item.progress.software)},
       {"outcome", std::string(resumption_outcome_name(outcome))},
       {"worker", at != nullptr ? at->incarnation : ""},
       {"version", at != nullptr ? at->version : ""},
       {"resume_after", std::to_string(item.progress.last_event.value_or(0))}});
}

void OwnedJob::start_run(size_t index, WorkerSlotPtr slot, uint64_t configuration) {
  Item* item = &items_[index];
  if (item->progress.last_event) {
    note_continuation(*item, &slot->worker().record);
  }
  item->waits_for_version.reset();
  checkpoint_later();
  item->phase = Phase::kRunning;
  item->waiting = {};
  item->started = environment_.serving.time_source.monotonic_now();
  ++running_;
  item->run =
      std::make_unique<JobItemRun>(environment_, item->request, std::move(slot), item->progress,
                                   [this, index](JobItemRunEnd end, const std::string& reason) {
                                     handle_run_end(index, end, reason);
                                   });
  log_start(*item, configuration);
}

// Logs on what basis the item was started: the owner and epoch of the job, and the age of this
// node's view of it.
void OwnedJob::log_start(const Item& item, uint64_t configuration) const {
  const Duration view_age = environment_.view_age();
  environment_.serving.logger.write(
      LogLevel::kInfo, "item_started",
      {{"job", caller_job_id(record_.id)},
       {"request", item.request.id},
       {"content", digest_text(item.request.digest)},
       {"owner", record_.owner},
       {"epoch", std::to_string(record_.epoch)},
       {"worker", item.run->worker()},
       {"connection_use", std::to_string(item.run->connection_use())},
       {"resume_after", item.progress.last_event ? std::to_string(*item.progress.last_event) : ""},
       {"view_age_ms", std::to_string(view_age / std::chrono::milliseconds(1))},
       {"configuration", std::to_string(configuration)}});
  environment_.serving.metrics
      .histogram("chalkshed_job_view_age_seconds",
                 "How old what this node knew of the jobs was as it started an item.", {})
      .observe(std::chrono::duration<double>(view_age).count());
}

void OwnedJob::handle_run_end(size_t index, JobItemRunEnd end, const std::string& reason) {
  Item& item = items_[index];
  // The run must outlive its own callback.
  const std::shared_ptr<JobItemRun> run(std::move(item.run));
  environment_.serving.dispatcher.post([run] {});
  --running_;
  item.ran += environment_.serving.time_source.monotonic_now() - item.started;
  if (ownership_lost_) {
    return;
  }
  if (end == JobItemRunEnd::kCompleted) {
    environment_.pace.note(item.ran);
    end_item(item, ItemState::kCompleted);
    return;
  }
  log_failed_run(item, *run, end, reason);
  if (end == JobItemRunEnd::kBroken) {
    requeue_item(item);
  } else {
    record_failed_run(
        index, end == JobItemRunEnd::kFailed ? run_failure::kFailed : run_failure::kImpossible);
  }
}

uint32_t OwnedJob::max_attempts_of(const Item& item) const {
  const RouteTablePtr table = environment_.routes.current();
  const Route* route = table ? route_of(*table, item) : nullptr;
  return route == nullptr ? 1 : std::max(route->attempts, 1U);
}

void OwnedJob::requeue_item(Item& item) {
  wait(item, item_wait::kRetry, environment_.knobs.item_retry_delay);
}

void OwnedJob::record_failed_run(size_t index, run_failure failure) {
  const std::string adoption = record_.owner + "/" + std::to_string(record_.epoch);
  record_run(index, {failed_run_job_hash(record_.id),
                     failed_run_item_hash(record_.id, items_[index].request.id),
                     content_hash(adoption, ++failed_runs_), failure});
}

bool OwnedJob::record_known_run(size_t index) {
  if (environment_.failed_runs == nullptr) {
    return false;
  }
  const Item& item = items_[index];
  const std::vector<failed_run> known =
      environment_.failed_runs->runs_of(failed_run_item_hash(record_.id, item.request.id));
  const auto found = std::find_if(known.begin(), known.end(), [&](const failed_run& run) {
    return !item.failures.runs.contains(run.run);
  });
  if (found == known.end()) {
    return false;
  }
  environment_.serving.logger.write(LogLevel::kInfo, "failed_run_of_earlier_owner",
                                    {{"job", caller_job_id(record_.id)},
                                     {"request", item.request.id},
                                     {"epoch", std::to_string(record_.epoch)}});
  record_run(index, *found);
  return true;
}

void OwnedJob::record_run(size_t index, const failed_run& run) {
  Item& item = items_[index];
  item.phase = Phase::kRecording;
  item.waiting = {};
  item.wait.enter(item_wait::kRecording, environment_.serving.time_source.monotonic_now());
  ++recording_;
  failed_run_exchange* const exchange = environment_.failed_runs;
  if (exchange != nullptr) {
    exchange->announce(run);
  }
  const failure_recorder::on_recorded done =
      lifetime_.guard([this, index](const item_failures& failures) {
        --recording_;
        Item& recorded = items_[index];
        recorded.failures = failures;
        if (failures.used_up(max_attempts_of(recorded))) {
          end_item(recorded, ItemState::kErrored);
        } else {
          requeue_item(recorded);
        }
      });
  recorder_.record(job_failure_key(record_.id, item.request.id), run.run, run.failure,
                   item.failures, [exchange, run, done](const item_failures& failures) {
                     if (exchange != nullptr) {
                       exchange->note_recorded(run);
                     }
                     done(failures);
                   });
}

void OwnedJob::log_failed_run(const Item& item, const JobItemRun& run, JobItemRunEnd end,
                              const std::string& reason) const {
  environment_.serving.logger.write(LogLevel::kInfo, "item_run_failed",
                                    {{"job", caller_job_id(record_.id)},
                                     {"request", item.request.id},
                                     {"content", digest_text(item.request.digest)},
                                     {"epoch", std::to_string(record_.epoch)},
                                     {"worker", run.worker()},
                                     {"end", job_item_run_end_name(end)},
                                     {"proof", std::string(not_run_proof_name(run.proof()))},
                                     {"failures", std::to_string(item.failures.failed())},
                                     {"reason", reason}});
  environment_.serving.metrics
      .counter("chalkshed_item_runs_failed_total", "Runs of batch items without a whole text.",
               {{"end", job_item_run_end_name(end)}})
      .add(1);
}

void OwnedJob::end_item(Item& item, ItemState state) {
  item.phase = Phase::kEnded;
  item.wait.enter(item_wait::kCommit, environment_.serving.time_source.monotonic_now());
  item.waiting = {};
  JobResult result;
  result.item = item.request.id;
  result.state = state;
  if (state == ItemState::kCompleted) {
    result.text = std::move(item.progress.text);
  }
  item.progress = {};
  pending_.push_back(std::move(result));
  commit_later();
}

void OwnedJob::end_stalled_runs() {
  for (Item& item : items_) {
    if (item.phase == Phase::kRunning) {
      item.run->end_if_stalled(environment_.knobs.item_stall_timeout);
    }
  }
}

void OwnedJob::note_waits(item_wait_counts& counts) {
  if (ownership_lost_) {
    return;
  }
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  for (Item& item : items_) {
    if (!is_waiting(item)) {
      continue;
    }
    item.wait.advance(now);
    ++counts[static_cast<size_t>(item.wait.wait())];
    if (item.wait.log_now(now)) {
      log_wait(item, now);
    }
  }
}

void OwnedJob::list_waiting(std::vector<waiting_item>& list, size_t limit) {
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  for (Item& item : items_) {
    if (list.size() >= limit) {
      return;
    }
    if (is_waiting(item)) {
      item.wait.advance(now);
      list.push_back(described(item, now));
    }
  }
}

waiting_item OwnedJob::described(const Item& item, MonotonicTime now) const {
  const std::optional<MonotonicTime> until = item.wait.until();
  waiting_item described;
  described.job = caller_job_id(record_.id);
  described.item = item.request.id;
  described.content = digest_text(item.request.digest);
  described.wait = item.wait.wait();
  described.waited = now - item.wait.since();
  if (until) {
    described.ends_in = std::max(*until - now, Duration(0));
  }
  described.crashes =
      environment_.serving.quarantine.evidence().possible_crashes(item.request.digest);
  return described;
}

void OwnedJob::log_wait(const Item& item, MonotonicTime now) const {
  const waiting_item waiting = described(item, now);
  environment_.serving.logger.write(
      LogLevel::kInfo, "item_waits",
      {{"job", waiting.job},
       {"request", waiting.item},
       {"content", waiting.content},
       {"wait", item_wait_name(waiting.wait)},
       {"waited_ms", milliseconds_text(waiting.waited)},
       {"ends_in_ms", waiting.ends_in ? milliseconds_text(*waiting.ends_in) : ""},
       {"workers_ended", std::to_string(waiting.crashes)},
       {"failures", std::to_string(item.failures.failed())}});
}

void OwnedJob::fail_unrunnable_items() {
  const RouteTablePtr table = environment_.routes.current();
  if (ownership_lost_ || !table) {
    return;
  }
  for (Item& item : items_) {
    if (item.phase != Phase::kWaiting) {
      continue;
    }
    const Route* route = route_of(*table, item);
    const bool too_old = route != nullptr && route->retention > Duration(0) &&
                         environment_.clock.now() - record_.accepted > route->retention;
    const bool used_up = item.failures.used_up(max_attempts_of(item));
    if (route == nullptr || too_old || used_up) {
      environment_.serving.logger.write(LogLevel::kInfo, "item_given_up",
                                        {{"job", caller_job_id(record_.id)},
                                         {"request", item.request.id},
                                         {"configuration", std::to_string(table->version())},
                                         {"failures", std::to_string(item.failures.failed())},
                                         {"reason", used_up   ? "its attempts are exhausted"
                                                    : too_old ? "its retention has passed"
                                                              : "its route was removed"}});
      end_item(item, ItemState::kErrored);
    }
  }
}

void OwnedJob::cancel(bool ended) {
  ownership_lost_ = true;
  if (ended) {
    environment_.serving.metrics
        .counter("chalkshed_items_stopped_after_end_total",
                 "Items whose run was stopped because their job had been ended.", {})
        .add(running_);
  }
  commit_timer_->disable();
  checkpoint_timer_->disable();
  for (Item& item : items_) {
    item.run.reset();
    item.waiting = {};
  }
  running_ = 0;
  const std::vector<std::function<void()>> callbacks = std::exchange(on_commit_, {});
  for (const std::function<void()>& callback : callbacks) {
    callback();
  }
}

void OwnedJob::lose_ownership(Ownership ownership) {
  cancel(ownership == Ownership::kEnded);
  on_lost_(name_of(ownership));
}

void OwnedJob::on_next_commit(std::function<void()> callback) {
  on_commit_.push_back(std::move(callback));
}

uint64_t OwnedJob::remaining_tokens() const {
  uint64_t sum = 0;
  for (const Item& item : items_) {
    sum += item.phase == Phase::kEnded ? 0 : item.request.queue_tokens;
  }
  return sum;
}

const ServingRequest* OwnedJob::unlisted_item(const std::string& id) const {
  const auto found = std::find_if(items_.begin(), items_.end(), [&](const Item& item) {
    return item.request.id == id && !item.listed;
  });
  return found == items_.end() ? nullptr : &found->request;
}

}  // namespace chalkshed
