#include "src/http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <event2/http.h>
#include <event2/http_struct.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <array>
#include <charconv>
#include <cstdio>
#include <functional>
#include <stdexcept>
#include <unordered_map>
#include <unordered_set>
#include <utility>

#include "src/event/socket_address.h"
#include "src/event/timeval.h"
#include "src/http/error_response.h"
#include "src/http/evhttp_messages.h"
#include "src/http/socket_write.h"

namespace chalkshed {
namespace {

constexpr int kListenBacklog = 1024;
// Limit for the bytes that a caller may send while its previous request is being handled.
constexpr size_t kMaxPipelinedBytes = 64 * 1024;
// evhttp reports headers over its own limit as malformed. Its limit is set higher, so that
// moderately oversized headers get a specific error.
constexpr size_t kHeaderHeadroom = 8;
constexpr int kAllowedMethods = EVHTTP_REQ_GET | EVHTTP_REQ_POST | EVHTTP_REQ_PUT |
                                EVHTTP_REQ_DELETE | EVHTTP_REQ_PATCH | EVHTTP_REQ_HEAD |
                                EVHTTP_REQ_OPTIONS;

// HTTP/1.0 has no chunked coding, so closing the connection marks the end of a streamed response.
// By default, evhttp honours the caller's keep-alive with a Content-Length of 0, which makes the
// response empty.
void close_after_response(evhttp_request* request) {
  evhttp_remove_header(evhttp_request_get_input_headers(request), "Connection");
  evhttp_remove_header(evhttp_request_get_output_headers(request), "Connection");
  evhttp_add_header(evhttp_request_get_output_headers(request), "Connection", "close");
}

}  // namespace

// One request and its response. Shared by the server and the writer; either may be destroyed first.
struct Exchange {
  evhttp_request* request = nullptr;  // null once the response or the connection has ended
  evhttp_connection* connection = nullptr;
  evbuffer* output = nullptr;
  std::function<void()> on_closed;
};
using ExchangePtr = std::shared_ptr<Exchange>;

class HttpServer::Implementation {
 public:
  Implementation(EventDispatcher& dispatcher, const Address& local, HttpHandler& handler,
                 const HttpServerKnobs& knobs);
  ~Implementation();
  Implementation(const Implementation&) = delete;
  Implementation& operator=(const Implementation&) = delete;

  void start(Exchange& exchange, int status, const HttpHeaders& headers);
  void write(Exchange& exchange, std::string_view chunk);
  void finish(Exchange& exchange);
  void respond(Exchange& exchange, const HttpResponse& response);
  void abort(Exchange& exchange);

  const Address& local() const { return local_; }
  void close_after_answers() { closing_ = true; }
  size_t requests_in_progress() const { return exchanges_.size() + flushing_.size(); }

 private:
  class Writer;

  void add_close_header(Exchange& exchange) const;
  static void write_unbuffered(Exchange& exchange, std::string_view chunk);
  void listen(EventDispatcher& dispatcher, const Address& local);
  void handle(evhttp_request* request);
  void watch_for_close(Exchange& exchange);
  // Ends the exchange in this class. @return the request, for the final call to evhttp.
  evhttp_request* release(Exchange& exchange);
  static void on_connection_closed(evhttp_connection* connection, void* argument);
  static void on_response_sent(evhttp_request* request, void* argument);
  static void on_closed_while_flushing(evhttp_connection* connection, void* argument);
  static bufferevent* create_connection(event_base* base, void* argument);
  std::string limits_text() const;
  static void on_output(evbuffer* buffer, const evbuffer_cb_info* change, void* argument);

