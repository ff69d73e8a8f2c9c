// Incremental parser of HTTP/1.1 responses. Free of sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/http_message.h"

namespace chalkshed {

// How the end of a body is told.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

struct ResponseHead {
  int status = 0;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  uint64_t content_length = 0;  // with kLength
  bool keep_alive = false;      // the connection may serve another request
  // How long the server keeps the connection when it is idle, where it says so.
  std::optional<uint32_t> keep_alive_seconds;
};

// Parses one line of a response head, then the next. An empty line ends the head.
class ResponseHeadParser {
 public:
  enum class Progress { kMore, kComplete, kMalformed };

  // @param head_only the answer has no body whatever its headers say (HEAD).
  explicit ResponseHeadParser(bool head_only) : head_only_(head_only) {}
  // @param line without its line end.
  Progress add_line(std::string_view line);
  ResponseHead& head() { return head_; }

 private:
  bool parse_status_line(std::string_view line);
  bool parse_header(std::string_view line);
  Progress complete();

  bool head_only_;
  bool has_status_line_ = false;
  bool http_1_0_ = false;
  ResponseHead head_;
};

// @return the size in a chunk's first line, or nothing when it is malformed.
std::optional<uint64_t> parse_chunk_size(std::string_view line);

}  // namespace chalkshed
