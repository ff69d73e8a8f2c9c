// Bodies and stream lines of the engines' HTTP interface, both directions. One JSON object per
// line:
//   {"first_index":0,"tokens":[" The"],"load":[...]}
//   {"done":{"finish_reason":"stop","prompt_tokens":9,...},"load":[...]}
// "load" lists the fields of EngineLoad in order (step time in microseconds, leaving as 0 or 1).
#pragma once

#include <string>
#include <string_view>
#include <variant>

#include "src/core/error.h"
#include "src/engine/engine_client.h"

namespace chalkshed {

std::string encode_generate_request(const GenerateRequest& request);
Expected<GenerateRequest> decode_generate_request(std::string_view body);

// Lines end with '\n'.
std::string encode_chunk_line(const GenerateChunk& chunk);
std::string encode_done_line(const GenerateResult& result);

using StreamLine = std::variant<GenerateChunk, GenerateResult>;
// @param line without its '\n'. Errors: kUpstreamFailed if it has neither form.
Expected<StreamLine> decode_stream_line(std::string_view line);

std::string encode_load(const EngineLoad& load);  // {"load":[...]}
Expected<EngineLoad> decode_load(std::string_view body);

}  // namespace chalkshed
