#include "src/batch/batch_runner.h"

#include <algorithm>
#include <tuple>

#include "src/batch/work_demand.h"
#include "src/gateway/request_admission.h"

namespace chalkshed {
BatchRunner::BatchRunner(const NodeIdentity& identity, NodeDependencies& dependencies,
                         const ConfigurationSource& configuration, const MembershipView& membership,
                         PolicyEvaluator& policy, BatchSlots& slots, BatchStore& store,
                         BatchMetrics& metrics, const BatchKnobs& knobs)
    : dependencies_(dependencies),
      configuration_(configuration),
      policy_(policy),
      slots_(slots),
      store_(store),
      metrics_(metrics),
      knobs_(knobs),
      lease_(identity, dependencies, store, knobs,
             {[this] { on_lease_valid(); }, [this] { on_lease_lapsed(); },
              [this] { on_lease_lost(); }}),
      finder_(identity, dependencies, membership, store, board_, knobs,
              {[this](const JobId& job) { on_job_cancelled(job); },
               [this] {
                 chunks_scanned_ = true;
                 pump_later();
               }}),
      claimer_(store, lease_, knobs),
      pump_timer_(dependencies.dispatcher.create_timer([this] { pump(); })),
      drain_timer_(dependencies.dispatcher.create_timer([this] {
        for (const auto& [id, chunk] : chunks_) {
          chunk->release();
        }
      })) {}

void BatchRunner::start() {
  started_ = true;
  slots_.subscribe(lifetime_.guard([this] { pump_later(); }));
  finder_.start();
}

void BatchRunner::on_job_accepted(const OpenJobRow& job, RowVersion version) {
  board_.add(job, version);
  pump_later();
}

// ---- pump ----

void BatchRunner::pump_later() {
  if (pump_posted_ || !started_) {
    return;
  }
  pump_posted_ = true;
  dependencies_.dispatcher.post(lifetime_.guard([this] { pump(); }));
}

void BatchRunner::pump() {
  pump_posted_ = false;
  forget_ended_jobs();
  close_idle_session();
  adopt_cancelled_chunks();
  release_idle_chunks();
  start_items();
  claim_chunks();
  metrics_.chunks_held.set(static_cast<double>(chunks_.size()));
  metrics_.unsaved_result_bytes.set(static_cast<double>(unsaved_result_bytes_));
  metrics_.breaker_open.set(store_.breaker_open() ? 1 : 0);
}

void BatchRunner::start_items() {
  if (unsaved_result_bytes_ > knobs_.max_unsaved_result_bytes) {
    return;
  }
  if (knobs_.safeguards.lease_checked_before_side_effects && !lease_.valid()) {
    return;
  }
  std::set<std::string> blocked;
  for (uint32_t started = 0; started < knobs_.starts_per_turn;) {
    ChunkRun::Startable startable;
    ChunkRun* chunk = next_chunk(blocked, startable);
    if (chunk == nullptr) {
      return;
    }
    BatchSlotPtr slot = acquire(startable);
    if (slot == nullptr) {
      blocked.insert(startable.service);
      continue;
    }
    chunk->start_item(startable.item, std::move(slot));
    metrics_.items_started.add(1);
    ++started;
  }
  pump_later();
}

// The chunk whose item goes next: by the tenants' shares, then by deadline.
ChunkRun* BatchRunner::next_chunk(std::set<std::string>& blocked, ChunkRun::Startable& startable) {
  using Rank = std::tuple<double, uint64_t, JobId, uint32_t>;
  ChunkRun* best = nullptr;
  Rank best_rank;
  for (const auto& [id, chunk] : chunks_) {
    const auto found = chunk->next_startable(blocked);
    if (!found) {
      continue;
    }
    const JobRow& job = chunk->job();
    Rank rank(start_shares_.start_tag(job.tenant), job.deadline_us, id.job, id.number);
    if (best == nullptr || rank < best_rank) {
      best = chunk.get();
      best_rank = std::move(rank);
      startable = *found;
    }
  }
  return best;
}

BatchSlotPtr BatchRunner::acquire(const ChunkRun::Startable& startable) {
  BatchSlotPtr slot = slots_.try_acquire(startable.service, startable.prompt_tokens);
  if (slot == nullptr || slot->worker() != startable.avoided_worker) {
    return slot;
  }
  // One try for a worker other than the one that failed the item.
  BatchSlotPtr other = slots_.try_acquire(startable.service, startable.prompt_tokens);
  return other == nullptr ? std::move(slot) : std::move(other);
}

// ---- claims ----

void BatchRunner::claim_chunks() {
  if (draining_ || unsaved_result_bytes_ > knobs_.max_unsaved_result_bytes ||
      store_.breaker_open()) {
    return;
  }
  while (claims_in_flight_ < knobs_.parallel_claims) {
    const auto candidate = next_candidate();
    if (!candidate) {
      return;
    }
    if (!lease_.valid()) {
      lease_.open();
      return;
    }
    if (candidate->takeover && !take_takeover()) {
      return;
    }
    claim(*candidate);
  }
}

// The chunk to claim next: by the tenants' shares, then by deadline.
std::optional<ClaimCandidate> BatchRunner::next_candidate() {
  using Rank = std::tuple<double, uint64_t, JobId>;
  const auto claimable = [this](const std::string& session) {
    return finder_.session_dead(session) || (!session.empty() && session == lease_.session());
  };
  // Whether or not there is room for it: held, it is given back when it stays idle.
  if (chunks_scanned_ && !lease_.session().empty()) {
    if (auto unheld = board_.unheld_chunk_of(lease_.session())) {
      return unheld;
    }
    chunks_scanned_ = false;
  }
  const ConfigurationPtr configuration = configuration_.current();
  if (configuration == nullptr || board_.jobs().empty()) {
    return std::nullopt;
  }
  const WorkDemand demand(*configuration, slots_, chunks_, claimed_items_);
  if (!demand.wants_any()) {
    return std::nullopt;
  }
  std::vector<std::pair<Rank, const CachedJob*>> ranking;
  for (const auto& [id, job] : board_.jobs()) {
    if (!job.row.cancelled && demand.wants(job.row.job)) {
      const JobRow& row = job.row.job;
      ranking.emplace_back(Rank(claim_shares_.start_tag(row.tenant), row.deadline_us, id), &job);
    }
  }
  std::sort(ranking.begin(), ranking.end());
  for (const auto& [rank, job] : ranking) {
    auto candidate = board_.candidate(job->row.job.id, claimable);
    if (candidate) {
      return candidate;
    }
  }
  return std::nullopt;
}

// Takeovers after the loss of many nodes are spread out, so that they do not crowd the store.
bool BatchRunner::take_takeover() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  if (now < next_takeover_) {
    pump_timer_->enable(next_takeover_ - now);
    return false;
  }
  const Duration interval = store_.shared_interval(knobs_.takeovers_per_second, Duration(0));
  next_takeover_ = now + interval;
  return true;
}

