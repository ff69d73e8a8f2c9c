#include "src/jobs/job_service.h"

#include <algorithm>

#include "src/core/call_after.h"
#include "src/core/digest.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

Error unknown_job(const std::string& job) {
  return not_run(ErrorKind::kNotFound, "job does not exist: " + job, "check the job's id");
}

Error unknown_item(const std::string& job, const std::string& item) {
  return not_run(ErrorKind::kNotFound, "job " + job + " has no unlisted item " + item,
                 "read its result instead");
}

}  // namespace

JobService::JobService(JobEnvironment& environment, SessionView& sessions,
                       std::function<bool()> may_start)
    : environment_(environment),
      sessions_(sessions),
      loader_(environment),
      reader_(environment),
      remover_(environment),
      forwarder_(environment.serving.worker_client, environment.codec, sessions,
                 environment.serving.logger),
      queues_(environment, index_, owned_),
      admission_(environment, queues_),
      ender_(environment, sessions.own_session(),
             [this](const known_job& known) { note(known.record, known.version); }),
      recorder_(environment.store, environment.serving.dispatcher, environment.serving.logger,
                environment.knobs.store_retry_delay),
      scheduler_(environment, sessions, owned_, std::move(may_start)),
      sweep_timer_(environment.serving.dispatcher.create_timer([this] { sweep(); })) {}

void JobService::start() {
  sweep_timer_->enable(environment_.knobs.sweep_interval);
  scheduler_.start();
}

void JobService::on_row(const StoredRow& row) {
  if (row.removed) {
    const auto known = index_.find(row.key.key);
    if (known != index_.end() && known->second.version > row.version) {
      return;
    }
    queues_.close(row.key.key);
    index_.erase(row.key.key);
    const auto owned = owned_.find(row.key.key);
    if (owned != owned_.end() && owned->second.job->version() < row.version) {
      drop(row.key.key, "its record was removed");
    }
    return;
  }
  const Expected<StoredJob> record = decode_job_record(row.key.key, row.value);
  if (!record) {
    environment_.serving.logger.write(LogLevel::kError, "job_record_rejected",
                                      {{"job", row.key.key}, {"reason", record.error().message}});
    return;
  }
  note(*record, row.version);
}

bool JobService::is_end_of_own_job(const StoredRow& row) const {
  if (row.removed) {
    return false;
  }
  const Expected<StoredJob> record = decode_job_record(row.key.key, row.value);
  return record && record->ended && record->owner == sessions_.own_session() &&
         row.key == stored_job_key(record->id);
}

void JobService::note(const StoredJob& record, StoreVersion version) {
  indexed_job& indexed = index_[record.id];
  if (version <= indexed.version) {
    return;
  }
  const bool taken_over =
      indexed.version > 0 && !record.owner.empty() && record.epoch != indexed.record.epoch;
  if (taken_over) {
    indexed.owner_changed = environment_.serving.time_source.monotonic_now();
  }
  indexed.record = record;
  indexed.version = version;
  indexed.orphan = false;
  if (record.ended || record.finished) {
    queues_.close(record.id);
  }
  const auto owned = owned_.find(record.id);
  if (owned == owned_.end() || owned->second.job->version() >= version) {
    return;
  }
  const StoredJob& mine = owned->second.job->record();
  if (record.owner != mine.owner || record.epoch != mine.epoch) {
    drop(record.id, "superseded by " + record.owner);
  } else if (record.ended) {
    drop(record.id, "ended by its caller");
  }
}

void JobService::adopt(const StoredJob& record, StoreVersion version, MonotonicTime known_since,
                       LoadedJob loaded) {
  log(LogLevel::kInfo, "job_owned", record,
      std::to_string(loaded.listed.size()) + " results are listed, " +
          std::to_string(loaded.progress.size()) + " items continue");
  owned_entry owned;
  owned.job = std::make_unique<OwnedJob>(
      environment_, recorder_, record, version, known_since, std::move(loaded),
      [this, id = record.id](const std::string& reason) {
        environment_.serving.dispatcher.post(
            lifetime_.guard([this, id, reason] { drop(id, reason); }));
      });
  owned_[record.id] = std::move(owned);
  if (on_queue_changed_) {
    on_queue_changed_();
  }
  if (on_ownership_changed_) {
    on_ownership_changed_();
  }
  scheduler_.start_items();
}

