// One online completion request, streamed or not.
#pragma once

#include "src/gateway/online_request.h"
#include "src/gateway/token_sequence.h"
#include "src/openai/completion.h"

namespace chalkshed {

class ModelRequest : public OnlineRequest, private GenerateCallbacks {
 public:
  ModelRequest(GatewayEnvironment& environment, RequestContext context,
               CompletionRequest completion, ResponseWriterPtr writer, DoneCallback done);

 private:
  void fill_route_request(RouteRequest& request) const override;
  void send_attempt() override;
  void drop_attempt() override;
  bool can_continue() const override { return true; }
  void abort_answer(const Error& error) override;

  void on_chunk(const GenerateChunk& chunk) override;
  void on_complete(const GenerateResult& result) override;
  void on_error(const Error& error) override;

  void on_stalled();
  // Sends the last `count` tokens to a streaming caller.
  void write_tokens(size_t count);
  bool write_stream(const std::string& events);
  void complete(const GenerateResult& result);
  void complete_at_limit();

  const CompletionRequest completion_;
  const CompletionIdentity answer_identity_;
  const CompletionStreamFormatter formatter_;
  TokenSequence tokens_;
  bool attempt_has_tokens_ = false;
  TimerPtr stall_timer_;  // armed between the chunks of an attempt
  GenerateStreamPtr stream_;
};

}  // namespace chalkshed
