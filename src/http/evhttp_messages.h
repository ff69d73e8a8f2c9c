// Conversion between evhttp's requests and ours.
#pragma once

#include <string>

#include "src/core/http_message.h"

struct evhttp_request;

namespace chalkshed {

// Takes the body out of `request`. The peer is left empty.
HttpRequest read_request(evhttp_request* request);

// @return bytes of the target and all headers.
size_t header_bytes(const HttpRequest& request);

// Whether every reader of HTTP finds the end of the request where evhttp has found it. evhttp takes
// the first of several lengths, reads no body behind a coding that it does not know or behind HEAD,
// and then takes the body for the next request of the connection.
bool is_framed_for_all(const HttpRequest& request);

// Adds the headers of an answer, except those by which the server itself frames it.
void add_headers(evhttp_request* request, const HttpHeaders& headers);

// @param limits what may be sent, in words.
// @return the whole answer, as bytes, to a request that evhttp refused before any handler saw it.
std::string protocol_error_text(int status, const std::string& limits);

}  // namespace chalkshed
