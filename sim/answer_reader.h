// Parses responses of the inference API as a client library would.
#pragma once

#include <string>
#include <string_view>

#include "src/history/event.h"

namespace chalkshed {

// Parses one response incrementally.
class AnswerReader {
 public:
  explicit AnswerReader(CallKind kind) : kind_(kind) {}
  void on_headers(int status) { status_ = status; }
  void on_body(std::string_view data);
  // @return the outcome of a call whose response ended without a connection error.
  CallEnded on_end();
  int status() const { return status_; }
  const std::string& body() const { return body_; }
  // @return the text received so far, for truncated responses.
  std::string partial_text() const { return kind_ == CallKind::kStream ? text_ : ""; }

 private:
  void read_line(std::string_view line);
  void read_error(std::string_view json, CallEnded& ended) const;

  const CallKind kind_;
  int status_ = 0;
  std::string body_;
  size_t read_ = 0;  // bytes of the stream's body that were parsed as lines
  std::string text_;
  std::string failure_;  // error event of a stream
};

}  // namespace chalkshed
