// Writes the answer to one request: adds the request id, limits the bytes buffered for a slow
// reader, and sets Retry-After on error responses.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/gateway/gateway_knobs.h"

namespace chalkshed {

inline constexpr const char* kRequestIdHeader = "X-Request-Id";

class AnswerWriter {
 public:
  AnswerWriter(ResponseWriterPtr writer, std::string request_id, const GatewayKnobs& knobs);

  bool started() const { return started_; }
  void start(int status, HttpHeaders headers);
  // @return false if the caller reads too slowly and the answer was aborted.
  bool write(std::string_view chunk);
  // Bytes not yet sent to the caller.
  size_t buffered_bytes() const { return writer_->buffered_bytes(); }
  void finish();
  void abort();  // may be called more than once
  void respond(HttpResponse response);
  // Sends an error as the complete answer.
  void refuse(Error error);
  void set_on_closed(std::function<void()> callback);

 private:
  ResponseWriterPtr writer_;
  const std::string request_id_;
  const size_t max_buffered_bytes_;
  const Duration default_retry_after_;
  bool started_ = false;
  bool aborted_ = false;
};

}  // namespace chalkshed
