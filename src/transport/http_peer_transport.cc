#include "src/transport/http_peer_transport.h"

#include "src/http/error_response.h"

namespace chalkshed {
namespace {

constexpr int kOk = 200;

Expected<std::string> read_response(Expected<HttpResponse> response) {
  if (!response) {
    return tl::unexpected(std::move(response.error()));
  }
  if (response->status != kOk) {
    return tl::unexpected(parse_error_response(*response));
  }
  return std::move(response->body);
}

}  // namespace

void HttpPeerClient::call(const Address& node, std::string method, std::string body,
                          Callback<std::string> callback) {
  HttpRequest request;
  request.method = "POST";
  request.path = std::string(kPeerPathPrefix) + method;
  request.headers.push_back({"Content-Type", "application/octet-stream"});
  request.body = std::move(body);
  HttpCallOptions options;
  options.pool = "peer";
  options.connect_timeout = knobs_.connect_timeout;
  options.idle_timeout = knobs_.idle_timeout;
  client_.fetch(node, request, options,
                [callback = std::move(callback)](Expected<HttpResponse> response) {
                  callback(read_response(std::move(response)));
                });
}

void HttpPeerServer::register_method(std::string method, Handler handler) {
  methods_[std::move(method)] = std::move(handler);
}

void HttpPeerServer::handle(HttpRequest request, ResponseWriterPtr writer) {
  const std::string_view path = request.path;
  const auto found = path.starts_with(kPeerPathPrefix)
                         ? methods_.find(path.substr(kPeerPathPrefix.size()))
                         : methods_.end();
  if (found == methods_.end()) {
    writer->respond(
        error_response(not_run(ErrorKind::kNotFound, "no peer method at " + request.path,
                               "run the same release on all nodes")));
    return;
  }
  const std::shared_ptr<ResponseWriter> shared_writer = std::move(writer);
  found->second(std::move(request.body), [shared_writer](Expected<std::string> result) {
    if (!result) {
      shared_writer->respond(error_response(result.error()));
      return;
    }
    HttpResponse response;
    response.headers.push_back({"Content-Type", "application/octet-stream"});
    response.body = std::move(*result);
    shared_writer->respond(response);
  });
}

}  // namespace chalkshed
