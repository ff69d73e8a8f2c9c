// Claims that make a request run at most once across all nodes, resends and store failures.
//
// A request is claimed in the platform's table before it is dispatched. The holder of the claim
// dispatches it; all others are answered from the record. A claim is never taken from its holder,
// so a holder that was paused for any time is still the only one that dispatched the request.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "src/core/lifetime.h"
#include "src/node/node_dependencies.h"
#include "src/once/claim_knobs.h"
#include "src/once/claim_outcome_writer.h"
#include "src/once/claim_record.h"

namespace chalkshed {

class ClaimRegistry;

// The right to dispatch one request once. Destroying it without finish() or release() leaves the
// key claimed: resends fail with kOutcomeUnknown.
class Claim {
 public:
  Claim(ClaimRegistry& registry, ClaimRow row, ClaimRecord record)
      : registry_(registry), row_(std::move(row)), record_(std::move(record)) {}

  // The request ran; resends get `answer`, which is empty if it was not stored completely.
  void finish(std::optional<HttpResponse> answer);
  // The request was not dispatched and never will be; the key may be claimed again.
  void release();

 private:
  ClaimRegistry& registry_;
  ClaimRow row_;
  ClaimRecord record_;
};
using ClaimPtr = std::unique_ptr<Claim>;

// The right to dispatch, or the answer of the run that has already finished.
using OnceClaimResult = std::variant<ClaimPtr, HttpResponse>;
// Called exactly once; the receiver takes ownership of the result.
using ClaimCallback = std::function<void(Expected<OnceClaimResult>)>;

struct ClaimRequest {
  std::string tenant;
  std::string idempotency_key;
  std::string request_digest;
};

class ClaimRegistry {
 public:
  ClaimRegistry(const NodeIdentity& identity, NodeDependencies& dependencies,
                const ClaimKnobs& knobs);

  // Errors: kConflict (not run: the key belongs to a different request), kOutcomeUnknown (claimed
  // by a run that is in progress or whose outcome is lost, or finished without a stored answer),
  // kStoreUnavailable (not run).
  void claim(ClaimRequest request, ClaimCallback callback);

  // @return the number of outcomes that aren't stored yet.
  size_t pending_outcomes() const { return outcome_writer_.pending(); }

 private:
  friend class Claim;
  // A call of claim() in progress.
  struct ClaimCall {
    RowKey key;
    ClaimRecord record;
    ClaimCallback callback;
    RowVersion expected_version = 0;  // version of the row that the claim replaces
    uint32_t inserts = 0;
    bool may_be_stored = false;  // an insert's answer was lost: the claim may be in the store
  };
  using ClaimCallPtr = std::shared_ptr<ClaimCall>;

  void insert(const ClaimCallPtr& call);
  void on_insert(const ClaimCallPtr& call, const Expected<CommitResult>& result);
  // Retries the insert unless max_inserts is reached.
  void insert_again(const ClaimCallPtr& call);
  void read_holder(const ClaimCallPtr& call);
  void on_holder(const ClaimCallPtr& call, const Expected<std::optional<Row>>& row);
  void resolve_from(const ClaimCallPtr& call, const Row& row, const ClaimRecord& holder);
  void grant(const ClaimCallPtr& call, std::optional<RowVersion> version);
  // Refuses the request. If its claim may be in the store, it is released, since it will not be
  // used.
  void refuse(const ClaimCallPtr& call, Error error);
  std::string next_attempt();

  const std::string node_id_;
  const uint64_t incarnation_;
  TimeSource& time_source_;
  TableStore& store_;
  ClaimKnobs knobs_;
  ClaimOutcomeWriter outcome_writer_;
  uint64_t next_attempt_ = 0;
  Lifetime lifetime_;
};

}  // namespace chalkshed
