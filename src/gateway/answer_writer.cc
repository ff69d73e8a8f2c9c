#include "src/gateway/answer_writer.h"

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

// Whether a retry of the same request may succeed after a while.
bool is_transient(ErrorKind kind) {
  switch (kind) {
    case ErrorKind::kLimitExceeded:
    case ErrorKind::kOverloaded:
    case ErrorKind::kDeadlineExceeded:
    case ErrorKind::kUnavailable:
    case ErrorKind::kStoreUnavailable:
    case ErrorKind::kUpstreamFailed:
    case ErrorKind::kDraining:
      return true;
    default:
      return false;
  }
}

}  // namespace

AnswerWriter::AnswerWriter(ResponseWriterPtr writer, std::string request_id,
                           const GatewayKnobs& knobs)
    : writer_(std::move(writer)),
      request_id_(std::move(request_id)),
      max_buffered_bytes_(knobs.max_buffered_answer_bytes),
      default_retry_after_(knobs.default_retry_after) {}

void AnswerWriter::start(int status, HttpHeaders headers) {
  started_ = true;
  headers.push_back({kRequestIdHeader, request_id_});
  writer_->start(status, headers);
}

bool AnswerWriter::write(std::string_view chunk) {
  writer_->write(chunk);
  if (writer_->buffered_bytes() <= max_buffered_bytes_) {
    return true;
  }
  abort();
  return false;
}

void AnswerWriter::finish() { writer_->finish(); }

void AnswerWriter::abort() {
  if (!aborted_) {
    aborted_ = true;
    writer_->abort();
  }
}

void AnswerWriter::respond(HttpResponse response) {
  started_ = true;
  response.headers.push_back({kRequestIdHeader, request_id_});
  writer_->respond(response);
}

void AnswerWriter::refuse(Error error) {
  if (!error.retry_after && is_transient(error.kind)) {
    error.retry_after = default_retry_after_;
  }
  respond(error_response(error));
}

void AnswerWriter::set_on_closed(std::function<void()> callback) {
  writer_->set_on_closed(std::move(callback));
}

}  // namespace chalkshed
