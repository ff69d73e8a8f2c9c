#include "src/adapters/engine_codec.h"

#include <charconv>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr size_t kLoadFields = 12;
using LoadNumbers = std::array<uint64_t, kLoadFields>;

LoadNumbers load_to_numbers(const EngineLoad& load) {
  return {load.running_online,        load.running_batch,
          load.waiting_online,        load.waiting_batch,
          load.pending_prompt_tokens, load.pending_batch_prompt_tokens,
          load.kv_blocks_used,        load.kv_blocks_total,
          load.step_number,           static_cast<uint64_t>(load.last_step_time.count()),
          load.incarnation,           load.leaving ? 1U : 0U};
}

EngineLoad load_from_numbers(const LoadNumbers& numbers) {
  const auto small = [&](size_t index) { return static_cast<uint32_t>(numbers.at(index)); };
  EngineLoad load;
  load.running_online = small(0);
  load.running_batch = small(1);
  load.waiting_online = small(2);
  load.waiting_batch = small(3);
  load.pending_prompt_tokens = small(4);
  load.pending_batch_prompt_tokens = small(5);
  load.kv_blocks_used = small(6);
  load.kv_blocks_total = small(7);
  load.step_number = numbers[8];
  load.last_step_time = Duration(static_cast<int64_t>(numbers[9]));
  load.incarnation = numbers[10];
  load.leaving = numbers[11] != 0;
  return load;
}

void append_number(std::string& text, uint64_t number) {
  std::array<char, 24> digits;
  const auto end = std::to_chars(digits.data(), digits.data() + digits.size(), number).ptr;
  text.append(digits.data(), end);
}

void append_load(std::string& text, const EngineLoad& load) {
  text += "\"load\":[";
  bool first = true;
  for (const uint64_t number : load_to_numbers(load)) {
    if (!first) {
      text.push_back(',');
    }
    first = false;
    append_number(text, number);
  }
  text.push_back(']');
}

bool is_plain(std::string_view text) {
  return std::ranges::all_of(text, [](char c) {
    constexpr char kFirstPrintable = 0x20;
    return c >= kFirstPrintable && c != '"' && c != '\\';
  });
}

// Parses the usual form of a chunk line without a JSON parser, because a node handles tens of
// thousands of these per second. Every step fails on unexpected input; the JSON parser is the
// fallback.
class FastLineReader {
 public:
  explicit FastLineReader(std::string_view line) : rest_(line) {}

  bool literal(std::string_view expected) {
    if (!rest_.starts_with(expected)) {
      return false;
    }
    rest_.remove_prefix(expected.size());
    return true;
  }
  template <typename Number>
  bool number(Number& value) {
    const auto [end, error] = std::from_chars(rest_.data(), rest_.data() + rest_.size(), value);
    if (error != std::errc()) {
      return false;
    }
    rest_.remove_prefix(static_cast<size_t>(end - rest_.data()));
    return true;
  }
  // A string without escapes.
  bool plain_string(std::string& value) {
    if (!literal("\"")) {
      return false;
    }
    const size_t end = rest_.find_first_of("\"\\");
    if (end == std::string_view::npos || rest_[end] != '"') {
      return false;
    }
    value.assign(rest_.substr(0, end));
    rest_.remove_prefix(end + 1);
    return true;
  }
  bool load(EngineLoad& value) {
    LoadNumbers numbers{};
    if (!literal("\"load\":[")) {
      return false;
    }
    for (size_t index = 0; index < kLoadFields; ++index) {
      if ((index > 0 && !literal(",")) || !number(numbers.at(index))) {
        return false;
      }
    }
    value = load_from_numbers(numbers);
    return literal("]");
  }
  bool chunk(GenerateChunk& value) {
    if (!literal("{\"first_index\":") || !number(value.first_index) || !literal(",\"tokens\":[")) {
      return false;
    }
    do {
      if (!plain_string(value.tokens.emplace_back())) {
        return false;
      }
    } while (literal(","));
    return literal("],") && load(value.load) && literal("}") && rest_.empty();
  }

 private:
  std::string_view rest_;
};

EngineLoad load_from_json(const json& array) {
  LoadNumbers numbers{};
  for (size_t index = 0; index < kLoadFields; ++index) {
    numbers.at(index) = array.at(index).get<uint64_t>();
  }
  return load_from_numbers(numbers);
}