void JobService::drop(const std::string& job, const std::string& reason) {
  const auto found = owned_.find(job);
  if (found == owned_.end()) {
    return;
  }
  log(LogLevel::kInfo, "job_given_up", found->second.job->record(), reason);
  const std::unique_ptr<OwnedJob> dropped = std::move(found->second.job);
  owned_.erase(found);
  const auto indexed = index_.find(job);
  const bool ended = indexed != index_.end() && indexed->second.record.ended;
  dropped->cancel(ended);
}

void JobService::submit(RequestJob submission, Callback<std::monostate> callback) {
  const auto known = index_.find(submission.id);
  if (known != index_.end()) {
    log_other_content(known->second.record, submission);
    environment_.serving.dispatcher.post([callback = std::move(callback)] { callback({}); });
    return;
  }
  const uint64_t number = next_submit_++;
  auto submit = std::make_unique<JobSubmit>(environment_, std::move(submission),
                                            sessions_.own_session(), forwarder_, admission_);
  JobSubmit& started = *submit;
  ++submitting_[started.submission().id];
  submits_.emplace(number, std::move(submit));
  started.start([this, number, callback = std::move(callback)](Expected<SubmitOutcome> outcome) {
    const std::shared_ptr<JobSubmit> ended = std::move(submits_.at(number));
    submits_.erase(number);
    if (--submitting_[ended->submission().id] == 0) {
      submitting_.erase(ended->submission().id);
    }
    environment_.serving.dispatcher.post([ended] {});
    if (!outcome) {
      environment_.serving.logger.write(LogLevel::kInfo, "job_not_accepted",
                                        {{"request", caller_job_id(ended->submission().id)},
                                         {"job", caller_job_id(ended->submission().id)},
                                         {"ran", std::string(ran_name(outcome.error().ran))},
                                         {"reason", outcome.error().message}});
      callback(tl::unexpected(outcome.error()));
      return;
    }
    if (outcome->accepted_by_peer) {
      callback({});
      return;
    }
    log(LogLevel::kInfo, "job_accepted", outcome->record,
        outcome->accepted_here ? "accepted by this submission" : "was stored before");
    callback({});
    note(outcome->record, outcome->version);
    // If the outcome was determined late, the job may meanwhile have been ended, or taken over and
    // finished.
    const bool open = !outcome->record.ended && !outcome->record.finished &&
                      index_.at(outcome->record.id).version == outcome->version;
    if (!outcome->stored_as_sent) {
      log_other_content(outcome->record, ended->submission());
    }
    if (!outcome->accepted_here || !open || owned_.contains(outcome->record.id)) {
      return;
    }
    if (outcome->stored_as_sent) {
      adopt(outcome->record, outcome->version, outcome->known_since,
            {std::move(ended->submission().items), {}, {}, {}});
    } else {
      load(outcome->record, outcome->version, outcome->known_since);
    }
  });
}

// Tells a caller that sends other items under the id of a stored job from a fault of this system.
void JobService::log_other_content(const StoredJob& record, const RequestJob& submission) const {
  const std::string sent = content_digest(submission.content);
  if (!record.content.empty() && record.content != sent) {
    log(LogLevel::kWarning, "job_content_differs", record,
        "stored: " + record.content + ", sent: " + sent);
  }
}

void JobService::find(const std::string& job, Found callback) {
  const auto known = index_.find(job);
  if (known != index_.end()) {
    callback(known->second);
    return;
  }
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(job), kNoVersion});
  environment_.store.commit(
      std::move(transaction), lifetime_.guard([this, job, callback = std::move(callback)](
                                                  const Expected<StoreCommit>& commit) {
        if (!commit) {
          callback(tl::unexpected(commit.error()));
          return;
        }
        const StoredRow* row = commit->current.empty() ? nullptr : &commit->current.front();
        if (row == nullptr || row->version == 0) {
          callback(tl::unexpected(unknown_job(job)));
          return;
        }
        const Expected<StoredJob> record = decode_job_record(job, row->value);
        if (!record) {
          callback(tl::unexpected(record.error()));
          return;
        }
        note(*record, row->version);
        callback(index_.at(job));
      }));
}

