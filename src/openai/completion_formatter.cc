#include <nlohmann/json.hpp>

#include "src/http/error_response.h"
#include "src/openai/completion.h"

namespace chalkshed {
namespace {

using Json = nlohmann::json;

constexpr std::string_view kDoneEvent = "data: [DONE]\n\n";

// Text from external sources may contain invalid UTF-8, which is replaced instead of throwing.
std::string to_text(const Json& value) {
  return value.dump(-1, ' ', false, Json::error_handler_t::replace);
}

std::string json_string(std::string_view text) { return to_text(Json(text)); }

std::string_view finish_reason_name(FinishReason reason) {
  return reason == FinishReason::kStop ? "stop" : "length";
}

std::string response_id(const CompletionIdentity& identity) {
  const char* prefix = identity.api == CompletionApi::kChat ? "chatcmpl-" : "cmpl-";
  return prefix + identity.request_id;
}

Json usage_json(const CompletionUsage& usage) {
  return {{"prompt_tokens", usage.prompt_tokens},
          {"completion_tokens", usage.completion_tokens},
          {"total_tokens", usage.prompt_tokens + usage.completion_tokens},
          {"prompt_tokens_details", {{"cached_tokens", usage.cached_prompt_tokens}}}};
}

Json choice_json(CompletionApi api, std::string_view text, FinishReason finish_reason) {
  Json choice = {
      {"index", 0}, {"finish_reason", finish_reason_name(finish_reason)}, {"logprobs", nullptr}};
  if (api == CompletionApi::kChat) {
    choice["message"] = {{"role", "assistant"}, {"content", text}, {"refusal", nullptr}};
  } else {
    choice["text"] = text;
  }
  return choice;
}

Json model_json(std::string_view model, int64_t created_seconds) {
  return {
      {"id", model}, {"object", "model"}, {"created", created_seconds}, {"owned_by", "chalkshed"}};
}

std::string data_event(std::string_view json) {
  std::string event = "data: ";
  event += json;
  event += "\n\n";
  return event;
}

std::string text_choice(std::string_view quoted_text, std::string_view finish_reason) {
  std::string choice = R"({"index":0,"text":)";
  choice += quoted_text;
  choice += R"(,"logprobs":null,"finish_reason":)";
  choice += finish_reason;
  choice += '}';
  return choice;
}

std::string chat_choice(std::string_view delta, std::string_view finish_reason) {
  std::string choice = R"({"index":0,"delta":)";
  choice += delta;
  choice += R"(,"logprobs":null,"finish_reason":)";
  choice += finish_reason;
  choice += '}';
  return choice;
}

}  // namespace

std::string format_completion(const CompletionIdentity& identity, std::string_view text,
                              FinishReason finish_reason, const CompletionUsage& usage) {
  const bool chat = identity.api == CompletionApi::kChat;
  Json choices = Json::array();
  choices.push_back(choice_json(identity.api, text, finish_reason));
  const Json body = {{"id", response_id(identity)},
                     {"object", chat ? "chat.completion" : "text_completion"},
                     {"created", identity.created_seconds},
                     {"model", identity.model},
                     {"choices", std::move(choices)},
                     {"usage", usage_json(usage)}};
  return to_text(body);
}

std::string format_models(const std::vector<std::string>& models, int64_t created_seconds) {
  Json data = Json::array();
  for (const std::string& model : models) {
    data.push_back(model_json(model, created_seconds));
  }
  const Json body = {{"object", "list"}, {"data", std::move(data)}};
  return to_text(body);
}

std::string format_model(std::string_view model, int64_t created_seconds) {
  return to_text(model_json(model, created_seconds));
}

CompletionStreamFormatter::CompletionStreamFormatter(const CompletionIdentity& identity,
                                                     bool include_usage)
    : api_(identity.api), include_usage_(include_usage) {
  const bool chat = api_ == CompletionApi::kChat;
  head_ = R"({"id":)" + json_string(response_id(identity)) + R"(,"object":)" +
          (chat ? R"("chat.completion.chunk")" : R"("text_completion")") + R"(,"created":)" +
          std::to_string(identity.created_seconds) + R"(,"model":)" + json_string(identity.model);
}

std::string CompletionStreamFormatter::event(std::string_view choice) const {
  std::string json = head_;
  json += R"(,"choices":[)";
  json += choice;
  json += ']';
  // Clients that request the usage expect the field in every chunk.
  json += include_usage_ ? R"(,"usage":null})" : "}";
  return data_event(json);
}

std::string CompletionStreamFormatter::opening() const {
  if (api_ == CompletionApi::kText) {
    return {};
  }
  return event(chat_choice(R"({"role":"assistant","content":""})", "null"));
}

std::string CompletionStreamFormatter::text(std::string_view piece) const {
  if (api_ == CompletionApi::kText) {
    return event(text_choice(json_string(piece), "null"));
  }
  return event(chat_choice(R"({"content":)" + json_string(piece) + "}", "null"));
}

std::string CompletionStreamFormatter::closing(FinishReason finish_reason,
                                               const CompletionUsage& usage) const {
  const std::string reason = json_string(finish_reason_name(finish_reason));
  std::string events = event(api_ == CompletionApi::kText ? text_choice(R"("")", reason)
                                                          : chat_choice("{}", reason));
  if (include_usage_) {
    events += data_event(head_ + R"(,"choices":[],"usage":)" + to_text(usage_json(usage)) + "}");
  }
  events += kDoneEvent;
  return events;
}

std::string CompletionStreamFormatter::failure(const Error& error) {
  return data_event(error_body(error));
}

}  // namespace chalkshed