void BatchRunner::claim(const ClaimCandidate& candidate) {
  board_.set_held(candidate.job, candidate.chunk, true);
  ++claims_in_flight_;
  const CachedJob* known = board_.find(candidate.job);
  const uint32_t items = known == nullptr ? 0 : known->row.job.chunk_items;
  claimed_items_ += items;
  claimer_.claim(candidate,
                 lifetime_.guard([this, candidate, items](const ChunkClaimResult& result) {
                   --claims_in_flight_;
                   claimed_items_ -= items;
                   on_claim(candidate, result);
                   pump_later();
                 }));
}

void BatchRunner::on_claim(const ClaimCandidate& candidate, const ChunkClaimResult& result) {
  if (result.end == ClaimEnd::kClaimed) {
    if (candidate.takeover) {
      metrics_.takeovers.add(1);
    }
    hold(candidate, result);
    return;
  }
  board_.set_held(candidate.job, candidate.chunk, false);
  CachedJob* known = board_.find(candidate.job);
  if (known == nullptr) {
    return;
  }
  if (result.end == ClaimEnd::kCancelled) {
    on_job_cancelled(candidate.job);
    return;
  }
  if (result.end == ClaimEnd::kFailed) {
    finder_.refresh(candidate.job);
    return;
  }
  if (result.version != 0) {
    board_.update_chunk(candidate.job, candidate.chunk, result.row, result.version);
    return;
  }
  // Taken by someone unknown; a version of 0 would have it claimed again at once.
  CachedChunk& chunk = known->chunks[candidate.chunk];
  chunk.state = ChunkState::kRunning;
  chunk.owner.clear();
  if (++known->conflicts >= knobs_.claim_conflicts_before_scan) {
    known->conflicts = 0;
    finder_.refresh(candidate.job);
  }
}

