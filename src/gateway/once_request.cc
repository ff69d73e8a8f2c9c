#include "src/gateway/once_request.h"

namespace chalkshed {
namespace {

// The request has ended: nothing was dispatched under the claim, and nothing will be.
void release_unused(Expected<OnceClaimResult>& result) {
  if (!result) {
    return;
  }
  if (auto* claim = std::get_if<ClaimPtr>(&*result)) {
    (*claim)->release();
  }
}

}  // namespace

OnceRequest::OnceRequest(GatewayEnvironment& environment, ClaimRegistry& claims,
                         RequestContext context, ClaimRequest claim, RunFactory make_run,
                         ResponseWriterPtr writer, DoneCallback done)
    : environment_(environment),
      claims_(claims),
      context_(std::move(context)),
      claim_request_(std::move(claim)),
      make_run_(std::move(make_run)),
      writer_(std::move(writer)),
      done_(std::move(done)),
      deadline_timer_(environment.dispatcher.create_timer([this] { on_deadline(); })) {}

void OnceRequest::start() {
  if (!environment_.knobs.safeguards.claim_before_dispatch) {
    return run(nullptr);
  }
  writer_->set_on_closed([this] { on_caller_gone(); });
  const Duration time_left = context_.deadline - environment_.time_source.monotonic_now();
  deadline_timer_->enable(std::max(time_left, Duration(0)));
  claims_.claim(claim_request_,
                [self = std::weak_ptr<OnceRequest*>(self_)](Expected<OnceClaimResult> result) {
                  const std::shared_ptr<OnceRequest*> request = self.lock();
                  if (request && !(*request)->ended_) {
                    (*request)->on_claim(std::move(result));
                  } else {
                    release_unused(result);
                  }
                });
}

bool OnceRequest::deadline_passed() const {
  return environment_.knobs.safeguards.deadline_checked_before_dispatch &&
         environment_.time_source.monotonic_now() >= context_.deadline;
}

void OnceRequest::on_claim(Expected<OnceClaimResult> result) {
  if (!result) {
    return refuse(result.error());
  }
  if (auto* stored = std::get_if<HttpResponse>(&*result)) {
    AnswerWriter answer(std::move(writer_), context_.request_id, environment_.knobs);
    answer.respond(std::move(*stored));
    return end({RequestEnd::kAnswered, Ran::kUnknown, std::nullopt});
  }
  ClaimPtr claim = std::get<ClaimPtr>(std::move(*result));
  if (deadline_passed()) {
    // The node may have been paused since it sent the claim.
    claim->release();
    return on_deadline();
  }
  run(std::move(claim));
}

void OnceRequest::run(ClaimPtr claim) {
  deadline_timer_->disable();
  claim_ = std::move(claim);
  recording_ = std::make_shared<AnswerRecording>(environment_.knobs.claims.max_stored_answer_bytes);
  auto writer = std::make_unique<RecordingWriter>(std::move(writer_), recording_,
                                                  environment_.knobs.max_buffered_answer_bytes);
  run_ =
      make_run_(std::move(writer), [this](const RequestOutcome& outcome) { on_run_done(outcome); });
  run_->start();
}

void OnceRequest::on_run_done(const RequestOutcome& outcome) {
  if (claim_ && outcome.end == RequestEnd::kAnswered) {
    claim_->finish(recording_->take());
  } else if (claim_ && outcome.ran == Ran::kNo) {
    claim_->release();
  }
  end(outcome);
}

void OnceRequest::on_deadline() {
  refuse(not_run(ErrorKind::kDeadlineExceeded,
                 "the request could not be claimed before its deadline",
                 "retry with the same Idempotency-Key"));
}

void OnceRequest::on_caller_gone() { end({RequestEnd::kCallerGone, Ran::kNo, std::nullopt}); }

void OnceRequest::refuse(Error error) {
  const Ran ran = error.ran;
  AnswerWriter answer(std::move(writer_), context_.request_id, environment_.knobs);
  answer.refuse(error);
  end({RequestEnd::kFailed, ran, std::move(error)});
}

void OnceRequest::end(const RequestOutcome& outcome) {
  if (!ended_) {
    ended_ = true;
    deadline_timer_->disable();
    done_(outcome);
  }
}

}  // namespace chalkshed
