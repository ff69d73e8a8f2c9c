// Writes an answer to its caller and records it, for a request that must run at most once. The run
// continues if the caller disconnects or stops reading, so that a resend gets the answer.
#pragma once

#include "src/core/http_message.h"

namespace chalkshed {

// The recorded answer of one run.
class AnswerRecording {
 public:
  explicit AnswerRecording(size_t max_bytes) : max_bytes_(max_bytes) {}

  void start(int status, const HttpHeaders& headers);
  void append(std::string_view chunk);
  void finish() { finished_ = true; }
  // @return the answer, if it is complete and not too large.
  std::optional<HttpResponse> take();

 private:
  const size_t max_bytes_;
  HttpResponse response_;
  bool finished_ = false;
  bool too_large_ = false;
};

class RecordingWriter : public ResponseWriter {
 public:
  // @param writer the caller's writer; null if the caller has already disconnected.
  // @param max_buffered_bytes the answer to the caller is aborted when more bytes are buffered.
  RecordingWriter(ResponseWriterPtr writer, std::shared_ptr<AnswerRecording> recording,
                  size_t max_buffered_bytes);

  void start(int status, const HttpHeaders& headers) override;
  void write(std::string_view chunk) override;
  void finish() override;
  void respond(const HttpResponse& response) override;
  void abort() override;
  size_t buffered_bytes() const override { return 0; }
  // The run continues without its caller, so the callback is never called.
  void set_on_closed(std::function<void()>) override {}

 private:
  ResponseWriterPtr writer_;         // null after the caller has disconnected
  ResponseWriterPtr closed_writer_;  // the writer of a caller that has disconnected
  std::shared_ptr<AnswerRecording> recording_;
  const size_t max_buffered_bytes_;
};

}  // namespace chalkshed