  HttpHandler& handler_;
  HttpServerKnobs knobs_;
  Address local_;
  evhttp* http_;
  evbuffer* scratch_;
  bool replacing_output_ = false;
  bool closing_ = false;
  // Output buffers of connections whose current request is being handled.
  std::unordered_set<const evbuffer*> handling_;
  std::unordered_map<evhttp_connection*, ExchangePtr> exchanges_;
  // Connections whose responses have ended but are not fully sent.
  // Responses that are being sent, with what is released afterwards.
  std::unordered_map<const evhttp_connection*, std::shared_ptr<const void>> flushing_;
  std::shared_ptr<Implementation*> self_;  // points to null after destruction
};

class HttpServer::Implementation::Writer : public ResponseWriter {
 public:
  Writer(std::shared_ptr<Implementation*> server, ExchangePtr exchange)
      : server_(std::move(server)), exchange_(std::move(exchange)) {}
  ~Writer() override {
    exchange_->on_closed = nullptr;
    Writer::abort();
  }
  Writer(const Writer&) = delete;
  Writer& operator=(const Writer&) = delete;

  void start(int status, const HttpHeaders& headers) override {
    if (open()) {
      (*server_)->start(*exchange_, status, headers);
    }
  }
  void write(std::string_view chunk) override {
    if (open()) {
      (*server_)->write(*exchange_, chunk);
    }
  }
  void finish() override {
    if (open()) {
      (*server_)->finish(*exchange_);
    }
  }
  void respond(const HttpResponse& response) override {
    if (open()) {
      (*server_)->respond(*exchange_, response);
    }
  }
  void abort() override {
    if (open()) {
      (*server_)->abort(*exchange_);
    }
  }
  size_t buffered_bytes() const override {
    return open() ? evbuffer_get_length(exchange_->output) : 0;
  }
  void set_on_closed(std::function<void()> callback) override {
    exchange_->on_closed = std::move(callback);
  }

 private:
  bool open() const { return *server_ != nullptr && exchange_->request != nullptr; }

