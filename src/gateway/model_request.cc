#include "src/gateway/model_request.h"

namespace chalkshed {
namespace {

CompletionIdentity make_identity(GatewayEnvironment& environment,
                                 const CompletionRequest& completion) {
  const auto now = environment.time_source.wall_now().time_since_epoch();
  return {completion.api, environment.unique_ids.next(), completion.model,
          std::chrono::duration_cast<std::chrono::seconds>(now).count()};
}

}  // namespace

ModelRequest::ModelRequest(GatewayEnvironment& environment, RequestContext context,
                           CompletionRequest completion, ResponseWriterPtr writer,
                           DoneCallback done)
    : OnlineRequest(environment, std::move(context), std::move(writer), std::move(done)),
      completion_(std::move(completion)),
      answer_identity_(make_identity(environment, completion_)),
      formatter_(answer_identity_, completion_.include_usage),
      tokens_(environment.knobs.safeguards.resume_checks_token_index),
      stall_timer_(environment.dispatcher.create_timer([this] { on_stalled(); })) {}

void ModelRequest::fill_route_request(RouteRequest& request) const {
  request.prompt = completion_.prompt;
  request.prompt_tokens = completion_.prompt_tokens;
  request.max_tokens = completion_.max_tokens;
}

void ModelRequest::send_attempt() {
  const GatewayKnobs& knobs = environment().knobs;
  GenerateRequest request;
  request.attempt_id = environment().unique_ids.next();
  request.model = completion_.model;
  request.prompt = completion_.prompt;
  request.max_tokens = completion_.max_tokens;
  request.priority = EnginePriority::kOnline;
  request.resumed_tokens = tokens_.tokens();
  request.fresh_connection =
      !context().repeatable && knobs.safeguards.fresh_connection_when_not_repeatable;
  request.connect_timeout = std::min(knobs.connect_timeout, time_left());
  request.idle_timeout = first_answer_timeout();
  attempt_has_tokens_ = false;
  stream_ = environment().engine_client.generate(routed().address(), std::move(request), *this);
}

void ModelRequest::drop_attempt() {
  stall_timer_->disable();
  stream_.reset();
}

void ModelRequest::on_stalled() {
  attempt_failed(maybe_run(ErrorKind::kUpstreamFailed,
                           "the worker stopped sending during its answer", "retry the request"));
}

void ModelRequest::on_chunk(const GenerateChunk& chunk) {
  stall_timer_->enable(environment().knobs.idle_timeout);
  routed().report_load(chunk.load);
  if (!attempt_has_tokens_ && !chunk.tokens.empty()) {
    attempt_has_tokens_ = true;
    routed().report_first_token();
  }
  const Expected<size_t> added = tokens_.add(chunk);
  if (!added) {
    return attempt_failed(added.error());
  }
  if (completion_.stream && *added > 0) {
    write_tokens(*added);
  }
}

void ModelRequest::on_complete(const GenerateResult& result) {
  routed().report_load(result.load);
  const bool complete_answer = result.completion_tokens == tokens_.tokens().size();
  if (!complete_answer && environment().knobs.safeguards.end_mark_required) {
    return attempt_failed(maybe_run(ErrorKind::kUpstreamFailed,
                                    "the worker ended its stream after " +
                                        std::to_string(tokens_.tokens().size()) + " of " +
                                        std::to_string(result.completion_tokens) + " tokens",
                                    "retry the request"));
  }
  complete(result);
}

void ModelRequest::on_error(const Error& error) {
  if (tokens_.tokens().size() >= completion_.max_tokens) {
    return complete_at_limit();
  }
  if (!environment().knobs.safeguards.end_mark_required && !tokens_.tokens().empty()) {
    return complete({});
  }
  attempt_failed(error);
}

// Only the end mark is missing, and its finish reason could only be "length".
void ModelRequest::complete_at_limit() {
  GenerateResult result;
  result.finish_reason = FinishReason::kLength;
  result.prompt_tokens = completion_.prompt_tokens;
  complete(result);
}

void ModelRequest::write_tokens(size_t count) {
  std::string events;
  const std::vector<std::string>& tokens = tokens_.tokens();
  for (size_t index = tokens.size() - count; index < tokens.size(); ++index) {
    events += formatter_.text(tokens[index]);
  }
  write_stream(events);
}

bool ModelRequest::write_stream(const std::string& events) {
  std::string opening;
  if (!answer().started()) {
    answer().start(200, {{"Content-Type", "text/event-stream"}, {"Cache-Control", "no-cache"}});
    opening = formatter_.opening();
  }
  if (answer().write(opening + events)) {
    return true;
  }
  handle_slow_reader();
  return false;
}

void ModelRequest::complete(const GenerateResult& result) {
  const CompletionUsage usage = {result.prompt_tokens, result.cached_prompt_tokens,
                                 static_cast<uint32_t>(tokens_.tokens().size())};
  if (completion_.stream) {
    if (!write_stream(formatter_.closing(result.finish_reason, usage))) {
      return;
    }
    answer().finish();
  } else {
    answer().respond(
        {200,
         {{"Content-Type", "application/json"}},
         format_completion(answer_identity_, tokens_.text(), result.finish_reason, usage)});
  }
  answered();
}

// Sends an error event and aborts the connection, without the [DONE] mark.
void ModelRequest::abort_answer(const Error& error) {
  answer().write(CompletionStreamFormatter::failure(error));
  answer().abort();
}

}  // namespace chalkshed
