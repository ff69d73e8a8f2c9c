#include "src/http/http_router.h"

#include "src/http/error_response.h"

namespace chalkshed {

HttpHandler* HttpRouter::find(std::string_view path) const {
  while (true) {
    const auto found = handlers_.find(path);
    if (found != handlers_.end()) {
      return found->second;
    }
    if (path.empty()) {
      return nullptr;
    }
    const size_t slash = path.rfind('/');
    path = path.substr(0, slash == std::string_view::npos ? 0 : slash);
  }
}

void HttpRouter::handle(HttpRequest request, ResponseWriterPtr writer) {
  HttpHandler* handler = find(request.path);
  if (handler != nullptr) {
    handler->handle(std::move(request), std::move(writer));
    return;
  }
  writer->respond(
      error_response(not_run(ErrorKind::kNotFound, "no such path: " + request.path,
                             "see the operator documentation for the supported paths")));
}

}  // namespace chalkshed