void BatchRunner::hold(const ClaimCandidate& candidate, const ChunkClaimResult& result) {
  board_.update_chunk(candidate.job, candidate.chunk, result.row, result.version);
  const CachedJob* known = board_.find(candidate.job);
  if (known == nullptr) {
    return;  // ended meanwhile; the row is no longer of use to anybody
  }
  const ChunkId id{candidate.job, candidate.chunk};
  const JobRow& job = known->row.job;
  const double weight = tenant_weight(job, job.models.empty() ? "" : job.models.front());
  claim_shares_.charge(job.tenant, job.chunk_items, weight);
  ChunkRun::Events events;
  events.on_ready = [this] { pump_later(); };
  events.on_end = [this, id](ChunkEnd how) {
    dependencies_.dispatcher.post(lifetime_.guard([this, id, how] { on_chunk_end(id, how); }));
  };
  events.on_item_charge = [this, tenant = job.tenant, weight](double cost) {
    start_shares_.charge(tenant, cost, weight);
  };
  ChunkEnvironment environment{dependencies_, configuration_,       policy_, store_, lease_,
                               knobs_,        unsaved_result_bytes_};
  auto chunk = std::make_unique<ChunkRun>(environment, job, candidate.chunk, result.row,
                                          result.version, std::move(events));
  ChunkRun* held = chunk.get();
  chunks_[id] = std::move(chunk);
  if (cancelled_jobs_.contains(id.job)) {
    held->cancel();
  } else if (draining_) {
    held->release();
  } else {
    held->load();
  }
}

void BatchRunner::on_chunk_end(const ChunkId& id, ChunkEnd how) {
  const auto found = chunks_.find(id);
  if (found == chunks_.end()) {
    return;
  }
  chunks_.erase(found);
  metrics_.count_chunk_end(how);
  CachedJob* known = board_.find(id.job);
  if (known != nullptr) {
    CachedChunk& chunk = known->chunks[id.number];
    chunk.held = false;
    if (how == ChunkEnd::kDone) {
      chunk.state = ChunkState::kDone;
    } else {
      // Not for us to take again before a scan has told its new state.
      chunk.owner.clear();
      finder_.refresh(id.job);
    }
  }
  if (draining_ && chunks_.empty() && claims_in_flight_ == 0) {
    finish_drain();
  }
  pump_later();
}

// A node without work renews no lease.
void BatchRunner::close_idle_session() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  if (!chunks_.empty() || claims_in_flight_ > 0 || !board_.jobs().empty()) {
    last_held_ = now;
  } else if (lease_.valid() && now - last_held_ > knobs_.idle_session) {
    lease_.close([] {});
  }
}