ResultPage JobService::page_of(const OwnedJob& job, uint32_t from) const {
  ResultPage page;
  page.total = job.record().items;
  page.next = from;
  const std::vector<JobResult>& held = job.held();
  for (size_t index = from - job.first_held(); index < held.size(); ++index) {
    if (!page.add(held[index], environment_.knobs.max_response_bytes)) {
      break;
    }
  }
  return page;
}

void JobService::read_results(const std::string& job, uint32_t from, Duration wait,
                              Callback<ResultPage> callback) {
  const auto found = owned_.find(job);
  if (found != owned_.end() && from >= found->second.job->first_held()) {
    OwnedJob& owned = *found->second.job;
    const size_t listed = owned.first_held() + owned.held().size();
    if (from < listed || owned.finished() || wait <= Duration(0)) {
      callback(page_of(owned, std::min<uint32_t>(from, static_cast<uint32_t>(listed))));
      return;
    }
    // Answers after the next commit or after the wait, whichever comes first.
    auto answered = std::make_shared<bool>(false);
    auto answer = lifetime_.guard([this, job, from, answered, callback] {
      if (!std::exchange(*answered, true)) {
        read_results(job, from, Duration(0), callback);
      }
    });
    call_after(environment_.serving.dispatcher, wait, answer);
    owned.on_next_commit(answer);
    return;
  }
  find(job, lifetime_.guard([this, from, wait,
                             callback = std::move(callback)](const Expected<indexed_job>& indexed) {
    if (!indexed) {
      callback(tl::unexpected(indexed.error()));
      return;
    }
    reader_.read(indexed->record, from, wait, callback);
  }));
}

void JobService::read_body(const std::string& job, const std::string& item,
                           Callback<std::string> callback) {
  const auto found = owned_.find(job);
  if (found != owned_.end()) {
    if (const ServingRequest* request = found->second.job->unlisted_item(item)) {
      callback(request->message.body);
      return;
    }
  }
  find(job, lifetime_.guard([this, item,
                             callback = std::move(callback)](const Expected<indexed_job>& indexed) {
    if (!indexed) {
      callback(tl::unexpected(indexed.error()));
      return;
    }
    const std::string& id = indexed->record.id;
    loader_.load_items(
        indexed->record, [id, item, callback](const Expected<std::vector<ServingRequest>>& items) {
          if (!items) {
            callback(tl::unexpected(items.error()));
            return;
          }
          const auto match =
              std::find_if(items->begin(), items->end(),
                           [&](const ServingRequest& request) { return request.id == item; });
          if (match == items->end()) {
            callback(tl::unexpected(unknown_item(id, item)));
            return;
          }
          callback(match->message.body);
        });
  }));
}

void JobService::end(const std::string& job, Callback<std::monostate> callback) {
  const auto known = index_.find(job);
  ender_.end(job,
             known == index_.end()
                 ? std::nullopt
                 : std::optional(known_job{known->second.record, known->second.version}),
             std::move(callback));
}

void JobService::sweep() {
  sweep_timer_->enable(environment_.knobs.sweep_interval);
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  item_wait_counts waits{};
  for (auto entry = owned_.begin(); entry != owned_.end();) {
    owned_entry& owned = entry->second;
    owned.job->fail_unrunnable_items();
    owned.job->end_stalled_runs();
    owned.job->note_waits(waits);
    if (owned.job->finished() && owned.finished == MonotonicTime{}) {
      owned.finished = now;
    }
    const bool forget = owned.finished != MonotonicTime{} &&
                        now - owned.finished > environment_.knobs.finished_job_retention;
    entry = forget ? owned_.erase(entry) : std::next(entry);
  }
  update_wait_gauges(waits);
  size_t open_jobs = 0;
  for (const auto& [id, indexed] : index_) {
    open_jobs += indexed.record.ended || indexed.record.finished ? 0 : 1;
  }
  environment_.serving.workers.set_batch_sharers(std::min(open_jobs, sessions_.announced_nodes()),
                                                 sessions_.view_lag());
  for (auto& [id, indexed] : index_) {
    sweep_job(id, indexed);
  }
  if (on_ownership_changed_) {
    on_ownership_changed_();
  }
  sweep_refusals(now);
  queues_.update_metrics();
  scheduler_.start_items();
}

void JobService::update_wait_gauges(const item_wait_counts& waits) const {
  for (size_t index = 0; index < waits.size(); ++index) {
    environment_.serving.metrics
        .gauge("chalkshed_items_waiting", "Accepted batch items of this node that do not run.",
               {{"wait", item_wait_name(static_cast<item_wait>(index))}})
        .set(static_cast<double>(waits[index]));
  }
}

