// Dispatches requests to handlers by path prefix.
#pragma once

#include <map>
#include <string>

#include "src/core/http_message.h"

namespace chalkshed {

class HttpRouter : public HttpHandler {
 public:
  // Dispatches requests whose path is `prefix`, or continues after it with '/', to `handler`, which
  // must outlive the router. The longest prefix wins; the empty one matches every path.
  void add(std::string prefix, HttpHandler& handler) { handlers_[std::move(prefix)] = &handler; }
  // Responds with kNotFound if no prefix matches.
  void handle(HttpRequest request, ResponseWriterPtr writer) override;

 private:
  HttpHandler* find(std::string_view path) const;

  std::map<std::string, HttpHandler*, std::less<>> handlers_;
};

}  // namespace chalkshed
