#include "src/http/evhttp_messages.h"

#include <event2/buffer.h>
#include <event2/http.h>
#include <event2/keyvalq_struct.h>

#include <algorithm>

#include "src/http/connection_headers.h"
#include "src/http/error_response.h"

namespace chalkshed {
namespace {

std::string method_name(evhttp_cmd_type method) {
  switch (method) {
    case EVHTTP_REQ_GET:
      return "GET";
    case EVHTTP_REQ_POST:
      return "POST";
    case EVHTTP_REQ_PUT:
      return "PUT";
    case EVHTTP_REQ_DELETE:
      return "DELETE";
    case EVHTTP_REQ_PATCH:
      return "PATCH";
    case EVHTTP_REQ_HEAD:
      return "HEAD";
    default:
      return "OPTIONS";
  }
}

std::string_view trimmed(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const size_t first = text.find_first_not_of(kBlanks);
  return first == std::string_view::npos
             ? std::string_view()
             : text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

// @return the values of all headers of that name.
std::vector<std::string> header_values(const HttpHeaders& headers, std::string_view lower_name) {
  std::vector<std::string> values;
  for (const HttpHeader& header : headers) {
    if (lower_case(header.name) == lower_name) {
      values.emplace_back(trimmed(header.value));
    }
  }
  return values;
}

bool is_length(std::string_view text) {
  return !text.empty() && text.find_first_not_of("0123456789") == std::string_view::npos;
}

bool set_by_server(std::string_view header_name) {
  const HttpHeaders header = {{std::string(header_name), ""}};
  return find_header(header, "Transfer-Encoding") || find_header(header, "Keep-Alive");
}

}  // namespace

HttpRequest read_request(evhttp_request* request) {
  HttpRequest result;
  result.method = method_name(evhttp_request_get_command(request));
  const std::string_view target = evhttp_request_get_uri(request);
  const size_t query = target.find('?');
  result.path = std::string(target.substr(0, query));
  if (query != std::string_view::npos) {
    result.query = std::string(target.substr(query + 1));
    result.has_empty_query = result.query.empty();
  }
  for (const evkeyval* header = evhttp_request_get_input_headers(request)->tqh_first;
       header != nullptr; header = header->next.tqe_next) {
    result.headers.push_back({header->key, header->value});
  }
  evbuffer* body = evhttp_request_get_input_buffer(request);
  result.body.resize(evbuffer_get_length(body));
  evbuffer_remove(body, result.body.data(), result.body.size());
  return result;
}

size_t header_bytes(const HttpRequest& request) {
  size_t bytes = request.path.size() + request.query.size();
  for (const HttpHeader& header : request.headers) {
    bytes += header.name.size() + header.value.size();
  }
  return bytes;
}

bool has_unambiguous_framing(const HttpRequest& request) {
  const bool names_are_tokens =
      std::all_of(request.headers.begin(), request.headers.end(),
                  [](const HttpHeader& header) { return is_header_name(header.name); });
  const std::vector<std::string> codings = header_values(request.headers, "transfer-encoding");
  const std::vector<std::string> lengths = header_values(request.headers, "content-length");
  const bool one_framing = codings.size() + std::min<size_t>(lengths.size(), 1) <= 1;
  if (!names_are_tokens || !one_framing) {
    return false;
  }
  if (!codings.empty()) {
    return lower_case(codings.front()) == "chunked" && request.method != "HEAD";
  }
  return std::all_of(lengths.begin(), lengths.end(), [&](const std::string& length) {
    const bool no_body = length.find_first_not_of('0') == std::string::npos;
    return is_length(length) && length == lengths.front() && (no_body || request.method != "HEAD");
  });
}

void add_headers(evhttp_request* request, const HttpHeaders& headers) {
  evkeyvalq* output = evhttp_request_get_output_headers(request);
  for (const HttpHeader& header : headers) {
    if (!set_by_server(header.name)) {
      evhttp_add_header(output, header.name.c_str(), header.value.c_str());
    }
  }
}

std::string protocol_error_response(int status, const std::string& limits) {
  Error error = not_run(ErrorKind::kInvalidRequest,
                        "the HTTP request is malformed or its headers greatly exceed the limit",
                        "send a well-formed HTTP/1.1 request with at most " + limits);
  if (status == HTTP_ENTITYTOOLARGE) {
    error = not_run(ErrorKind::kTooLarge, "the request's body exceeds the limit",
                    "send at most " + limits);
  } else if (status == HTTP_NOTIMPLEMENTED) {
    error.message = "the HTTP method is not supported";
    error.remedy = "use GET, HEAD, POST, PUT, PATCH, DELETE or OPTIONS";
  }
  const std::string body = error_body(error);
  return "HTTP/1.1 " + std::to_string(status) +
         " Error\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

}  // namespace chalkshed
