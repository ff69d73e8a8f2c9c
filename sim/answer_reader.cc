#include "sim/answer_reader.h"

#include <nlohmann/json.hpp>

namespace chalkshed {

namespace {

using Json = nlohmann::json;

constexpr int kFirstErrorStatus = 400;
constexpr std::string_view kDataPrefix = "data: ";
constexpr std::string_view kDoneMark = "[DONE]";

}  // namespace

void AnswerReader::on_body(std::string_view data) {
  body_ += data;
  if (kind_ != CallKind::kStream || status_ >= kFirstErrorStatus) {
    return;
  }
  for (size_t end = body_.find('\n', read_); end != std::string::npos;
       end = body_.find('\n', read_)) {
    read_line(std::string_view(body_).substr(read_, end - read_));
    read_ = end + 1;
  }
}

void AnswerReader::read_line(std::string_view line) {
  if (!line.starts_with(kDataPrefix)) {
    return;
  }
  line.remove_prefix(kDataPrefix.size());
  if (line == kDoneMark) {
    return;
  }
  const Json event = Json::parse(line, nullptr, false);
  if (event.is_discarded() || event.contains("error")) {
    failure_ = std::string(line);
  } else if (event.contains("choices") && !event["choices"].empty()) {
    text_ += event["choices"][0].value("text", "");
  }
}

void AnswerReader::read_error(std::string_view json, CallEnded& ended) const {
  ended.outcome = CallOutcome::kFailed;
  const Json body = Json::parse(json, nullptr, false);
  if (body.is_discarded() || !body.contains("error")) {
    ended.error_kind = "status " + std::to_string(status_);
    return;
  }
  ended.error_kind = body["error"].value("kind", "");
  ended.said_not_run = body["error"].value("ran", "") == "no";
}

CallEnded AnswerReader::on_end() {
  CallEnded ended;
  ended.text = partial_text();
  if (status_ >= kFirstErrorStatus) {
    read_error(body_, ended);
  } else if (!failure_.empty()) {
    read_error(failure_, ended);
  } else if (kind_ == CallKind::kCompletion) {
    const Json body = Json::parse(body_, nullptr, false);
    ended.text = body.is_discarded() || !body.contains("choices")
                     ? body_
                     : body["choices"][0].value("text", "");
  } else if (kind_ == CallKind::kService) {
    ended.text = body_;
  }
  // A stream that ends without an error counts as complete even if the [DONE] event is missing,
  // because client libraries accept it.
  return ended;
}

}  // namespace chalkshed
