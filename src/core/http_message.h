// HTTP messages as the gateway and the adapters use them, independent of any HTTP library.
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

// @return the number of headers of that name (case-insensitive).
size_t count_headers(const HttpHeaders& headers, std::string_view name);

// Whether `name` is a valid header name: a token as defined by RFC 9110, section 5.6.2. Other names
// are parsed differently by different servers.
bool is_header_name(std::string_view name);

struct HttpRequest {
  std::string method;  // uppercase
  std::string path;    // without the query
  std::string query;   // without '?'
  HttpHeaders headers;
  std::string body;
  Address peer;
  // The target ends in '?' without a query, which some back ends distinguish from no '?'.
  bool has_empty_query = false;
};

struct HttpResponse {
  int status = 200;
  HttpHeaders headers;
  std::string body;
  // Released once the server has sent the response, or its caller is gone.
  std::shared_ptr<const void> until_sent = nullptr;
};

// Writes the response to one request. Exactly one of finish() and abort() ends the response.
// Destroying a writer whose response has not ended aborts it.
class ResponseWriter {
 public:
  virtual ~ResponseWriter() = default;
  // Sends status and headers of a streamed (chunked) response.
  virtual void start(int status, const HttpHeaders& headers) = 0;
  virtual void write(std::string_view chunk) = 0;
  virtual void finish() = 0;
  // Sends a complete response with its length; replaces start, write and finish.
  virtual void respond(const HttpResponse& response) = 0;
  // Closes the connection so that the caller detects a truncated response as an error.
  virtual void abort() = 0;
  // @return bytes written but not yet read by the peer; used to limit buffering for slow readers.
  virtual size_t buffered_bytes() const = 0;
  // Calls `callback` once if the caller disconnects before the response has ended. Afterwards the
  // writer may only be destroyed.
  virtual void set_on_closed(std::function<void()> callback) = 0;
};
using ResponseWriterPtr = std::unique_ptr<ResponseWriter>;

// Handles HTTP requests. Implementations respond through the writer, immediately or later.
class HttpHandler {
 public:
  virtual ~HttpHandler() = default;
  virtual void handle(HttpRequest request, ResponseWriterPtr writer) = 0;
};

}  // namespace chalkshed