std::vector<waiting_item> JobService::waiting(size_t limit) const {
  std::vector<waiting_item> list;
  for (const auto& [id, owned] : owned_) {
    owned.job->list_waiting(list, limit);
  }
  return list;
}

void JobService::sweep_refusals(MonotonicTime now) {
  if (now - refusals_swept_ < environment_.knobs.refusal_sweep_interval || draining_) {
    return;
  }
  refusals_swept_ = now;
  const std::vector<std::string> partitions = job_partitions();
  const std::string& partition = partitions[next_refusals_++ % partitions.size()];
  if (sessions_.rank(kStoredRefusalTable) == 0) {
    remover_.remove_refusals(partition);
  }
}

void JobService::sweep_job(const std::string& id, indexed_job& indexed) {
  const StoredJob& record = indexed.record;
  if (record.ended || record.finished) {
    remove_if_old(id, indexed);
    return;
  }
  if (indexed.busy || draining_) {
    return;
  }
  if (record.owner == sessions_.own_session()) {
    // This node became the owner by an acceptance or takeover whose answer was lost. A new epoch
    // fences any writes of it that may still be in flight.
    if (!owned_.contains(id) && !submitting_.contains(id)) {
      take_over(id);
    }
    return;
  }
  if (!record.owner.empty() && sessions_.alive(record.owner, indexed.version)) {
    indexed.orphan = false;
    return;
  }
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  if (has_new_owner(indexed, now)) {
    return;
  }
  if (!std::exchange(indexed.orphan, true)) {
    indexed.orphaned = now;
  }
  const auto rank = static_cast<int64_t>(sessions_.rank(id));
  if (now - indexed.orphaned >= rank * environment_.knobs.takeover_step) {
    take_over(id);
  }
}

// The row that made a node the owner is later than its last heartbeat: nodes that don't hear each
// other would take the job from each other several times a second.
bool JobService::has_new_owner(const indexed_job& indexed, MonotonicTime now) const {
  return indexed.owner_changed && !indexed.record.owner.empty() &&
         now - *indexed.owner_changed < environment_.knobs.new_owner_lease &&
         !sessions_.replaced(indexed.record.owner, indexed.version);
}

void JobService::remove_if_old(const std::string& id, const indexed_job& indexed) {
  const Duration age = environment_.clock.now() - indexed.record.accepted;
  if (removing_ || draining_ || age < environment_.knobs.stored_job_retention ||
      sessions_.rank(id) > 0) {
    return;
  }
  removing_ = true;
  owned_.erase(id);
  remover_.remove(indexed.record, indexed.version, lifetime_.guard([this] { removing_ = false; }));
}

bool JobService::takeover_limit_reached() const {
  const JobKnobs& knobs = environment_.knobs;
  const MonotonicTime now = environment_.serving.time_source.monotonic_now();
  const auto counted = std::count_if(index_.begin(), index_.end(), [&](const auto& entry) {
    const indexed_job& indexed = entry.second;
    return indexed.busy && (takeovers_slow_ || now - indexed.busy_since > knobs.slow_takeover);
  });
  return static_cast<size_t>(counted) >= knobs.max_slow_takeovers;
}

void JobService::finish_takeover(indexed_job& indexed, bool answered) {
  const Duration took = environment_.serving.time_source.monotonic_now() - indexed.busy_since;
  takeovers_slow_ = !answered || took > environment_.knobs.slow_takeover;
  indexed.busy = false;
}

