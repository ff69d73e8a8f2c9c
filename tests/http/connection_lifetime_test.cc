/** \file
 * Connections of the HTTP server that end while their own events are being served: what becomes of
 * the descriptor, and of whoever gets its number next.
 */
#include "src/http/http_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <gtest/gtest.h>
#include <sys/socket.h>
#include <unistd.h>

#include <array>
#include <filesystem>
#include <iterator>
#include <vector>

#include "src/event/socket_address.h"
#include "src/http/event_http_client.h"
#include "tests/http/loopback.h"
#include "tests/http/raw_server.h"

namespace chalkshed {
namespace {

// Records libevent's warnings, for example about changes to a closed descriptor.
class EventWarnings {
 public:
  EventWarnings() {
    warnings().clear();
    event_set_log_callback([](int severity, const char* message) {
      if (severity >= EVENT_LOG_WARN) {
        warnings().emplace_back(message);
      }
    });
  }
  ~EventWarnings() { event_set_log_callback(nullptr); }
  EventWarnings(const EventWarnings&) = delete;
  EventWarnings& operator=(const EventWarnings&) = delete;
  static std::vector<std::string>& warnings() {
    static std::vector<std::string> kept;
    return kept;
  }
};

// Two connected sockets, one of which is read by the event loop.
class WatchedPair {
 public:
  explicit WatchedPair(EventDispatcher& dispatcher) {
    EXPECT_EQ(socketpair(AF_UNIX, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0, ends_.data()), 0);
    watched_ = bufferevent_socket_new(dispatcher.base(), ends_[0], BEV_OPT_CLOSE_ON_FREE);
    bufferevent_enable(watched_, EV_READ);
  }
  ~WatchedPair() {
    bufferevent_free(watched_);
    close(ends_[1]);
  }
  WatchedPair(const WatchedPair&) = delete;
  WatchedPair& operator=(const WatchedPair&) = delete;
  int descriptor() const { return ends_[0]; }
  void send_to_watched(const std::string& bytes) {
    EXPECT_EQ(::send(ends_[1], bytes.data(), bytes.size(), MSG_NOSIGNAL),
              static_cast<ssize_t>(bytes.size()));
  }
  size_t arrived() const { return evbuffer_get_length(bufferevent_get_input(watched_)); }
  // Whether anything was written to the peer of the watched socket.
  bool peer_received_bytes() const {
    char byte = 0;
    return recv(ends_[1], &byte, sizeof(byte), MSG_PEEK | MSG_DONTWAIT) > 0;
  }

 private:
  std::array<int, 2> ends_{};
  bufferevent* watched_ = nullptr;
};

struct CloseSocket {
  void operator()(const int* socket) const {
    close(*socket);
    delete socket;
  }
};
using SocketPtr = std::unique_ptr<int, CloseSocket>;

SocketPtr open_socket(const Address& server) {
  const std::optional<SocketAddress> address = to_socket_address(server);
  SocketPtr result(new int(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0)));
  EXPECT_EQ(connect(*result, address->get(), address->length), 0);
  return result;
}

void write_to(int socket, const std::string& bytes) {
  EXPECT_EQ(send(socket, bytes.data(), bytes.size(), MSG_NOSIGNAL),
            static_cast<ssize_t>(bytes.size()));
}

size_t open_descriptors() {
  const std::filesystem::directory_iterator listing("/proc/self/fd");
  return static_cast<size_t>(std::distance(begin(listing), end(listing)));
}

class ConnectionLifetimeTest : public testing::Test {
 protected:
  using Handle = std::function<void(HttpRequest, ResponseWriterPtr)>;

  // Sends one request, which `handle` responds to, and waits for the end of the call.
  void call(Handle handle) {
    handler_ = std::make_unique<FunctionHandler>(std::move(handle));
    server_ = std::make_unique<HttpServer>(dispatcher_, Address{"127.0.0.1", 0}, *handler_);
    call_ = client_.send(server_->local(), get("/"), {}, recorded_);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded_.done(); }));
  }
  // Runs a few turns of the event loop, so that pending events are handled.
  void settle() {
    constexpr int kTurns = 20;
    for (int turn = 0; turn < kTurns; ++turn) {
      dispatcher_.run_once(false);
    }
  }

  EventWarnings log_;
  EventDispatcher dispatcher_;
  EventHttpClient client_{dispatcher_};
  RecordedCall recorded_;
  std::unique_ptr<FunctionHandler> handler_;
  std::unique_ptr<HttpServer> server_;
  HttpCallPtr call_;
};

