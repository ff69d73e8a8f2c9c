#include "src/gateway/recording_writer.h"

#include <algorithm>

#include "src/gateway/answer_writer.h"

namespace chalkshed {

void AnswerRecording::start(int status, const HttpHeaders& headers) {
  response_.status = status;
  // Each resend has its own request id.
  std::copy_if(headers.begin(), headers.end(), std::back_inserter(response_.headers),
               [](const HttpHeader& header) { return header.name != kRequestIdHeader; });
}

void AnswerRecording::append(std::string_view chunk) {
  too_large_ = too_large_ || response_.body.size() + chunk.size() > max_bytes_;
  if (!too_large_) {
    response_.body += chunk;
  }
}

std::optional<HttpResponse> AnswerRecording::take() {
  if (!finished_ || too_large_) {
    return std::nullopt;
  }
  return std::move(response_);
}

RecordingWriter::RecordingWriter(ResponseWriterPtr writer,
                                 std::shared_ptr<AnswerRecording> recording,
                                 size_t max_buffered_bytes)
    : writer_(std::move(writer)),
      recording_(std::move(recording)),
      max_buffered_bytes_(max_buffered_bytes) {
  if (writer_) {
    // Called by the writer itself, which must therefore not be destroyed here.
    writer_->set_on_closed([this] { closed_writer_ = std::move(writer_); });
  }
}

void RecordingWriter::start(int status, const HttpHeaders& headers) {
  recording_->start(status, headers);
  if (writer_) {
    writer_->start(status, headers);
  }
}

void RecordingWriter::write(std::string_view chunk) {
  recording_->append(chunk);
  if (!writer_) {
    return;
  }
  writer_->write(chunk);
  if (writer_->buffered_bytes() > max_buffered_bytes_) {
    writer_->abort();
    writer_.reset();
  }
}

void RecordingWriter::finish() {
  recording_->finish();
  if (writer_) {
    writer_->finish();
  }
}

void RecordingWriter::respond(const HttpResponse& response) {
  recording_->start(response.status, response.headers);
  recording_->append(response.body);
  recording_->finish();
  if (writer_) {
    writer_->respond(response);
  }
}

void RecordingWriter::abort() {
  if (writer_) {
    writer_->abort();
  }
}

}  // namespace chalkshed
