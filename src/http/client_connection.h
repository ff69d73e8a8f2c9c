// One TCP connection of the HTTP client: sends a request, parses its answer, tells its fate.
#pragma once

#include <memory>
#include <string>

#include "src/core/address.h"
#include "src/event/event_dispatcher.h"
#include "src/http/response_parser.h"
#include "src/transport/http_client.h"

struct bufferevent;
struct evbuffer;

namespace chalkshed {

// Connections that wait for reuse are told apart by server and pool.
struct ConnectionKey {
  Address server;
  std::string pool;

  auto operator<=>(const ConnectionKey&) const = default;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // What becomes of a connection; the client keeps or drops it.
  class Observer {
   public:
    virtual ~Observer() = default;
    // The answer is complete and the connection can serve another request.
    virtual void on_reusable(ClientConnection& connection) = 0;
    // The connection is closed for good.
    virtual void on_finished(ClientConnection& connection) = 0;
  };

  ClientConnection(EventDispatcher& dispatcher, ConnectionKey key, size_t max_header_bytes,
                   Observer& observer);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  const ConnectionKey& key() const { return key_; }
  // Connects unless connected, sends the request and reports to `callbacks`, never inside this
  // call.
  // @param wire the request as it goes over the wire.
  void send(std::string wire, bool head_only, const HttpCallOptions& options,
            HttpCallCallbacks& callbacks);
  // Whether the server has neither closed the idle connection nor sent anything unasked, as far as
  // the kernel knows. What it sent would pass for the answer to the next request.
  bool quiet() const;
  // Numbers the requests sent over this connection.
  uint64_t exchange_number() const { return exchange_number_; }
  // Whether the answer to that request has not ended.
  bool in_exchange(uint64_t number) const {
    return callbacks_ != nullptr && exchange_number_ == number;
  }
  // No event arrives between these two.
  void pause_reading();
  void resume_reading();
  // Closes without telling the callbacks.
  void close();
  // Waits in a pool; closes by itself after `lifetime`, or a second before the server says that it
  // would: a request sent as the server closes is lost without a trace.
  void rest(Duration lifetime);

 private:
  enum class State { kNew, kConnecting, kHead, kBody, kIdle, kClosed };

  static void on_readable(bufferevent* socket, void* argument);
  static void on_event(bufferevent* socket, short what, void* argument);
  void connect(Duration timeout);
  void begin_exchange();
  void read();
  bool read_head(evbuffer* input);
  bool read_body(evbuffer* input);
  bool read_chunk_line(evbuffer* input);
  bool read_trailer(evbuffer* input);
  // Hands up to `limit` bytes on. @return bytes handed on.
  size_t deliver(evbuffer* input, uint64_t limit);
  void handle_end_of_connection(const std::string& cause);
  void complete();
  void fail(ErrorKind kind, Ran ran, const std::string& what);

  EventDispatcher& dispatcher_;
  ConnectionKey key_;
  size_t max_header_bytes_;
  Observer& observer_;
  bufferevent* socket_ = nullptr;
  State state_ = State::kNew;
  std::string wire_;
  Duration idle_timeout_{0};
  HttpCallCallbacks* callbacks_ = nullptr;  // null between exchanges
  uint64_t exchange_number_ = 0;
  bool reading_paused_ = false;
  ResponseHeadParser parser_{false};
  size_t head_bytes_ = 0;
  uint64_t remaining_ = 0;           // of the body or the chunk under way
  bool awaiting_chunk_end_ = false;  // the line end behind a chunk's data
  bool in_trailer_ = false;
};

}  // namespace chalkshed