  std::shared_ptr<Implementation*> server_;
  ExchangePtr exchange_;
};

HttpServer::Implementation::Implementation(EventDispatcher& dispatcher, const Address& local,
                                           HttpHandler& handler, const HttpServerKnobs& knobs)
    : handler_(handler),
      knobs_(knobs),
      http_(evhttp_new(dispatcher.base())),
      scratch_(evbuffer_new()),
      self_(std::make_shared<Implementation*>(this)) {
  evhttp_set_allowed_methods(http_, kAllowedMethods);
  evhttp_set_max_headers_size(http_,
                              static_cast<ev_ssize_t>(kHeaderHeadroom * knobs.max_header_bytes));
  evhttp_set_max_body_size(http_, static_cast<ev_ssize_t>(knobs.max_body_bytes));
  evhttp_set_flags(http_, EVHTTP_SERVER_LINGERING_CLOSE);
  const timeval timeout = timeval_of(knobs.idle_timeout);
  evhttp_set_timeout_tv(http_, &timeout);
  evhttp_set_bevcb(http_, &Implementation::create_connection, this);
  evhttp_set_gencb(
      http_,
      [](evhttp_request* request, void* argument) {
        static_cast<Implementation*>(argument)->handle(request);
      },
      this);
  try {
    listen(dispatcher, local);
  } catch (...) {
    evhttp_free(http_);
    evbuffer_free(scratch_);
    throw;
  }
}

HttpServer::Implementation::~Implementation() {
  *self_ = nullptr;
  for (auto& [key, exchange] : exchanges_) {
    evhttp_connection_set_closecb(exchange->connection, nullptr, nullptr);
    exchange->request = nullptr;
    exchange->on_closed = nullptr;
  }
  exchanges_.clear();
  evhttp_free(http_);
  evbuffer_free(scratch_);
}

void HttpServer::Implementation::listen(EventDispatcher& dispatcher, const Address& local) {
  const std::optional<SocketAddress> address = to_socket_address(local);
  if (!address) {
    throw std::runtime_error("not a numeric IP address: " + to_string(local));
  }
  evconnlistener* listener =
      evconnlistener_new_bind(dispatcher.base(), nullptr, nullptr,
                              LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                              kListenBacklog, address->get(), static_cast<int>(address->length));
  if (listener == nullptr) {
    throw std::runtime_error("cannot listen on " + to_string(local) +
                             "; choose a free port of this machine");
  }
  const evutil_socket_t socket = evconnlistener_get_fd(listener);
  const int enabled = 1;
  // Accepted sockets inherit the option.
  setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
  SocketAddress bound;
  bound.length = sizeof(bound.storage);
  getsockname(socket, bound.get(), &bound.length);
  local_ = to_address(bound.get());
  evhttp_bind_listener(http_, listener);
}

bufferevent* HttpServer::Implementation::create_connection(event_base* base, void* argument) {
  // The bufferevent closes its descriptor itself, after its events are removed. evhttp would close
  // the descriptor while a callback of the connection may still be running: a new socket then
  // reuses the number while the old events are still registered under it, and its input is never
  // reported.
  bufferevent* connection = bufferevent_socket_new(base, -1, BEV_OPT_CLOSE_ON_FREE);
  evbuffer_add_cb(bufferevent_get_output(connection), &Implementation::on_output, argument);
  return connection;
}

// evhttp responds to requests that it rejects itself (malformed or oversized ones) with an HTML
// page that cannot be customized. It writes the whole page before any byte of it is sent, so the
// output is replaced by the typed error after each of these writes.
void HttpServer::Implementation::on_output(evbuffer* buffer, const evbuffer_cb_info* change,
                                           void* argument) {
  auto* self = static_cast<Implementation*>(argument);
  if (change->n_added == 0 || self->replacing_output_ || self->handling_.contains(buffer)) {
    return;
  }
  constexpr size_t kStatusOffset = sizeof("HTTP/1.1 ") - 1;
  std::array<char, kStatusOffset + 3> begin{};
  if (evbuffer_copyout(buffer, begin.data(), begin.size()) !=
      static_cast<ev_ssize_t>(begin.size())) {
    return;
  }
  int status = 0;
  std::from_chars(begin.data() + kStatusOffset, begin.data() + begin.size(), status);
  if (status < HTTP_BADREQUEST) {
    return;  // 100 Continue
  }
  self->replacing_output_ = true;
  const std::string text = protocol_error_response(status, self->limits_text());
  evbuffer_drain(buffer, evbuffer_get_length(buffer));
  evbuffer_add(buffer, text.data(), text.size());
  self->replacing_output_ = false;
}

std::string HttpServer::Implementation::limits_text() const {
  return std::to_string(knobs_.max_header_bytes) + " bytes of headers and " +
         std::to_string(knobs_.max_body_bytes) + " bytes of body";
}

void HttpServer::Implementation::handle(evhttp_request* request) {
  auto exchange = std::make_shared<Exchange>();
  exchange->request = request;
  exchange->connection = evhttp_request_get_connection(request);
  exchange->output =
      bufferevent_get_output(evhttp_connection_get_bufferevent(exchange->connection));
  handling_.insert(exchange->output);
  exchanges_.emplace(exchange->connection, exchange);
  watch_for_close(*exchange);
  HttpRequest message = read_request(request);
  char* peer_ip = nullptr;
  evhttp_connection_get_peer(exchange->connection, &peer_ip, &message.peer.port);
  message.peer.ip = peer_ip == nullptr ? "" : peer_ip;
  auto writer = std::make_unique<Writer>(self_, exchange);
  if (header_bytes(message) > knobs_.max_header_bytes) {
    writer->respond(error_response(
        not_run(ErrorKind::kTooLarge, "the request's headers exceed the limit",
                "send at most " + std::to_string(knobs_.max_header_bytes) + " bytes of headers")));
    return;
  }
  if (!has_unambiguous_framing(message)) {
    HttpResponse refusal = error_response(
        not_run(ErrorKind::kInvalidRequest, "the end of the request is ambiguous",
                "frame the body by a single Content-Length or by 'Transfer-Encoding: chunked'"));
    // The following bytes may be the rest of this request and must not be parsed as another one.
    refusal.headers.push_back({"Connection", "close"});
    writer->respond(refusal);
    return;
  }
  handler_.handle(std::move(message), std::move(writer));
}

// evhttp stops reading while a request is handled and so would not detect that the caller has
// disconnected. Reading is therefore enabled, but without evhttp's read callback and without the
// read timeout, because the caller is not expected to send anything.
void HttpServer::Implementation::watch_for_close(Exchange& exchange) {
  bufferevent* connection = evhttp_connection_get_bufferevent(exchange.connection);
  bufferevent_data_cb read_callback = nullptr;
  bufferevent_data_cb write_callback = nullptr;
  bufferevent_event_cb event_callback = nullptr;
  void* callback_argument = nullptr;
  bufferevent_getcb(connection, &read_callback, &write_callback, &event_callback,
                    &callback_argument);
  bufferevent_setcb(connection, nullptr, write_callback, event_callback, callback_argument);
  const timeval timeout = timeval_of(knobs_.idle_timeout);
  bufferevent_set_timeouts(connection, nullptr, &timeout);
  bufferevent_setwatermark(connection, EV_READ, 0, kMaxPipelinedBytes);
  bufferevent_enable(connection, EV_READ);
  evhttp_connection_set_closecb(exchange.connection, &Implementation::on_connection_closed, this);
}

void HttpServer::Implementation::on_connection_closed(evhttp_connection* connection,
                                                      void* argument) {
  auto* self = static_cast<Implementation*>(argument);
  const auto found = self->exchanges_.find(connection);
  if (found == self->exchanges_.end()) {
    return;
  }
  const ExchangePtr exchange = found->second;
  self->exchanges_.erase(found);
  self->handling_.erase(exchange->output);
  // evhttp has detached the unfinished request from its connection; it has to be freed here.
  evhttp_request_free(exchange->request);
  exchange->request = nullptr;
  if (exchange->on_closed) {
    const std::function<void()> callback = std::move(exchange->on_closed);
    callback();
  }
}

void HttpServer::Implementation::on_response_sent(evhttp_request* request, void* argument) {
  evhttp_connection* connection = evhttp_request_get_connection(request);
  static_cast<Implementation*>(argument)->flushing_.erase(connection);
  evhttp_connection_set_closecb(connection, nullptr, nullptr);
}

void HttpServer::Implementation::on_closed_while_flushing(evhttp_connection* connection,
                                                          void* argument) {
  static_cast<Implementation*>(argument)->flushing_.erase(connection);
}

evhttp_request* HttpServer::Implementation::release(Exchange& exchange) {
  evhttp_request* request = exchange.request;
  exchange.request = nullptr;
  exchange.on_closed = nullptr;
  evhttp_connection_set_closecb(exchange.connection, &Implementation::on_closed_while_flushing,
                                this);
  evhttp_request_set_on_complete_cb(request, &Implementation::on_response_sent, this);
  flushing_.emplace(exchange.connection, nullptr);
  bufferevent* connection = evhttp_connection_get_bufferevent(exchange.connection);
  const timeval timeout = timeval_of(knobs_.idle_timeout);
  bufferevent_set_timeouts(connection, &timeout, &timeout);
  bufferevent_setwatermark(connection, EV_READ, 0, 0);
  exchanges_.erase(exchange.connection);
  return request;
}

void HttpServer::Implementation::add_close_header(Exchange& exchange) const {
  if (closing_) {
    evkeyvalq* headers = evhttp_request_get_output_headers(exchange.request);
    evhttp_remove_header(headers, "Connection");
    evhttp_add_header(headers, "Connection", "close");
  }
}

void HttpServer::Implementation::start(Exchange& exchange, int status, const HttpHeaders& headers) {
  add_headers(exchange.request, headers);
  add_close_header(exchange);
  if (exchange.request->major == 1 && exchange.request->minor == 0) {
    close_after_response(exchange.request);
  }
  evhttp_send_reply_start(exchange.request, status, nullptr);
}

void HttpServer::Implementation::write(Exchange& exchange, std::string_view chunk) {
  if (chunk.empty()) {
    return;
  }
  if (exchange.request->chunked != 0 && evbuffer_get_length(exchange.output) == 0) {
    write_unbuffered(exchange, chunk);
    return;
  }
  evbuffer_add(scratch_, chunk.data(), chunk.size());
  evhttp_send_reply_chunk(exchange.request, scratch_);
  evbuffer_drain(scratch_, evbuffer_get_length(scratch_));
}

// Streams send a few bytes at a time. Sending them directly saves a turn of the event loop and four
// system calls per chunk compared to buffered output. Bytes that the kernel does not accept are
// buffered.
void HttpServer::Implementation::write_unbuffered(Exchange& exchange, std::string_view chunk) {
  std::array<char, 2 * sizeof(size_t) + 3> size_line{};
  const int size_length =
      std::snprintf(size_line.data(), size_line.size(), "%zx\r\n", chunk.size());
  const std::array<std::string_view, 3> parts = {
      std::string_view(size_line.data(), static_cast<size_t>(size_length)), chunk, "\r\n"};
  bufferevent* connection = evhttp_connection_get_bufferevent(exchange.connection);
  size_t sent = send_parts(bufferevent_getfd(connection), parts);
  for (const std::string_view part : parts) {
    const size_t skipped = std::min(sent, part.size());
    sent -= skipped;
    evbuffer_add(exchange.output, part.data() + skipped, part.size() - skipped);
  }
}

void HttpServer::Implementation::finish(Exchange& exchange) {
  const evbuffer* output = exchange.output;
  evhttp_send_reply_end(release(exchange));
  handling_.erase(output);
}

void HttpServer::Implementation::respond(Exchange& exchange, const HttpResponse& response) {
  add_headers(exchange.request, response.headers);
  add_close_header(exchange);
  const evbuffer* output = exchange.output;
  // A body in the response to HEAD would be parsed as the start of the next response.
  if (evhttp_request_get_command(exchange.request) != EVHTTP_REQ_HEAD) {
    evbuffer_add(scratch_, response.body.data(), response.body.size());
  }
  const evhttp_connection* connection = exchange.connection;
  evhttp_request* request = release(exchange);
  flushing_[connection] = response.until_sent;
  evhttp_send_reply(request, response.status, nullptr, scratch_);
  evbuffer_drain(scratch_, evbuffer_get_length(scratch_));
  handling_.erase(output);
}

void HttpServer::Implementation::abort(Exchange& exchange) {
  const evbuffer* output = exchange.output;
  evhttp_connection* connection = exchange.connection;
  static_cast<void>(release(exchange));
  // Resets the connection (evhttp would close it gracefully), so that even a caller that reads
  // until the end of the connection detects the abort.
  const sockaddr unspecified{.sa_family = AF_UNSPEC, .sa_data = {}};
  static_cast<void>(connect(bufferevent_getfd(evhttp_connection_get_bufferevent(connection)),
                            &unspecified, sizeof(unspecified)));
  evhttp_connection_free(connection);
  handling_.erase(output);
}

HttpServer::HttpServer(EventDispatcher& dispatcher, const Address& local, HttpHandler& handler,
                       const HttpServerKnobs& knobs)
    : implementation_(std::make_unique<Implementation>(dispatcher, local, handler, knobs)) {}

HttpServer::~HttpServer() = default;

const Address& HttpServer::local() const { return implementation_->local(); }

void HttpServer::close_after_answers() { implementation_->close_after_answers(); }

size_t HttpServer::requests_in_progress() const { return implementation_->requests_in_progress(); }

}  // namespace chalkshed
