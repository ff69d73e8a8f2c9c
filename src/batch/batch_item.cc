#include "src/batch/batch_item.h"

#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr size_t kMaxCustomIdBytes = 512;
// Maximum nesting depth of arrays and objects. The JSON library serializes and copies values
// recursively, so unbounded nesting would let a caller overflow the stack and crash the node.
constexpr int kMaxNesting = 64;

Error invalid_item(std::string message) {
  return not_run(ErrorKind::kInvalidRequest, std::move(message),
                 "each line is {\"custom_id\", \"method\": \"POST\", \"url\", \"body\"}");
}

const std::string* find_string(const json& object, const char* name) {
  const auto field = object.find(name);
  return field != object.end() && field->is_string() ? field->get_ptr<const std::string*>()
                                                     : nullptr;
}

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

// Values nested too deeply are dropped from the result and set `too_deep`.
json parse_bounded(std::string_view line, bool& too_deep) {
  const json::parser_callback_t check = [&](int depth, json::parse_event_t, json&) {
    too_deep = too_deep || depth > kMaxNesting;
    return depth <= kMaxNesting;
  };
  return json::parse(line, check, false);
}

}  // namespace

Expected<BatchItem> parse_batch_item(std::string_view line) {
  bool too_deep = false;
  const json object = parse_bounded(line, too_deep);
  if (too_deep) {
    return tl::unexpected(invalid_item("the line nests values more than " +
                                       std::to_string(kMaxNesting) + " levels deep"));
  }
  if (object.is_discarded() || !object.is_object()) {
    return tl::unexpected(invalid_item("the line is not a JSON object"));
  }
  const std::string* custom_id = find_string(object, "custom_id");
  if (custom_id == nullptr || custom_id->empty() || custom_id->size() > kMaxCustomIdBytes) {
    return tl::unexpected(invalid_item("\"custom_id\" must be a string of 1 to 512 bytes"));
  }
  const std::string* method = find_string(object, "method");
  if (method == nullptr || *method != "POST") {
    return tl::unexpected(invalid_item("\"method\" must be \"POST\""));
  }
  const std::string* url = find_string(object, "url");
  if (url == nullptr) {
    return tl::unexpected(invalid_item("\"url\" must be a string"));
  }
  const auto body = object.find("body");
  if (body == object.end() || !body->is_object()) {
    return tl::unexpected(invalid_item("\"body\" must be an object"));
  }
  auto request = parse_completion_request(*url, dump(*body));
  if (!request) {
    return tl::unexpected(invalid_item(request.error().message));
  }
  return BatchItem{*custom_id, *url, std::move(*request)};
}

std::string format_item_answer(const std::string& request_id, const std::string& custom_id,
                               const std::string& completion) {
  const json fields = custom_id;
  std::string line = R"({"id":")" + request_id + R"(","custom_id":)" + dump(fields);
  line += R"(,"response":{"status_code":200,"request_id":")" + request_id + R"(","body":)";
  line += completion;
  line += R"(},"error":null})";
  return line;
}

std::string format_item_error(const std::string& request_id, const std::string& custom_id,
                              const Error& error) {
  const json line = {{"id", request_id},
                     {"custom_id", custom_id},
                     {"response", nullptr},
                     {"error",
                      {{"code", error_kind_name(error.kind)},
                       {"message", error.message},
                       {"remedy", error.remedy}}}};
  return dump(line);
}

}  // namespace chalkshed