StreamLine line_from_json(const json& object) {
  if (!object.contains("done")) {
    GenerateChunk chunk;
    chunk.first_index = object.at("first_index").get<uint32_t>();
    chunk.tokens = object.at("tokens").get<std::vector<std::string>>();
    chunk.load = load_from_json(object.at("load"));
    return chunk;
  }
  const json& done = object.at("done");
  GenerateResult result;
  result.finish_reason = done.at("finish_reason").get<std::string>() == "length"
                             ? FinishReason::kLength
                             : FinishReason::kStop;
  result.prompt_tokens = done.at("prompt_tokens").get<uint32_t>();
  result.cached_prompt_tokens = done.at("cached_prompt_tokens").get<uint32_t>();
  result.completion_tokens = done.at("completion_tokens").get<uint32_t>();
  result.load = load_from_json(object.at("load"));
  return result;
}

}  // namespace

std::string encode_generate_request(const GenerateRequest& request) {
  json body = {{"attempt_id", request.attempt_id},
               {"model", request.model},
               {"prompt", request.prompt},
               {"max_tokens", request.max_tokens},
               {"priority", request.priority == EnginePriority::kOnline ? "online" : "batch"},
               {"resumed_tokens", request.resumed_tokens}};
  if (request.time_limit) {
    body["time_limit_us"] = request.time_limit->count();
  }
  return body.dump(-1, ' ', false, json::error_handler_t::replace);
}

Expected<GenerateRequest> decode_generate_request(std::string_view body) {
  try {
    const json object = json::parse(body);
    GenerateRequest request;
    request.attempt_id = object.at("attempt_id").get<std::string>();
    request.model = object.at("model").get<std::string>();
    request.prompt = object.at("prompt").get<std::string>();
    request.max_tokens = object.value("max_tokens", 0U);
    request.priority = object.value("priority", "online") == "batch" ? EnginePriority::kBatch
                                                                     : EnginePriority::kOnline;
    request.resumed_tokens = object.value("resumed_tokens", std::vector<std::string>());
    if (object.contains("time_limit_us")) {
      request.time_limit = Duration(object.at("time_limit_us").get<int64_t>());
    }
    return request;
  } catch (const json::exception& exception) {
    return tl::unexpected(not_run(ErrorKind::kInvalidRequest,
                                  std::string("malformed request: ") + exception.what(),
                                  "use the format of the platform adapters page"));
  }
}

std::string encode_chunk_line(const GenerateChunk& chunk) {
  std::string line = "{\"first_index\":";
  append_number(line, chunk.first_index);
  line += ",\"tokens\":[";
  for (size_t index = 0; index < chunk.tokens.size(); ++index) {
    if (index > 0) {
      line.push_back(',');
    }
    if (is_plain(chunk.tokens[index])) {
      line.push_back('"');
      line += chunk.tokens[index];
      line.push_back('"');
    } else {
      line += json(chunk.tokens[index]).dump(-1, ' ', false, json::error_handler_t::replace);
    }
  }
  line += "],";
  append_load(line, chunk.load);
  line += "}\n";
  return line;
}

std::string encode_done_line(const GenerateResult& result) {
  const bool cut = result.finish_reason == FinishReason::kLength;
  std::string line = "{\"done\":{\"finish_reason\":\"";
  line += cut ? "length" : "stop";
  line += "\",\"prompt_tokens\":";
  append_number(line, result.prompt_tokens);
  line += ",\"cached_prompt_tokens\":";
  append_number(line, result.cached_prompt_tokens);
  line += ",\"completion_tokens\":";
  append_number(line, result.completion_tokens);
  line += "},";
  append_load(line, result.load);
  line += "}\n";
  return line;
}

Expected<StreamLine> decode_stream_line(std::string_view line) {
  GenerateChunk chunk;
  if (FastLineReader(line).chunk(chunk)) {
    return chunk;
  }
  try {
    return line_from_json(json::parse(line));
  } catch (const json::exception& exception) {
    return tl::unexpected(maybe_run(ErrorKind::kUpstreamFailed,
                                    std::string("malformed stream line: ") + exception.what(),
                                    "resume or retry on another worker"));
  }
}

std::string encode_load(const EngineLoad& load) {
  std::string body = "{";
  append_load(body, load);
  body += "}";
  return body;
}

Expected<EngineLoad> decode_load(std::string_view body) {
  try {
    return load_from_json(json::parse(body).at("load"));
  } catch (const json::exception& exception) {
    return tl::unexpected(maybe_run(ErrorKind::kUpstreamFailed,
                                    std::string("malformed load report: ") + exception.what(),
                                    "check that the address belongs to an engine"));
  }
}

}  // namespace chalkshed
