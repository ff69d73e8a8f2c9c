#include "src/batch/item_attempt.h"

namespace chalkshed {

ItemAttempt::ItemAttempt(NodeDependencies& dependencies, BatchSlotPtr slot, GenerateRequest request,
                         std::vector<std::string>& tokens, Done done)
    : dependencies_(dependencies),
      slot_(std::move(slot)),
      worker_(slot_->worker()),
      tokens_(tokens),
      done_(std::move(done)) {
  slot_->set_on_revoked(lifetime_.guard([this] { on_revoked(); }));
  request.resumed_tokens = tokens_;
  stream_ = dependencies_.engine_client.generate(slot_->address(), std::move(request), *this);
}

ItemAttempt::~ItemAttempt() = default;

void ItemAttempt::on_chunk(const GenerateChunk& chunk) {
  slot_->report_load(chunk.load);
  if (chunk.first_index != tokens_.size()) {
    fail(maybe_run(ErrorKind::kUpstreamFailed,
                   "worker " + worker_ + " sent token " + std::to_string(chunk.first_index) +
                       " where " + std::to_string(tokens_.size()) + " was due",
                   "the item is resumed from its last good token"));
    return;
  }
  if (chunk.tokens.empty()) {
    return;
  }
  progressed_ = true;
  tokens_.insert(tokens_.end(), chunk.tokens.begin(), chunk.tokens.end());
  if (!first_token_reported_) {
    first_token_reported_ = true;
    slot_->report_first_token();
  }
}

void ItemAttempt::on_complete(const GenerateResult& result) {
  slot_->report_load(result.load);
  if (result.completion_tokens != tokens_.size()) {
    const size_t arrived = tokens_.size();
    tokens_.clear();
    fail(maybe_run(ErrorKind::kUpstreamFailed,
                   "worker " + worker_ + " counts " + std::to_string(result.completion_tokens) +
                       " tokens where " + std::to_string(arrived) + " arrived",
                   "the item is run anew"));
    return;
  }
  result_ = result;
  slot_->report_success();
  end(AttemptOutcome::kCompleted);
}

void ItemAttempt::on_error(const Error& error) { fail(error); }

void ItemAttempt::fail(Error error) {
  error_ = std::move(error);
  slot_->report_failure(error_);
  end(AttemptOutcome::kFailed);
}

void ItemAttempt::on_revoked() {
  stream_.reset();
  // Later, since it gives the slot back, and the slot is the one that is calling us.
  dependencies_.dispatcher.post(lifetime_.guard([this] { end(AttemptOutcome::kRevoked); }));
}

void ItemAttempt::end(AttemptOutcome how) {
  stream_.reset();
  slot_.reset();
  const Done done = std::move(done_);
  done(how);
}

}  // namespace chalkshed