void JobService::take_over(const std::string& id) {
  if (takeover_limit_reached()) {
    return;
  }
  indexed_job& indexed = index_.at(id);
  indexed.busy = true;
  indexed.busy_since = environment_.serving.time_source.monotonic_now();
  StoredJob mine = indexed.record;
  mine.owner = sessions_.own_session();
  ++mine.epoch;
  StoreTransaction transaction;
  transaction.conditions.push_back({stored_job_key(id), indexed.version});
  transaction.writes.push_back({stored_job_key(id), encode_job_record(mine)});
  environment_.store.commit(
      std::move(transaction),
      lifetime_.guard([this, mine, sent = indexed.busy_since,
                       before = indexed.record.owner](const Expected<StoreCommit>& commit) {
        const auto found = index_.find(mine.id);
        if (found != index_.end()) {
          finish_takeover(found->second, commit.has_value());
        }
        if (!commit || !commit->committed) {
          log(LogLevel::kInfo, "job_not_taken_over", mine,
              commit ? "the record has changed" : commit.error().message);
          if (commit && !commit->current.empty() && commit->current.front().version > 0) {
            on_row(commit->current.front());
          }
          return;
        }
        environment_.serving.metrics
            .counter("chalkshed_jobs_taken_over_total", "Jobs that this node took from another.",
                     {})
            .add(1);
        log(LogLevel::kInfo, "job_taken_over", mine,
            before.empty() ? "it had no owner" : "its owner " + before + " is gone");
        note(mine, commit->stamp.version);
        load(mine, commit->stamp.version, sent);
      }));
}

void JobService::load(const StoredJob& record, StoreVersion version, MonotonicTime known_since) {
  indexed_job& indexed = index_.at(record.id);
  indexed.busy = true;
  indexed.busy_since = environment_.serving.time_source.monotonic_now();
  loader_.load(record, lifetime_.guard([this, record, version,
                                        known_since](Expected<LoadedJob> loaded) {
    const auto found = index_.find(record.id);
    if (found == index_.end()) {
      return;
    }
    finish_takeover(found->second, loaded || loaded.error().kind != ErrorKind::kStoreUnavailable);
    if (!loaded) {
      log(LogLevel::kWarning, "job_not_loaded", record, loaded.error().message);
      return;
    }
    if (found->second.version != version || owned_.contains(record.id)) {
      return;
    }
    adopt(record, version, known_since, std::move(*loaded));
  }));
}

bool JobService::owns_open_jobs() const {
  return std::any_of(owned_.begin(), owned_.end(),
                     [](const auto& entry) { return !entry.second.job->finished(); });
}

void JobService::drain(std::function<void()> done) {
  draining_ = true;
  scheduler_.stop_starting();
  drain_began_ = environment_.serving.time_source.monotonic_now();
  on_drained_ = std::move(done);
  sessions_.begin_drain();
  check_drained();
}

void JobService::check_drained() {
  const Duration elapsed = environment_.serving.time_source.monotonic_now() - drain_began_;
  std::vector<std::string> finished;
  for (auto& [id, owned] : owned_) {
    const bool idle = !owned.job->has_running() && !owned.job->has_uncommitted();
    if (owned.job->finished()) {
      finished.push_back(id);
    } else if ((idle || elapsed > environment_.knobs.max_drain_time) &&
               !std::exchange(owned.releasing, true)) {
      release(id);
    }
  }
  for (const std::string& id : finished) {
    drop(id, "this node stops");
  }
  if (owned_.empty() && submits_.empty()) {
    if (on_drained_) {
      std::exchange(on_drained_, nullptr)();
    }
    return;
  }
  constexpr Duration kPollInterval = std::chrono::milliseconds(50);
  call_after(environment_.serving.dispatcher, kPollInterval,
             lifetime_.guard([this] { check_drained(); }));
}

// The progress of the items is recorded first, so that the next owner can resume from it.
void JobService::release(const std::string& id) {
  owned_.at(id).job->checkpoint(lifetime_.guard([this, id] {
    const auto found = owned_.find(id);
    if (found == owned_.end()) {
      return;
    }
    const OwnedJob& job = *found->second.job;
    StoredJob free = job.record();
    free.owner.clear();
    StoreTransaction transaction;
    transaction.conditions.push_back({stored_job_key(id), job.version()});
    transaction.writes.push_back({stored_job_key(id), encode_job_record(free)});
    environment_.store.commit(std::move(transaction),
                              [](const Expected<StoreCommit>& /*commit*/) {});
    environment_.serving.dispatcher.post(
        lifetime_.guard([this, id] { drop(id, "this node stops"); }));
  }));
}

void JobService::log(LogLevel level, std::string_view event, const StoredJob& record,
                     const std::string& reason) const {
  environment_.serving.logger.write(level, event,
                                    {{"job", caller_job_id(record.id)},
                                     {"items", std::to_string(record.items)},
                                     {"owner", record.owner},
                                     {"epoch", std::to_string(record.epoch)},
                                     {"reason", reason}});
}

}  // namespace chalkshed
