#include "src/http/client_connection.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>
#include <algorithm>
#include <array>
#include <cerrno>
#include <cstdlib>
#include <optional>
#include <utility>

#include "chalkshed/socket_liveness.h"
#include "src/core/digest.h"
#include "src/event/socket_address.h"
#include "src/event/timeval.h"
#include "src/http/socket_write.h"

namespace chalkshed {
namespace {

// A connection is not reused beyond this many named requests.
constexpr size_t kMaxNames = 512;
// A worker in trouble may send answers without end.
constexpr size_t kMaxSkippedBytes = size_t{256} * 1024;

// A line read from a buffer, without its line terminator.
class Line {
 public:
  explicit Line(evbuffer* input) : text_(evbuffer_readln(input, &size_, EVBUFFER_EOL_CRLF)) {}
  ~Line() { free(text_); }
  Line(const Line&) = delete;
  Line& operator=(const Line&) = delete;
  explicit operator bool() const { return text_ != nullptr; }
  std::string_view text() const { return {text_, size_}; }

 private:
  size_t size_ = 0;
  char* text_;
};

}  // namespace

ClientConnection::ClientConnection(EventDispatcher& dispatcher, ConnectionKey key,
                                   size_t max_header_bytes, Observer& observer)
    : dispatcher_(dispatcher),
      key_(std::move(key)),
      max_header_bytes_(max_header_bytes),
      observer_(observer) {}

ClientConnection::~ClientConnection() { close(); }

void ClientConnection::send(std::string wire, bool head_only, const HttpCallOptions& options,
                            HttpCallCallbacks& callbacks) {
  wire_ = std::move(wire);
  callbacks_ = &callbacks;
  ++exchange_number_;
  reading_paused_ = false;
  idle_timeout_ = options.idle_timeout;
  head_only_ = head_only;
  single_use_ = options.own_connection;
  has_skipped_ = false;
  skipped_bytes_ = 0;
  if (!options.name.empty()) {
    carried_.push_back(content_hash(options.name));
  }
  expect_answer();
  if (state_ == State::kIdle) {
    begin_exchange();
    return;
  }
  connect(options.connect_timeout);
}

void ClientConnection::expect_answer() {
  parser_ = ResponseHeadParser(head_only_);
  head_bytes_ = 0;
  skipping_ = false;
}

bool ClientConnection::has_carried(std::string_view name) const {
  return !name.empty() &&
         std::find(carried_.begin(), carried_.end(), content_hash(name)) != carried_.end();
}

bool ClientConnection::skip_answer() {
  const ResponseHead& head = parser_.head();
  if (!head.keep_alive || head.framing == BodyFraming::kUntilClose) {
    return false;
  }
  skipping_ = true;
  has_skipped_ = true;
  return true;
}

bool ClientConnection::exceeds_skipped(size_t bytes) {
  skipped_bytes_ += bytes;
  if (skipped_bytes_ <= kMaxSkippedBytes) {
    return false;
  }
  fail_malformed("answers to other requests exceed the limit");
  return true;
}

void ClientConnection::connect(Duration timeout) {
  state_ = State::kConnecting;
  const std::optional<SocketAddress> address = to_socket_address(key_.server);
  const int socket = !address ? -1
                              : ::socket(address->storage.ss_family,
                                         SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket >= 0) {
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    set_socket_liveness(socket);
    socket_ = bufferevent_socket_new(dispatcher_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(socket_, &ClientConnection::on_readable, nullptr, &ClientConnection::on_event,
                      this);
    const timeval limit = timeval_of(timeout);
    bufferevent_set_timeouts(socket_, nullptr, &limit);
  }
  const bool started =
      socket >= 0 &&
      bufferevent_socket_connect(socket_, address->get(), static_cast<int>(address->length)) == 0;
  if (!started) {
    dispatcher_.post([weak = weak_from_this()] {
      const std::shared_ptr<ClientConnection> self = weak.lock();
      if (self && self->state_ == State::kConnecting) {
        self->fail(ErrorKind::kUnavailable, Ran::kNo, "cannot open a connection");
      }
    });
  }
}

// The request is written only after the connection is established, so that a failure before this
// point proves that no byte of it has reached the server.
void ClientConnection::begin_exchange() {
  state_ = State::kHead;
  const timeval limit = timeval_of(idle_timeout_);
  bufferevent_set_timeouts(socket_, &limit, &limit);
  bufferevent_enable(socket_, EV_READ | EV_WRITE);
  // Sends directly to save a turn of the event loop. Bytes that the kernel does not accept are
  // buffered.
  const std::array<std::string_view, 1> parts = {wire_};
  const size_t sent = send_parts(bufferevent_getfd(socket_), parts);
  if (sent < wire_.size()) {
    bufferevent_write(socket_, wire_.data() + sent, wire_.size() - sent);
  }
  wire_ = std::string();
}

void ClientConnection::set_idle(Duration lifetime) {
  state_ = State::kIdle;
  constexpr Duration kSafetyMargin = std::chrono::seconds(1);
  constexpr Duration kMinLifetime = std::chrono::milliseconds(200);
  if (const auto seconds = parser_.head().keep_alive_seconds) {
    const Duration announced = std::chrono::seconds(*seconds);
    lifetime = std::min(lifetime, std::max(announced - kSafetyMargin, kMinLifetime));
  }
  const timeval limit = timeval_of(lifetime);
  bufferevent_set_timeouts(socket_, &limit, nullptr);
}

bool ClientConnection::is_silent() const {
  char byte = 0;
  const ssize_t size =
      recv(bufferevent_getfd(socket_), &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT);
  if (size > 0) {
    observer_.on_unsolicited(*this);
  }
  return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

void ClientConnection::pause_reading() {
  reading_paused_ = true;
  bufferevent_disable(socket_, EV_READ);
}

void ClientConnection::resume_reading() {
  reading_paused_ = false;
  bufferevent_enable(socket_, EV_READ);
  // Data that has already arrived is in the buffer and triggers no event by itself.
  bufferevent_trigger(socket_, EV_READ, BEV_TRIG_IGNORE_WATERMARKS | BEV_TRIG_DEFER_CALLBACKS);
}

void ClientConnection::close() {
  state_ = State::kClosed;
  callbacks_ = nullptr;
  if (socket_ != nullptr) {
    bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
    bufferevent_free(socket_);
    socket_ = nullptr;
  }
}

void ClientConnection::on_readable(bufferevent* /*socket*/, void* argument) {
  const auto self = static_cast<ClientConnection*>(argument)->shared_from_this();
  self->read();
}

void ClientConnection::on_event(bufferevent* /*socket*/, short what, void* argument) {
  const auto self = static_cast<ClientConnection*>(argument)->shared_from_this();
  if ((what & BEV_EVENT_CONNECTED) != 0) {
    self->begin_exchange();
    return;
  }
  if ((what & BEV_EVENT_TIMEOUT) != 0) {
    self->handle_end_of_connection("timed out");
    return;
  }
  const bool clean_end = (what & BEV_EVENT_EOF) != 0;
  if (clean_end && self->state_ == State::kBody &&
      self->parser_.head().framing == BodyFraming::kUntilClose) {
    self->complete();
    return;
  }
  self->handle_end_of_connection(clean_end ? "was closed by the server" : "broke");
}

void ClientConnection::handle_end_of_connection(const std::string& cause) {
  switch (state_) {
    case State::kConnecting:
      fail(ErrorKind::kUnavailable, Ran::kNo, "the connection " + cause + " while connecting");
      return;
    case State::kHead:
      fail(ErrorKind::kUpstreamFailed, Ran::kUnknown,
           "the connection " + cause + " before the response began");
      return;
    case State::kBody:
      fail(ErrorKind::kUpstreamFailed, Ran::kUnknown,
           "the connection " + cause + " before the end of the response");
      return;
    default:
      close();
      observer_.on_finished(*this);
      return;
  }
}

void ClientConnection::read() {
  if (state_ == State::kIdle) {
    observer_.on_unsolicited(*this);
    handle_end_of_connection("sent unsolicited data");
    return;
  }
  bool progress = true;
  while (progress && !reading_paused_ && (state_ == State::kHead || state_ == State::kBody)) {
    evbuffer* input = bufferevent_get_input(socket_);
    progress = state_ == State::kHead ? read_head(input) : read_body(input);
  }
}

bool ClientConnection::read_head(evbuffer* input) {
  const Line line(input);
  head_bytes_ += line ? line.text().size() : 0;
  const size_t pending = line ? 0 : evbuffer_get_length(input);
  if (head_bytes_ + pending > max_header_bytes_) {
    fail_malformed("the response headers exceed the limit");
    return false;
  }
  if (!line) {
    return false;
  }
  switch (parser_.add_line(line.text())) {
    case ResponseHeadParser::Progress::kMore:
      return true;
    case ResponseHeadParser::Progress::kMalformed:
      fail_malformed("the response is not well-formed HTTP");
      return false;
    case ResponseHeadParser::Progress::kComplete:
      break;
  }
  const ResponseHead& head = parser_.head();
  state_ = State::kBody;
  remaining_ = head.content_length;
  awaiting_chunk_end_ = false;
  in_trailer_ = false;
  callbacks_->on_headers(head.status, head.headers);
  // The callback may have abandoned the call, which closes the connection.
  return state_ == State::kBody && !(skipping_ && exceeds_skipped(head_bytes_));
}

bool ClientConnection::read_body(evbuffer* input) {
  switch (parser_.head().framing) {
    case BodyFraming::kNone:
      return complete();
    case BodyFraming::kLength:
      if (remaining_ == 0) {
        return complete();
      }
      return deliver(input, remaining_) > 0;
    case BodyFraming::kUntilClose:
      remaining_ = UINT64_MAX;
      return deliver(input, remaining_) > 0;
    case BodyFraming::kChunked:
      break;
  }
  if (in_trailer_) {
    return read_trailer(input);
  }
  return remaining_ > 0 ? deliver(input, remaining_) > 0 : read_chunk_line(input);
}

bool ClientConnection::read_chunk_line(evbuffer* input) {
  const Line line(input);
  if (!line) {
    if (evbuffer_get_length(input) > max_header_bytes_) {
      fail_malformed("the response has a malformed chunk");
    }
    return false;
  }
  if (awaiting_chunk_end_) {
    awaiting_chunk_end_ = false;
    if (!line.text().empty()) {
      fail_malformed("the response has a malformed chunk");
    }
    return state_ == State::kBody;
  }
  const std::optional<uint64_t> size = parse_chunk_size(line.text());
  if (!size) {
    fail_malformed("the response has a malformed chunk");
    return false;
  }
  remaining_ = *size;
  in_trailer_ = *size == 0;
  awaiting_chunk_end_ = *size > 0;
  return true;
}

bool ClientConnection::read_trailer(evbuffer* input) {
  const Line line(input);
  // The limit applies to head and trailer together.
  head_bytes_ += line ? line.text().size() : 0;
  const size_t pending = line ? 0 : evbuffer_get_length(input);
  if (head_bytes_ + pending > max_header_bytes_) {
    fail_malformed("the response trailer exceeds the limit");
    return false;
  }
  if (!line) {
    return false;
  }
  return line.text().empty() ? complete() : true;
}

size_t ClientConnection::deliver(evbuffer* input, uint64_t limit) {
  evbuffer_iovec segment{};
  if (evbuffer_peek(input, -1, nullptr, &segment, 1) < 1 || segment.iov_len == 0) {
    return 0;
  }
  const size_t size = std::min<uint64_t>(segment.iov_len, limit);
  remaining_ -= size;
  if (skipping_) {
    evbuffer_drain(input, size);
    return exceeds_skipped(size) ? 0 : size;
  }
  callbacks_->on_body({static_cast<const char*>(segment.iov_base), size});
  // The callback may have abandoned the call, which closes the connection.
  if (state_ == State::kBody) {
    evbuffer_drain(input, size);
  }
  return size;
}

bool ClientConnection::complete() {
  if (skipping_) {
    expect_answer();
    state_ = State::kHead;
    return true;
  }
  HttpCallCallbacks* callbacks = std::exchange(callbacks_, nullptr);
  const bool is_silent = evbuffer_get_length(bufferevent_get_input(socket_)) == 0 &&
                         evbuffer_get_length(bufferevent_get_output(socket_)) == 0;
  const auto self = shared_from_this();
  const bool in_order = is_silent && !has_skipped_ && carried_.size() < kMaxNames;
  if (parser_.head().keep_alive && in_order && !single_use_) {
    observer_.on_reusable(*this);
  } else {
    close();
    observer_.on_finished(*this);
  }
  callbacks->on_end();
  return false;
}

HttpCallCallbacks* ClientConnection::end_exchange() {
  HttpCallCallbacks* callbacks = std::exchange(callbacks_, nullptr);
  close();
  observer_.on_finished(*this);
  return callbacks;
}

Error ClientConnection::error_of(ErrorKind kind, Ran ran, const std::string& what) const {
  const char* remedy = ran == Ran::kNo
                           ? "check that the server is running and reachable; it is safe to retry"
                           : "the request may have run; retry it only if it is idempotent";
  return {kind, to_string(key_.server) + ": " + what, remedy, ran, std::nullopt};
}

void ClientConnection::fail(ErrorKind kind, Ran ran, const std::string& what) {
  const auto self = shared_from_this();
  end_exchange()->on_error(error_of(kind, ran, what));
}

void ClientConnection::fail_malformed(const std::string& what) {
  const auto self = shared_from_this();
  end_exchange()->on_malformed(error_of(ErrorKind::kUpstreamFailed, Ran::kUnknown, what));
}

}  // namespace chalkshed
