#include "src/adapters/http_engine_client.h"

#include "src/adapters/engine_codec.h"
#include "src/adapters/error_codec.h"

namespace chalkshed {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kMaxErrorBodyBytes = 64 * 1024;

HttpRequest generate_request(const GenerateRequest& request) {
  HttpRequest http_request;
  http_request.method = "POST";
  http_request.path = "/generate";
  http_request.body = encode_generate_request(request);
  return http_request;
}

HttpCallOptions generate_options(const GenerateRequest& request) {
  HttpCallOptions options;
  options.pool = request.priority == EnginePriority::kOnline ? "engine_online" : "engine_batch";
  options.fresh_connection = request.fresh_connection;
  options.connect_timeout = request.connect_timeout;
  options.idle_timeout = request.idle_timeout;
  return options;
}

// Converts the body of one call to stream events. The receiver may destroy it inside any event.
class HttpGenerateStream : public GenerateStream, public HttpCallCallbacks {
 public:
  HttpGenerateStream(HttpClient& client, const Address& worker, const GenerateRequest& request,
                     GenerateCallbacks& callbacks, size_t max_line_bytes)
      : callbacks_(callbacks), max_line_bytes_(max_line_bytes), attempt_id_(request.attempt_id) {
    call_ = client.send(worker, generate_request(request), generate_options(request), *this);
  }
  ~HttpGenerateStream() override {
    if (destroyed_ != nullptr) {
      *destroyed_ = true;
    }
  }
  HttpGenerateStream(const HttpGenerateStream&) = delete;
  HttpGenerateStream& operator=(const HttpGenerateStream&) = delete;

  void on_headers(int status, const HttpHeaders& /*headers*/) override { status_ = status; }

  void on_body(std::string_view data) override {
    if (ended_) {
      return;
    }
    if (status_ != kStatusOk) {
      buffer_.append(
          data.substr(0, kMaxErrorBodyBytes - std::min(buffer_.size(), kMaxErrorBodyBytes)));
      return;
    }
    read_lines(data);
  }

  void on_end() override {
    if (ended_) {
      return;
    }
    if (status_ != kStatusOk) {
      fail(refusal());
    } else if (result_) {
      ended_ = true;
      callbacks_.on_complete(*result_);
    } else {
      fail(broken("the engine's stream ended without an end mark"));
    }
  }

  void on_error(const Error& error) override {
    if (ended_) {
      return;
    }
    if (result_) {
      ended_ = true;
      callbacks_.on_complete(*result_);  // the end mark was received, so the completion is complete
    } else {
      fail(error);
    }
  }

 private:
  // That the attempt did not run is shown by an error that names it, or by the first answer of a
  // connection: one on a kept connection may belong to an earlier attempt.
  Error refusal() const {
    Error error = decode_error(status_, buffer_);
    if (call_->connection_use() > 1 && !names_attempt(buffer_, attempt_id_)) {
      error.ran = Ran::kUnknown;
    }
    return error;
  }

  static Error broken(std::string message) {
    return maybe_run(ErrorKind::kUpstreamFailed, std::move(message),
                     "resume or retry on another worker");
  }

  void fail(const Error& error) {
    ended_ = true;
    callbacks_.on_error(error);
  }

  void read_lines(std::string_view data) {
    bool destroyed = false;
    destroyed_ = &destroyed;
    while (!data.empty() && !ended_) {
      const size_t end = data.find('\n');
      if (end == std::string_view::npos) {
        buffer_.append(data);
        break;
      }
      std::string_view line = data.substr(0, end);
      if (!buffer_.empty()) {
        buffer_.append(line);
        line = buffer_;
      }
      data.remove_prefix(end + 1);
      handle_line(line);
      if (destroyed) {
        return;
      }
      buffer_.clear();
    }
    destroyed_ = nullptr;
    if (!ended_ && buffer_.size() > max_line_bytes_) {
      fail(broken("the engine sent a line of more than " + std::to_string(max_line_bytes_) +
                  " bytes"));
    }
  }

  void handle_line(std::string_view text) {
    Expected<StreamLine> line = decode_stream_line(text);
    if (!line) {
      fail(line.error());
    } else if (result_) {
      fail(broken("the engine sent events after its end mark"));
    } else if (const auto* chunk = std::get_if<GenerateChunk>(&*line)) {
      callbacks_.on_chunk(*chunk);
    } else {
      // Completion is deferred to the end of the body, so that the connection can be reused.
      result_ = std::get<GenerateResult>(*line);
    }
  }

  GenerateCallbacks& callbacks_;
  size_t max_line_bytes_;
  const std::string attempt_id_;
  int status_ = 0;
  bool ended_ = false;
  bool* destroyed_ = nullptr;  // set while lines are handled
  std::string buffer_;         // incomplete line, or the body of an error response
  std::optional<GenerateResult> result_;
  HttpCallPtr call_;
};

Expected<EngineLoad> read_load(const Expected<HttpResponse>& response) {
  if (!response) {
    return tl::unexpected(response.error());
  }
  if (response->status != kStatusOk) {
    return tl::unexpected(decode_error(response->status, response->body));
  }
  return decode_load(response->body);
}

}  // namespace

GenerateStreamPtr HttpEngineClient::generate(const Address& worker, GenerateRequest request,
                                             GenerateCallbacks& callbacks) {
  return std::make_unique<HttpGenerateStream>(client_, worker, request, callbacks,
                                              knobs_.max_line_bytes);
}

void HttpEngineClient::fetch_load(const Address& worker, Callback<EngineLoad> callback) {
  HttpRequest request;
  request.method = "GET";
  request.path = "/load";
  HttpCallOptions options;
  options.pool = "engine_load";
  options.connect_timeout = knobs_.load_timeout;
  options.idle_timeout = knobs_.load_timeout;
  client_.fetch(worker, request, options,
                [callback = std::move(callback)](const Expected<HttpResponse>& response) {
                  callback(read_load(response));
                });
}

}  // namespace chalkshed
