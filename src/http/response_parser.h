// Incremental parser of HTTP/1.1 responses, independent of sockets.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "src/core/http_message.h"

namespace chalkshed {

// How the end of a body is determined.
enum class BodyFraming { kNone, kLength, kChunked, kUntilClose };

struct ResponseHead {
  int status = 0;
  HttpHeaders headers;
  BodyFraming framing = BodyFraming::kNone;
  uint64_t content_length = 0;  // with kLength
  bool keep_alive = false;      // the connection may be used for another request
  // The server's idle timeout for the connection, if announced.
  std::optional<uint32_t> keep_alive_seconds;
};

// Parses a response head line by line. An empty line ends the head.
class ResponseHeadParser {
 public:
  enum class Progress { kMore, kComplete, kMalformed };

  // @param head_only the response has no body, regardless of its headers (HEAD).
  explicit ResponseHeadParser(bool head_only) : head_only_(head_only) {}
  // @param line without its line terminator.
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

// @return the size in the first line of a chunk, or nothing if it is malformed.
std::optional<uint64_t> parse_chunk_size(std::string_view line);

}  // namespace chalkshed
