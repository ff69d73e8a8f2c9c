// The OpenAI completions API: parsing of requests and formatting of responses. Pure functions, used
// by the gateway and the batch runner.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error.h"
#include "src/engine/engine_client.h"

namespace chalkshed {

enum class CompletionApi {
  kText,  // POST /v1/completions
  kChat,  // POST /v1/chat/completions
};

inline constexpr std::string_view kTextCompletionPath = "/v1/completions";
inline constexpr std::string_view kChatCompletionPath = "/v1/chat/completions";

// Limit for generated tokens if the caller sets none.
inline constexpr uint32_t kDefaultMaxTokens = 256;
// Maximum limit that a caller may set.
inline constexpr uint32_t kLargestMaxTokens = 131072;

struct CompletionRequest {
  CompletionApi api = CompletionApi::kText;
  std::string model;
  std::string prompt;          // chat messages are joined into one prompt
  uint32_t prompt_tokens = 0;  // estimate, see estimate_tokens()
  uint32_t max_tokens = kDefaultMaxTokens;
  bool stream = false;
  bool include_usage = false;  // streams only: send the usage in the last chunk
};

// Parses the body of a completion request. Unknown fields and sampling parameters are ignored;
// unsupported fields that would change the format of the response are rejected.
// @param url_path kTextCompletionPath or kChatCompletionPath.
// Errors, all Ran::kNo: kInvalidRequest (the message names the field), kNotFound (other path).
Expected<CompletionRequest> parse_completion_request(std::string_view url_path,
                                                     std::string_view body);

// Estimated number of tokens of a text, for admission and routing; engines report the exact number.
uint32_t estimate_tokens(std::string_view text);

// The fields that all parts of one response share.
struct CompletionIdentity {
  CompletionApi api = CompletionApi::kText;
  std::string request_id;  // the response id is this with the usual prefix of the API
  std::string model;
  int64_t created_seconds = 0;  // Unix time
};

struct CompletionUsage {
  uint32_t prompt_tokens = 0;
  uint32_t cached_prompt_tokens = 0;
  uint32_t completion_tokens = 0;
};

// JSON body of a complete response.
std::string format_completion(const CompletionIdentity& identity, std::string_view text,
                              FinishReason finish_reason, const CompletionUsage& usage);

// JSON body of GET /v1/models. @param models the names, in the order of the listing.
std::string format_models(const std::vector<std::string>& models, int64_t created_seconds);

// JSON body of GET /v1/models/{name}.
std::string format_model(std::string_view model, int64_t created_seconds);

// Formats the server-sent events of one streamed response.
class CompletionStreamFormatter {
 public:
  CompletionStreamFormatter(const CompletionIdentity& identity, bool include_usage);

  // Opening event of a chat stream (the assistant's role); empty for text completions.
  std::string opening() const;
  std::string text(std::string_view piece) const;
  // Event with the finish reason, the usage event if requested, and the [DONE] mark.
  std::string closing(FinishReason finish_reason, const CompletionUsage& usage) const;
  // Event that ends a failed stream. It is not followed by [DONE], so clients raise an error.
  static std::string failure(const Error& error);

 private:
  std::string event(std::string_view choice) const;

  CompletionApi api_;
  bool include_usage_;
  std::string head_;  // the beginning of a chunk, up to its list of choices
};

}  // namespace chalkshed
