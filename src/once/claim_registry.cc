#include "src/once/claim_registry.h"

namespace chalkshed {
namespace {

// If the first run is in progress at a resend, it has often finished after this time.
constexpr Duration kUnfinishedRetryAfter = std::chrono::seconds(2);

Error store_unavailable(const Error& cause) {
  Error error =
      not_run(ErrorKind::kStoreUnavailable, "the request could not be claimed: " + cause.message,
              "retry with the same Idempotency-Key");
  error.retry_after = cause.retry_after;
  return error;
}

Error key_conflict() {
  return not_run(ErrorKind::kConflict, "the Idempotency-Key was used for a different request",
                 "use a new key for a new request; a resend must be identical byte for byte");
}

Error unfinished(const ClaimRecord& holder) {
  Error error = maybe_run(
      ErrorKind::kOutcomeUnknown,
      "a request with this Idempotency-Key was claimed by node " + holder.node +
          " and has not finished",
      "retry with the same key to get its answer; it is never run a second time. If the error "
      "persists, check the effect at its target");
  error.retry_after = kUnfinishedRetryAfter;
  return error;
}

Error answer_not_kept() {
  return maybe_run(ErrorKind::kOutcomeUnknown,
                   "the request with this Idempotency-Key ran, but its answer was too large to "
                   "store",
                   "check the effect at its target; it is never run a second time");
}

}  // namespace

void Claim::finish(std::optional<HttpResponse> answer) {
  record_.state = ClaimState::kFinished;
  record_.answer = std::move(answer);
  registry_.outcome_writer_.write(row_, record_);
}

void Claim::release() {
  record_.state = ClaimState::kNotRun;
  registry_.outcome_writer_.write(row_, record_);
}

ClaimRegistry::ClaimRegistry(const NodeIdentity& identity, NodeDependencies& dependencies,
                             const ClaimKnobs& knobs)
    : node_id_(identity.id),
      incarnation_(identity.incarnation),
      time_source_(dependencies.time_source),
      store_(dependencies.table_store),
      knobs_(knobs),
      outcome_writer_(store_, dependencies.dispatcher, dependencies.logger, knobs) {}

void ClaimRegistry::claim(ClaimRequest request, ClaimCallback callback) {
  auto call = std::make_shared<ClaimCall>();
  call->key = claim_row_key(request.tenant, request.idempotency_key);
  call->record.request_digest = std::move(request.request_digest);
  call->record.attempt = next_attempt();
  call->record.node = node_id_;
  const auto wall_time = time_source_.wall_now().time_since_epoch();
  call->record.claimed_at_seconds =
      std::chrono::duration_cast<std::chrono::seconds>(wall_time).count();
  call->callback = std::move(callback);
  insert(call);
}

void ClaimRegistry::insert(const ClaimCallPtr& call) {
  ++call->inserts;
  Transaction transaction;
  if (knobs_.safeguards.conditional_insert) {
    transaction.conditions.push_back({call->key, call->expected_version});
  }
  transaction.writes.push_back({call->key, encode_claim_record(call->record)});
  store_.commit(std::move(transaction),
                lifetime_.guard([this, call](const Expected<CommitResult>& result) {
                  on_insert(call, result);
                }));
}

// Safe even if an earlier insert is still applied: both have the same attempt and the same
// condition, so at most one of them takes effect.
void ClaimRegistry::insert_again(const ClaimCallPtr& call) {
  if (call->inserts < knobs_.max_inserts) {
    return insert(call);
  }
  const Error cause =
      not_run(ErrorKind::kStoreUnavailable, "the store's answers were lost repeatedly", "");
  refuse(call, store_unavailable(cause));
}

void ClaimRegistry::on_insert(const ClaimCallPtr& call, const Expected<CommitResult>& result) {
  if (result && result->committed) {
    return grant(call, result->versions.front());
  }
  if (result) {
    return read_holder(call);
  }
  if (result.error().ran == Ran::kNo) {
    return refuse(call, store_unavailable(result.error()));
  }
  call->may_be_stored = true;
  if (!knobs_.safeguards.read_back_lost_commit) {
    return grant(call, std::nullopt);
  }
  read_holder(call);
}

void ClaimRegistry::read_holder(const ClaimCallPtr& call) {
  store_.read(call->key, lifetime_.guard([this, call](const Expected<std::optional<Row>>& row) {
    on_holder(call, row);
  }));
}

void ClaimRegistry::on_holder(const ClaimCallPtr& call, const Expected<std::optional<Row>>& row) {
  if (!row) {
    return refuse(call, store_unavailable(row.error()));
  }
  if (!*row) {
    return insert_again(call);
  }
  const Expected<ClaimRecord> holder = decode_claim_record((*row)->value);
  if (!holder) {
    return refuse(call, holder.error());
  }
  resolve_from(call, **row, *holder);
}

void ClaimRegistry::resolve_from(const ClaimCallPtr& call, const Row& row,
                                 const ClaimRecord& holder) {
  if (holder.attempt == call->record.attempt) {
    return grant(call, row.version);  // the insert whose answer was lost took effect
  }
  const bool same_request = holder.request_digest == call->record.request_digest;
  if (knobs_.safeguards.digest_checked && !same_request) {
    return refuse(call, key_conflict());
  }
  switch (holder.state) {
    case ClaimState::kClaimed:
      return refuse(call, unfinished(holder));
    case ClaimState::kFinished:
      if (!holder.answer) {
        return refuse(call, answer_not_kept());
      }
      return call->callback(OnceClaimResult(*holder.answer));
    case ClaimState::kNotRun:
      call->expected_version = row.version;
      return insert_again(call);
  }
}

void ClaimRegistry::grant(const ClaimCallPtr& call, std::optional<RowVersion> version) {
  call->callback(
      OnceClaimResult(std::make_unique<Claim>(*this, ClaimRow{call->key, version}, call->record)));
}

void ClaimRegistry::refuse(const ClaimCallPtr& call, Error error) {
  if (call->may_be_stored) {
    ClaimRecord record = call->record;
    record.state = ClaimState::kNotRun;
    outcome_writer_.write({call->key, std::nullopt}, std::move(record));
  }
  call->callback(tl::unexpected(std::move(error)));
}

std::string ClaimRegistry::next_attempt() {
  return node_id_ + "/" + std::to_string(incarnation_) + "/" + std::to_string(next_attempt_++);
}

}  // namespace chalkshed
