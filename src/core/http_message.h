// HTTP messages as the gateway and the adapters see them, free of any HTTP library.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/address.h"

namespace chalkshed {

struct HttpHeader {
  std::string name;
  std::string value;
};
using HttpHeaders = std::vector<HttpHeader>;

// @return the value of the first header of that name (case-insensitive), if any.
std::optional<std::string_view> find_header(const HttpHeaders& headers, std::string_view name);

// Whether `name` can stand in front of a header's colon: a token by RFC 9110, section 5.6.2. Other
// names are read differently by different servers.
bool is_header_name(std::string_view name);

struct HttpRequest {
  std::string method;  // uppercase
  std::string path;    // without the query
  std::string query;   // without '?'
  HttpHeaders headers;
  std::string body;
  Address peer;
  // The target ends in a '?' with nothing behind it: for some back ends not the same as without.
  bool has_empty_query = false;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
};

// The answer to one request, as it is written. Exactly one of finish() and abort() ends it.
// Destroying a writer that was not ended aborts it.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // Sends status and headers of a streamed answer (chunked).
  virtual void start(int status, const HttpHeaders& headers) = 0;
  virtual void write(std::string_view chunk) = 0;
  virtual void finish() = 0;
  // Sends a whole answer with its length; stands for start, write and finish.
  virtual void respond(const HttpResponse& response) = 0;
  // Closes the connection so that the caller sees a broken answer, never a short one.
  virtual void abort() = 0;
  // @return bytes written but not yet taken by the peer; bounds what a slow reader may pile up.
  virtual size_t buffered_bytes() const = 0;
  // Calls `callback` once if the caller goes away before the answer ended. The writer must not be
  // used afterwards except to destroy it.
  virtual void set_on_closed(std::function<void()> callback) = 0;
};
using ResponseWriterPtr = std::unique_ptr<ResponseWriter>;

// Serves HTTP requests. Implementations answer through the writer now or later.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void handle(HttpRequest request, ResponseWriterPtr writer) = 0;
};

}  // namespace chalkshed