// A claim whose answer was lost for good may have taken effect: this session owns a chunk that it
// does not hold. An open job's is claimed anew; a cancelled job's must be confirmed as stopped.
void BatchRunner::adopt_cancelled_chunks() {
  if (!chunks_scanned_ || lease_.session().empty()) {
    return;
  }
  for (const ClaimCandidate& orphan : board_.cancelled_chunks_of(lease_.session())) {
    board_.set_held(orphan.job, orphan.chunk, true);
    ChunkClaimResult result;
    result.end = ClaimEnd::kClaimed;
    result.row = {ChunkState::kRunning, orphan.epoch, lease_.session(), "", 0, 0};
    result.version = orphan.version;
    cancelled_jobs_.insert(orphan.job);
    hold(orphan, result);
  }
}

void BatchRunner::forget_ended_jobs() {
  std::erase_if(cancelled_jobs_, [this](const JobId& job) {
    const auto chunk = chunks_.lower_bound(ChunkId{job, 0});
    const bool holds_chunk = chunk != chunks_.end() && chunk->first.job == job;
    return !holds_chunk && claims_in_flight_ == 0 && board_.find(job) == nullptr;
  });
}

void BatchRunner::release_idle_chunks() {
  const MonotonicTime now = dependencies_.time_source.monotonic_now();
  for (const auto& [id, chunk] : chunks_) {
    const auto idle_since = chunk->idle_since();
    // With results too: they are lost, but a node that holds no worker any more never gets further.
    if (idle_since && now - *idle_since > knobs_.idle_chunk_release) {
      chunk->release();
    }
  }
}

// ---- leases, cancelling, draining ----

void BatchRunner::on_lease_valid() {
  for (const auto& [id, chunk] : chunks_) {
    chunk->resume();
  }
  pump_later();
}

void BatchRunner::on_lease_lapsed() {
  metrics_.leases_lapsed.add(1);
  if (!knobs_.safeguards.lease_checked_before_side_effects) {
    return;
  }
  for (const auto& [id, chunk] : chunks_) {
    chunk->pause();
  }
}

void BatchRunner::on_lease_lost() {
  metrics_.leases_lost.add(1);
  if (!knobs_.safeguards.lease_checked_before_side_effects) {
    return;
  }
  for (const auto& [id, chunk] : chunks_) {
    board_.set_held(id.job, id.number, false);
  }
  chunks_.clear();
  if (draining_ && claims_in_flight_ == 0) {
    finish_drain();
  }
  pump_later();
}

void BatchRunner::on_job_cancelled(const JobId& job) {
  board_.mark_cancelled(job);
  cancelled_jobs_.insert(job);
  for (const auto& [id, chunk] : chunks_) {
    if (id.job == job) {
      chunk->cancel();
    }
  }
  finder_.refresh(job);
}

void BatchRunner::drain(std::function<void()> done) {
  draining_ = true;
  drained_ = std::move(done);
  finder_.stop();
  for (const auto& [id, chunk] : chunks_) {
    if (!chunk->has_results() && chunk->running_items() == 0) {
      chunk->release();
    }
  }
  if (chunks_.empty() && claims_in_flight_ == 0) {
    finish_drain();
    return;
  }
  drain_timer_->enable(knobs_.drain_grace);
}

void BatchRunner::finish_drain() {
  if (!drained_) {
    return;
  }
  drain_timer_->disable();
  lease_.close(std::exchange(drained_, nullptr));
}

// ---- configuration ----

double BatchRunner::tenant_weight(const JobRow& job, const std::string& model) const {
  const ConfigurationPtr configuration = configuration_.current();
  double weight = 1.0;
  if (configuration != nullptr) {
    const auto tenant = configuration->tenants.find(job.tenant);
    weight = tenant == configuration->tenants.end() ? 1.0 : tenant->second.batch_weight;
  }
  RequestAttributes attributes;
  if (configuration != nullptr) {
    const auto service = find_service_of_model(*configuration, model);
    attributes.service = service ? (*service)->name : "";
  }
  attributes.tenant = job.tenant;
  attributes.model = model;
  attributes.path = job.endpoint;
  attributes.batch = true;
  return weight * policy_.evaluate(attributes).batch_weight;
}

}  // namespace chalkshed