// Guards against a use of a closed descriptor, seen in a soak test as libevent's warning "Epoll
// MOD(4) on fd N failed: Bad file descriptor". Sequence: the read event of a connection calls the
// handler, which starts a response, pending on the write event, and aborts it; evhttp closes the
// descriptor, but both events exist until the read event has returned.
TEST_F(ConnectionLifetimeTest, AbortInsideTheHandlerLeavesNoEventOnAClosedDescriptor) {
  call([](const HttpRequest& /*request*/, const ResponseWriterPtr& writer) {
    writer->start(200, {});
    writer->write("never sent");
    writer->abort();
  });
  settle();
  EXPECT_TRUE(recorded_.error);
  EXPECT_EQ(EventWarnings::warnings(), std::vector<std::string>());
}

// The same sequence, but the handler opens a socket after the abort, as a node does that forwards
// the next waiting request. The socket got the number of the closed descriptor while the events of
// the old connection were still registered under it. Its own read event was never registered with
// the kernel, so its input was never reported.
TEST_F(ConnectionLifetimeTest, SocketOpenedAfterAnAbortReceivesInput) {
  std::unique_ptr<WatchedPair> pair;
  call([&](const HttpRequest& /*request*/, const ResponseWriterPtr& writer) {
    writer->abort();
    pair = std::make_unique<WatchedPair>(dispatcher_);
  });
  pair->send_to_watched("hello");
  settle();
  EXPECT_EQ(pair->arrived(), 5U);
}

// A call that a handler starts after an abort, on a new connection, gets its response.
TEST_F(ConnectionLifetimeTest, CallStartedAfterAnAbortGetsItsResponse) {
  RawServer worker(dispatcher_, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);
  RecordedCall onward;
  HttpCallPtr onward_call;
  call([&](const HttpRequest& /*request*/, const ResponseWriterPtr& writer) {
    writer->start(200, {});
    writer->write("never sent");
    writer->abort();
    onward_call = client_.send(worker.local(), get("/"), {}, onward);
  });
  ASSERT_TRUE(run_until(dispatcher_, [&] { return onward.done(); }));
  EXPECT_EQ(onward.body, "hello");
}

// However a connection ends, its descriptor is closed exactly once: a second close would hit the
// socket that has reused the number.
TEST_F(ConnectionLifetimeTest, EveryEndOfAConnectionClosesItsDescriptorOnce) {
  const auto answer = [](const HttpRequest& request, const ResponseWriterPtr& writer) {
    if (request.path == "/abort") {
      writer->abort();
    } else if (request.path == "/close") {
      writer->respond({200, {{"Connection", "close"}}, "closing"});
    } else {
      writer->respond({200, {}, "kept"});
    }
  };
  FunctionHandler handler(answer);
  auto server = std::make_unique<HttpServer>(dispatcher_, Address{"127.0.0.1", 0}, handler);
  const size_t before = open_descriptors();
  for (const char* path : {"/abort", "/close", "/kept", "/abort", "/close", "/kept"}) {
    EventHttpClient client(dispatcher_);
    RecordedCall recorded;
    const HttpCallPtr call = client.send(server->local(), get(path), {}, recorded);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded.done(); }));
  }
  ASSERT_TRUE(run_until(dispatcher_, [&] { return open_descriptors() == before; }));
  EXPECT_EQ(EventWarnings::warnings(), std::vector<std::string>());
}

// Pending output of the old connection must not reach another socket.
TEST_F(ConnectionLifetimeTest, SocketOpenedAfterAnAbortGetsNoBytesOfTheOldResponse) {
  std::unique_ptr<WatchedPair> pair;
  call([&](const HttpRequest& /*request*/, const ResponseWriterPtr& writer) {
    writer->start(200, {});
    writer->write(std::string(16 << 20, 'x'));
    writer->abort();
    pair = std::make_unique<WatchedPair>(dispatcher_);
    writer->write("late");
    writer->finish();
  });
  settle();
  EXPECT_FALSE(pair->peer_received_bytes());
  pair->send_to_watched("hello");
  settle();
  EXPECT_EQ(pair->arrived(), 5U);
}

