// Parses input lines and formats output lines of a batch job. Pure functions.
#pragma once

#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/openai/completion.h"

namespace chalkshed {

// One line {"custom_id", "method", "url", "body"} of a job.
struct BatchItem {
  std::string custom_id;
  std::string url;
  CompletionRequest request;
};

// Errors, all Ran::kNo: kInvalidRequest (the message names the field).
Expected<BatchItem> parse_batch_item(std::string_view line);

// Formats the output line of a completed item, without the newline.
// @param completion JSON body of the response, see format_completion().
std::string format_item_answer(const std::string& request_id, const std::string& custom_id,
                               const std::string& completion);

// Formats the output line of an item that failed permanently, without the newline.
std::string format_item_error(const std::string& request_id, const std::string& custom_id,
                              const Error& error);

}  // namespace chalkshed
