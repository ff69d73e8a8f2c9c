// Conversion between evhttp requests and HttpRequest.
#pragma once

#include <string>

#include "src/core/http_message.h"

struct evhttp_request;

namespace chalkshed {

// Moves the body out of `request`. The peer is left empty.
HttpRequest read_request(evhttp_request* request);

// @return the number of bytes of the target and all headers.
size_t header_bytes(const HttpRequest& request);

// Whether every HTTP implementation finds the end of the request where evhttp found it. evhttp uses
// the first of several lengths and reads no body after an unknown transfer coding or a HEAD
// request; it then takes the body for the next request on the connection.
bool has_unambiguous_framing(const HttpRequest& request);

// Adds response headers, except those that the server itself sets for framing.
void add_headers(evhttp_request* request, const HttpHeaders& headers);

// @param limits description of the size limits.
// @return the serialized response to a request that evhttp rejected before it reached a handler.
std::string protocol_error_response(int status, const std::string& limits);

}  // namespace chalkshed
