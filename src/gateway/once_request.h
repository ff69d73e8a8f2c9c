// One request that must run at most once. It is claimed in the store, dispatched only by the holder
// of the claim, and later resends are answered from the stored record.
#pragma once

#include "src/gateway/active_request.h"
#include "src/gateway/answer_writer.h"
#include "src/gateway/gateway_environment.h"
#include "src/gateway/recording_writer.h"
#include "src/gateway/request_context.h"
#include "src/once/claim_registry.h"

namespace chalkshed {

class OnceRequest : public ActiveRequest {
 public:
  // Builds the request that is run under the claim.
  using RunFactory = std::function<ActiveRequestPtr(ResponseWriterPtr, DoneCallback)>;

  OnceRequest(GatewayEnvironment& environment, ClaimRegistry& claims, RequestContext context,
              ClaimRequest claim, RunFactory make_run, ResponseWriterPtr writer, DoneCallback done);
  void start() override;

 private:
  void on_claim(Expected<OnceClaimResult> result);
  void run(ClaimPtr claim);
  void on_run_done(const RequestOutcome& outcome);
  void on_deadline();
  void on_caller_gone();
  bool deadline_passed() const;
  void refuse(Error error);
  void end(const RequestOutcome& outcome);

  GatewayEnvironment& environment_;
  ClaimRegistry& claims_;
  const RequestContext context_;
  ClaimRequest claim_request_;
  RunFactory make_run_;
  ResponseWriterPtr writer_;
  DoneCallback done_;
  TimerPtr deadline_timer_;  // until the start of the run, which has its own
  bool ended_ = false;
  ClaimPtr claim_;
  std::shared_ptr<AnswerRecording> recording_;
  ActiveRequestPtr run_;
  // Expires with the request, so that a claim that arrives later is released.
  std::shared_ptr<OnceRequest*> self_ = std::make_shared<OnceRequest*>(this);
};

}  // namespace chalkshed
