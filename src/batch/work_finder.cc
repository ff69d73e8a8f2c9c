#include "src/batch/work_finder.h"

#include <algorithm>

namespace chalkshed {
namespace {

// Gathers what several chunks want to have read.
constexpr Duration kRefreshDelay = std::chrono::milliseconds(20);
// How long the node that is to delete an expired session may take.
constexpr Duration kDeletionPatience = std::chrono::seconds(3);

}  // namespace

WorkFinder::WorkFinder(const NodeIdentity& identity, NodeDependencies& dependencies,
                       const MembershipView& membership, BatchStore& store, OpenJobCache& board,
                       const BatchKnobs& knobs, Events events)
    : identity_(identity),
      dependencies_(dependencies),
      membership_(membership),
      store_(store),
      board_(board),
      knobs_(knobs),
      events_(std::move(events)),
      finisher_(dependencies, store),
      watch_(knobs.lease_margin),
      timer_(dependencies.dispatcher.create_timer([this] { begin_round(); })),
      refresh_timer_(dependencies.dispatcher.create_timer([this] { scan_requested(); })) {}

void WorkFinder::start() {
  stopped_ = false;
  timer_->enable(Duration(0));
}

void WorkFinder::stop() {
  stopped_ = true;
  timer_->disable();
  refresh_timer_->disable();
}

void WorkFinder::refresh(const JobId& job) {
  requested_.insert(job);
  if (!stopped_ && !refresh_timer_->enabled()) {
    refresh_timer_->enable(kRefreshDelay);
  }
}

void WorkFinder::scan_requested() {
  const std::set<JobId> jobs = std::exchange(requested_, {});
  for (const JobId& job : jobs) {
    scan_job(job, [this] { events_.on_found(); });
  }
}

void WorkFinder::begin_round() {
  if (stopped_ || in_round_) {
    return;
  }
  in_round_ = true;
  update_position();
  store_.scan_all(
      StoreUrgency::kBackground, kOpenJobTable, "",
      lifetime_.guard([this](Expected<std::vector<Row>> rows) { on_open_jobs(std::move(rows)); }));
}

// Nodes begin at evenly spaced chunks of a job, so that they seldom claim the same one.
void WorkFinder::update_position() {
  const std::vector<Member> members = membership_.members();
  const auto self = std::find_if(members.begin(), members.end(), [this](const Member& member) {
    return member.id == identity_.id;
  });
  if (self != members.end()) {
    board_.set_node_position(static_cast<double>(self - members.begin()) /
                             static_cast<double>(members.size()));
  }
}

void WorkFinder::on_open_jobs(Expected<std::vector<Row>> rows) {
  if (!rows) {
    ++failures_;
    end_round();
    return;
  }
  failures_ = 0;
  for (const JobId& job : board_.update_open_jobs(*rows)) {
    events_.on_cancelled(job);
  }
  scans_ = jobs_to_scan();
  scan_jobs();
}

std::vector<JobId> WorkFinder::jobs_to_scan() {
  std::set<JobId> chosen;
  JobId idle;
  JobId first_idle;
  const auto dead = [this](const std::string& session) { return session_dead(session); };
  for (const auto& [id, job] : board_.jobs()) {
    if (ends_here(id)) {
      chosen.insert(id);
      continue;
    }
    if (board_.candidate(id, dead)) {
      continue;
    }
    first_idle = first_idle.empty() ? id : first_idle;
    idle = idle.empty() && id > last_idle_scan_ ? id : idle;
  }
  idle = idle.empty() ? first_idle : idle;
  if (!idle.empty()) {
    chosen.insert(idle);
    last_idle_scan_ = idle;
  }
  return {chosen.rbegin(), chosen.rend()};
}

bool WorkFinder::ends_here(const JobId& job) const {
  return rendezvous_owner(job, membership_.members()) == identity_.id;
}

void WorkFinder::scan_jobs() {
  if (scans_.empty()) {
    check_sessions();
    return;
  }
  const JobId job = scans_.back();
  scans_.pop_back();
  scan_job(job, [this] { scan_jobs(); });
}

template <typename Done>
void WorkFinder::scan_job(const JobId& job, Done done) {
  const CachedJob* known = board_.find(job);
  if (known == nullptr) {
    done();
    return;
  }
  // Whether the job is cancelled must be known before its chunks are read: only then can no claim
  // follow the reading.
  store_.scan_all(StoreUrgency::kBackground, kChunkTable, chunk_prefix(job),
                  lifetime_.guard([this, row = known->row, done](Expected<std::vector<Row>> rows) {
                    on_chunks(row, std::move(rows));
                    done();
                  }));
}

void WorkFinder::on_chunks(const OpenJobRow& job, Expected<std::vector<Row>> rows) {
  if (!rows) {
    return;
  }
  board_.update_chunks(job.job.id, *rows);
  const auto dead = [this](const std::string& session) { return session_dead(session); };
  const auto end = finisher_.end_of(job, *rows, dead);
  if (!end) {
    return;
  }
  finisher_.end_job(job, *end, lifetime_.guard([this, id = job.job.id](bool ended) {
    if (ended) {
      board_.remove(id);
    }
  }));
}

void WorkFinder::check_sessions() {
  const std::set<std::string> owners = board_.owners();
  watch_.retain(owners);
  for (const std::string& session : owners) {
    watch_.watch(session);
  }
  const std::set<std::string> asked = watch_.watched();
  if (asked.empty()) {
    end_round();
    return;
  }
  store_.scan_all(StoreUrgency::kBackground, session_key("").table, "",
                  lifetime_.guard([this, asked](Expected<std::vector<Row>> rows) {
                    if (rows) {
                      const MonotonicTime now = dependencies_.time_source.monotonic_now();
                      for (const auto& expired : watch_.observe(asked, *rows, now)) {
                        if (deletes_here(expired)) {
                          delete_session(expired);
                        }
                      }
                    }
                    end_round();
                  }));
}

// One node deletes an expired session; the others step in if it does not.
bool WorkFinder::deletes_here(const SessionWatch::Expired& expired) const {
  if (rendezvous_owner(expired.session, membership_.members()) == identity_.id) {
    return true;
  }
  return expired.overdue >
         kDeletionPatience + Duration(static_cast<int64_t>(dependencies_.random.below(
                                 static_cast<uint64_t>(kDeletionPatience.count()))));
}

void WorkFinder::delete_session(const SessionWatch::Expired& expired) {
  Transaction transaction;
  transaction.conditions.push_back({session_key(expired.session), expired.version});
  transaction.writes.push_back({session_key(expired.session), std::nullopt});
  store_.commit(StoreUrgency::kBackground, std::move(transaction),
                lifetime_.guard([this, session = expired.session](Expected<CommitResult> result) {
                  if (!result || !result->committed) {
                    return;  // the next round sees what became of it
                  }
                  dependencies_.logger.write(LogLevel::kWarning, "batch_session_expired",
                                             {{"session", session}});
                  watch_.mark_dead(session);
                  events_.on_found();
                }));
}

void WorkFinder::end_round() {
  in_round_ = false;
  if (stopped_) {
    return;
  }
  const Duration interval = store_.shared_interval(knobs_.polls_per_second, knobs_.poll_interval);
  // Jitter of a quarter keeps the nodes from marching in step.
  const auto quarter = static_cast<uint64_t>(interval.count() / 4);
  const Duration failure_pause = failures_ == 0 ? Duration(0) : store_.backoff(failures_);
  const Duration jitter(static_cast<int64_t>(dependencies_.random.below(quarter + 1)));
  timer_->enable(interval - jitter + failure_pause);
  events_.on_found();
}

}  // namespace chalkshed
