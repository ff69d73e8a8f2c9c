// Runs batch work on this node: claims chunks while workers have room for batch, starts their
// items, and gives everything back when the node stops.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>

#include "src/batch/batch_knobs.h"
#include "src/batch/batch_metrics.h"
#include "src/batch/chunk_claimer.h"
#include "src/batch/chunk_run.h"
#include "src/batch/open_job_cache.h"
#include "src/batch/session_lease.h"
#include "src/batch/tenant_shares.h"
#include "src/batch/work_finder.h"

namespace chalkshed {

class BatchRunner {
 public:
  BatchRunner(const NodeIdentity& identity, NodeDependencies& dependencies,
              const ConfigurationSource& configuration, const MembershipView& membership,
              PolicyEvaluator& policy, BatchSlots& slots, BatchStore& store, BatchMetrics& metrics,
              const BatchKnobs& knobs);

  void start();
  // Claims nothing more; ends when the chunks held are done or, after a grace, given back.
  void drain(std::function<void()> done);
  // A job that this node or a peer has just accepted.
  void on_job_accepted(const OpenJobRow& job, RowVersion version);
  // A job is known to be cancelled: stops its items at once.
  void on_job_cancelled(const JobId& job);

  size_t chunks_held() const { return chunks_.size(); }

 private:
  void pump_later();
  void pump();
  void start_items();
  ChunkRun* next_chunk(std::set<std::string>& blocked, ChunkRun::Startable& startable);
  BatchSlotPtr acquire(const ChunkRun::Startable& startable);
  void claim_chunks();
  std::optional<ClaimCandidate> next_candidate();
  bool take_takeover();
  void claim(const ClaimCandidate& candidate);
  void on_claim(const ClaimCandidate& candidate, const ChunkClaimResult& result);
  void hold(const ClaimCandidate& candidate, const ChunkClaimResult& result);
  void on_chunk_end(const ChunkId& id, ChunkEnd how);
  void on_lease_valid();
  void on_lease_lapsed();
  void on_lease_lost();
  void release_idle_chunks();
  void forget_ended_jobs();
  void close_idle_session();
  void adopt_cancelled_chunks();
  void finish_drain();
  double tenant_weight(const JobRow& job, const std::string& model) const;

  NodeDependencies& dependencies_;
  const ConfigurationSource& configuration_;
  PolicyEvaluator& policy_;
  BatchSlots& slots_;
  BatchStore& store_;
  BatchMetrics& metrics_;
  const BatchKnobs& knobs_;
  OpenJobCache board_;
  SessionLease lease_;
  WorkFinder finder_;
  ChunkClaimer claimer_;
  TenantShares claim_shares_;  // in items
  TenantShares start_shares_;  // in tokens
  size_t unsaved_result_bytes_ = 0;
  std::map<ChunkId, std::unique_ptr<ChunkRun>> chunks_;
  std::set<JobId> cancelled_jobs_;  // of which chunks may still be claimed or held
  uint32_t claims_in_flight_ = 0;
  uint32_t claimed_items_ = 0;  // of the claims in flight
  MonotonicTime next_takeover_{};
  MonotonicTime last_held_{};  // when this node last held a chunk
  bool pump_posted_ = false;
  bool chunks_scanned_ = false;  // since unheld chunks of this session were looked for
  bool started_ = false;
  bool draining_ = false;
  std::function<void()> drained_;
  TimerPtr pump_timer_;
  TimerPtr drain_timer_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
