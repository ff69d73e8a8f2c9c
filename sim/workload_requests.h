// HTTP requests of the simulated callers and operators, and parsing of responses.
#pragma once

#include <string>
#include <vector>

#include "src/core/http_message.h"
#include "src/history/event.h"

namespace chalkshed {

inline constexpr const char* kCallerApiKey = "callers-key";
inline constexpr const char* kOperatorKey = "operators-key";

HttpRequest completion_request(const std::string& model, const std::string& prompt,
                               uint32_t max_tokens, bool stream);
// The text becomes the request body.
HttpRequest service_request(const std::string& text);

struct BatchItemRequest {
  std::string custom_id;
  std::string prompt;
  uint32_t max_tokens = 0;
};
HttpRequest submit_job_request(const std::string& key, const std::vector<BatchItemRequest>& items);
HttpRequest get_request(const std::string& path, const std::string& query = "");
HttpRequest post_request(const std::string& path, const std::string& query, std::string body);

// @return the request with the operators' API key.
HttpRequest as_operator(HttpRequest request);

// @return a string member of a JSON object; "" if there is none.
std::string json_text(const std::string& body, const std::string& member);
uint64_t json_number(const std::string& body, const std::string& member);
// Reads the JSON Lines of a job's output. A malformed line becomes an entry without a custom id.
std::vector<JobOutputLine> read_output_lines(const std::string& body);

}  // namespace chalkshed