// A pipelined request reaches the server through a deferred callback of evhttp, not a read event.
// The ends of bodies of both framings are handled in different code of evhttp than a head alone.
TEST_F(ConnectionLifetimeTest, AbortInsideTheHandlerOfEachKindOfRequest) {
  const std::string first = "GET /first HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::vector<std::string> aborted = {
      "GET /abort HTTP/1.1\r\nHost: a\r\n\r\n",
      "POST /abort HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\nbody",
      "POST /abort HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: "
      "chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"};
  size_t aborts = 0;
  FunctionHandler handler([&](const HttpRequest& request, const ResponseWriterPtr& writer) {
    if (request.path == "/abort") {
      ++aborts;
      writer->start(200, {});
      writer->abort();
    } else {
      writer->respond({200, {}, "first"});
    }
  });
  const HttpServer server(dispatcher_, Address{"127.0.0.1", 0}, handler);
  for (const std::string& before : {std::string(), first}) {
    for (const std::string& request : aborted) {
      const size_t aborts_before = aborts;
      const SocketPtr caller = open_socket(server.local());
      // Sent in one write, so that the second request has arrived with the first.
      std::string bytes = before;
      write_to(*caller, bytes.append(request).append(first));
      ASSERT_TRUE(run_until(dispatcher_, [&] { return aborts > aborts_before; }));
      settle();
      EXPECT_EQ(server.requests_in_progress(), 0U);
    }
  }
  EXPECT_EQ(EventWarnings::warnings(), std::vector<std::string>());
}

// Destroys its own call in one of its events, after resuming it.
struct EndingCall : HttpCallCallbacks {
  enum class At { kHeaders, kBody, kEnd, kError };

  void on_headers(int /*status*/, const HttpHeaders& /*headers*/) override { end_at(At::kHeaders); }
  void on_body(std::string_view /*data*/) override { end_at(At::kBody); }
  void on_end() override { end_at(At::kEnd); }
  void on_error(const Error& /*error*/) override { end_at(At::kError); }
  void end_at(At event) {
    EXPECT_FALSE(ended) << "event after the end of the call";
    if (event == at) {
      ended = true;
      call->pause_reading();
      call->resume_reading();
      call.reset();
    }
  }

  At at = At::kHeaders;
  bool ended = false;
  HttpCallPtr call;
};

TEST_F(ConnectionLifetimeTest, EachEventOfACallMayEndIt) {
  const RawServer whole(dispatcher_, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);
  const RawServer cut(dispatcher_, "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nhello", true);
  using At = EndingCall::At;
  for (const At at : {At::kHeaders, At::kBody, At::kEnd, At::kError}) {
    EndingCall ending;
    ending.at = at;
    const RawServer& server = at == At::kError ? cut : whole;
    ending.call = client_.send(server.local(), get("/"), {.fresh_connection = true}, ending);
    ASSERT_TRUE(run_until(dispatcher_, [&] { return ending.ended; }));
    settle();
  }
  EXPECT_EQ(EventWarnings::warnings(), std::vector<std::string>());
}

// A resumed response is read by a deferred event; by then its call or the whole client may have
// been destroyed.
TEST_F(ConnectionLifetimeTest, DeferredReadAfterItsCallIsDestroyed) {
  const RawServer server(dispatcher_, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello", false);
  for (const bool client_goes : {false, true}) {
    auto client = std::make_unique<EventHttpClient>(dispatcher_);
    RecordedCall recorded;
    HttpCallPtr call = client->send(server.local(), get("/"), {}, recorded);
    recorded.on_data = [&] { call->pause_reading(); };
    ASSERT_TRUE(run_until(dispatcher_, [&] { return recorded.body == "hello"; }));
    call->resume_reading();
    if (client_goes) {
      client.reset();
    }
    call.reset();
    settle();
    EXPECT_FALSE(recorded.done());
  }
  EXPECT_EQ(EventWarnings::warnings(), std::vector<std::string>());
}

}  // namespace
}  // namespace chalkshed
