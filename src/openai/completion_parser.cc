#include <nlohmann/json.hpp>

#include "src/openai/completion.h"

namespace chalkshed {
namespace {

using Json = nlohmann::json;

constexpr size_t kBytesPerTokenEstimate = 4;

tl::unexpected<Error> invalid(std::string message, std::string remedy) {
  return tl::unexpected(not_run(ErrorKind::kInvalidRequest, std::move(message), std::move(remedy)));
}

tl::unexpected<Error> wrong_type(const std::string& field, const std::string& expected,
                                 const Json& value) {
  return invalid("field '" + field + "' must be " + expected + ", not " + value.type_name(),
                 "send '" + field + "' as " + expected);
}

// @return the position and cause of the JSON syntax error.
std::string describe_json_error(std::string_view text) {
  try {
    const Json parsed = Json::parse(text);
    return "";
  } catch (const Json::parse_error& error) {
    return " at byte " + std::to_string(error.byte);
  } catch (const Json::out_of_range&) {
    return ": a number is out of range";
  }
}

// Null counts as absent, because OpenAI clients send it that way.
const Json* find_field(const Json& object, const char* name) {
  const auto found = object.find(name);
  return found == object.end() || found->is_null() ? nullptr : &*found;
}

Expected<bool> read_boolean(const Json& object, const char* name) {
  const Json* value = find_field(object, name);
  if (value == nullptr) {
    return false;
  }
  if (!value->is_boolean()) {
    return wrong_type(name, "true or false", *value);
  }
  return value->get<bool>();
}

Expected<std::string> read_model(const Json& root) {
  const Json* model = find_field(root, "model");
  if (model == nullptr) {
    return invalid("field 'model' is missing", "name one of the models of GET /v1/models");
  }
  if (!model->is_string()) {
    return wrong_type("model", "a string", *model);
  }
  if (model->get_ref<const std::string&>().empty()) {
    return invalid("field 'model' is empty", "name one of the models of GET /v1/models");
  }
  return model->get<std::string>();
}

Expected<uint32_t> read_max_tokens(const Json& root) {
  const char* name = "max_completion_tokens";
  const Json* value = find_field(root, name);
  if (value == nullptr) {
    name = "max_tokens";
    value = find_field(root, name);
  }
  if (value == nullptr) {
    return kDefaultMaxTokens;
  }
  if (!value->is_number_integer()) {
    return wrong_type(name, "an integer", *value);
  }
  const bool negative = !value->is_number_unsigned() && value->get<int64_t>() < 1;
  const bool in_range =
      !negative && value->get<uint64_t>() >= 1 && value->get<uint64_t>() <= kLargestMaxTokens;
  if (!in_range) {
    const std::string range = "between 1 and " + std::to_string(kLargestMaxTokens);
    return invalid("field '" + std::string(name) + "' is " + value->dump() + ", outside " + range,
                   "send a number " + range);
  }
  return value->get<uint32_t>();
}

// Rejects values of these fields other than those that mean a single plain text response.
std::optional<Error> find_unsupported(const Json& root) {
  for (const char* name : {"n", "best_of"}) {
    const Json* value = find_field(root, name);
    if (value == nullptr) {
      continue;
    }
    if (!value->is_number_integer()) {
      return wrong_type(name, "the number 1", *value).value();
    }
    if (*value != 1) {
      return not_run(ErrorKind::kInvalidRequest,
                     "field '" + std::string(name) + "' is " + value->dump() +
                         "; only one choice per request is supported",
                     "leave '" + std::string(name) + "' out and send one request for each choice");
    }
  }
  for (const char* name : {"echo", "logprobs"}) {
    const Json* value = find_field(root, name);
    if (value != nullptr && *value != false) {
      return not_run(ErrorKind::kInvalidRequest,
                     "field '" + std::string(name) + "' is not supported",
                     "leave '" + std::string(name) + "' out");
    }
  }
  for (const char* name : {"tools", "functions"}) {
    const Json* value = find_field(root, name);
    if (value != nullptr && !value->empty()) {
      return not_run(ErrorKind::kInvalidRequest,
                     "field '" + std::string(name) + "' is not supported",
                     "leave '" + std::string(name) + "' out; models generate text only");
    }
  }
  return std::nullopt;
}

Expected<std::string> read_text_prompt(const Json& root) {
  const Json* prompt = find_field(root, "prompt");
  if (prompt == nullptr) {
    return invalid("field 'prompt' is missing", "send the text to complete as 'prompt'");
  }
  if (prompt->is_string()) {
    return prompt->get<std::string>();
  }
  if (prompt->is_array() && prompt->size() == 1 && prompt->front().is_string()) {
    return prompt->front().get<std::string>();
  }
  if (prompt->is_array()) {
    return invalid("field 'prompt' must contain exactly one text",
                   "send one request for each prompt, as a string; lists of token numbers are "
                   "not supported");
  }
  return wrong_type("prompt", "a string", *prompt);
}

Expected<std::string> read_content_part(const Json& part, const std::string& field) {
  if (!part.is_object()) {
    return wrong_type(field, "an object", part);
  }
  const Json* type = find_field(part, "type");
  if (type == nullptr || *type != "text") {
    return invalid("field '" + field + ".type' is not 'text'", "send text parts only");
  }
  const Json* text = find_field(part, "text");
  if (text == nullptr || !text->is_string()) {
    return invalid("field '" + field + ".text' must be a string", "send the part's text");
  }
  return text->get<std::string>();
}

Expected<std::string> read_content(const Json& message, const std::string& field) {
  const Json* content = find_field(message, "content");
  if (content == nullptr) {
    return std::string();
  }
  if (content->is_string()) {
    return content->get<std::string>();
  }
  if (!content->is_array()) {
    return wrong_type(field + ".content", "a string or a list of parts", *content);
  }
  std::string text;
  for (size_t index = 0; index < content->size(); ++index) {
    Expected<std::string> part =
        read_content_part((*content)[index], field + ".content[" + std::to_string(index) + "]");
    if (!part) {
      return part;
    }
    text += *part;
  }
  return text;
}

Expected<std::string> read_message(const Json& message, const std::string& field) {
  if (!message.is_object()) {
    return wrong_type(field, "an object", message);
  }
  const Json* role = find_field(message, "role");
  if (role == nullptr || !role->is_string()) {
    return invalid("field '" + field + ".role' must be a string",
                   "send a role such as 'system', 'user' or 'assistant'");
  }
  Expected<std::string> content = read_content(message, field);
  if (!content) {
    return content;
  }
  return role->get_ref<const std::string&>() + ": " + *content + "\n";
}

Expected<std::string> read_chat_prompt(const Json& root) {
  const Json* messages = find_field(root, "messages");
  if (messages == nullptr) {
    return invalid("field 'messages' is missing", "send the conversation as 'messages'");
  }
  if (!messages->is_array()) {
    return wrong_type("messages", "a list", *messages);
  }
  if (messages->empty()) {
    return invalid("field 'messages' is empty", "send at least one message");
  }
  std::string prompt;
  for (size_t index = 0; index < messages->size(); ++index) {
    Expected<std::string> line =
        read_message((*messages)[index], "messages[" + std::to_string(index) + "]");
    if (!line) {
      return line;
    }
    prompt += *line;
  }
  return prompt + "assistant: ";
}

Expected<bool> read_include_usage(const Json& root) {
  const Json* options = find_field(root, "stream_options");
  if (options == nullptr) {
    return false;
  }
  if (!options->is_object()) {
    return wrong_type("stream_options", "an object", *options);
  }
  Expected<bool> include_usage = read_boolean(*options, "include_usage");
  if (!include_usage) {
    return wrong_type("stream_options.include_usage", "true or false",
                      *find_field(*options, "include_usage"));
  }
  return include_usage;
}

Expected<CompletionRequest> read_request(CompletionApi api, const Json& root) {
  CompletionRequest request;
  request.api = api;
  Expected<std::string> model = read_model(root);
  if (!model) {
    return tl::unexpected(model.error());
  }
  request.model = std::move(*model);
  Expected<std::string> prompt =
      api == CompletionApi::kChat ? read_chat_prompt(root) : read_text_prompt(root);
  if (!prompt) {
    return tl::unexpected(prompt.error());
  }
  request.prompt = std::move(*prompt);
  request.prompt_tokens = estimate_tokens(request.prompt);
  const Expected<uint32_t> max_tokens = read_max_tokens(root);
  if (!max_tokens) {
    return tl::unexpected(max_tokens.error());
  }
  request.max_tokens = *max_tokens;
  const Expected<bool> stream = read_boolean(root, "stream");
  if (!stream) {
    return tl::unexpected(stream.error());
  }
  request.stream = *stream;
  const Expected<bool> include_usage = read_include_usage(root);
  if (!include_usage) {
    return tl::unexpected(include_usage.error());
  }
  request.include_usage = *include_usage;
  if (const std::optional<Error> error = find_unsupported(root)) {
    return tl::unexpected(*error);
  }
  return request;
}

}  // namespace

Expected<CompletionRequest> parse_completion_request(std::string_view url_path,
                                                     std::string_view body) {
  const bool chat = url_path == kChatCompletionPath;
  if (!chat && url_path != kTextCompletionPath) {
    return tl::unexpected(not_run(ErrorKind::kNotFound,
                                  "'" + std::string(url_path) + "' is no completion path",
                                  "use /v1/completions or /v1/chat/completions"));
  }
  const Json root = Json::parse(body, nullptr, false);
  if (root.is_discarded()) {
    return invalid("the body is not valid JSON" + describe_json_error(body),
                   "send a JSON object in UTF-8");
  }
  if (!root.is_object()) {
    return invalid(std::string("the body must be a JSON object, not ") + root.type_name(),
                   "send a JSON object with 'model' and the prompt");
  }
  return read_request(chat ? CompletionApi::kChat : CompletionApi::kText, root);
}

uint32_t estimate_tokens(std::string_view text) {
  return static_cast<uint32_t>((text.size() + kBytesPerTokenEstimate - 1) / kBytesPerTokenEstimate);
}

}  // namespace chalkshed
