// One TCP connection of the HTTP client: sends a request, parses the response and reports the
// outcome.
#pragma once

#include <memory>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/address.h"
#include "src/event/event_dispatcher.h"
#include "src/http/response_parser.h"
#include "src/transport/http_client.h"

struct bufferevent;
struct evbuffer;

namespace chalkshed {

// Idle connections are reused only for the same server and pool.
struct ConnectionKey {
  Address server;
  std::string pool;

  auto operator<=>(const ConnectionKey&) const = default;
};

class ClientConnection : public std::enable_shared_from_this<ClientConnection> {
 public:
  // Notified when an exchange or the connection ends; the client keeps or drops the connection.
  class Observer {
   public:
    virtual ~Observer() = default;
    // The response is complete and the connection can be used for another request.
    virtual void on_reusable(ClientConnection& connection) = 0;
    // The connection is closed and will not be used again.
    virtual void on_finished(ClientConnection& connection) = 0;
    // The server has sent bytes while no request was in progress. on_finished follows.
    virtual void on_unsolicited(const ClientConnection& connection) = 0;
  };

  ClientConnection(EventDispatcher& dispatcher, ConnectionKey key, size_t max_header_bytes,
                   Observer& observer);
  ~ClientConnection();
  ClientConnection(const ClientConnection&) = delete;
  ClientConnection& operator=(const ClientConnection&) = delete;

  const ConnectionKey& key() const { return key_; }
  // Connects if necessary, sends the request and reports to `callbacks`, never from within this
  // call.
  // @param wire the serialized request.
  void send(std::string wire, bool head_only, const HttpCallOptions& options,
            HttpCallCallbacks& callbacks);
  // Whether, as far as the kernel knows, the server has neither closed the idle connection nor sent
  // unsolicited data, which would be taken for the response to the next request.
  bool is_silent() const;
  // Sequence number of the current or last request on this connection.
  uint64_t exchange_number() const { return exchange_number_; }
  // Whether the response to that request has not ended.
  bool in_exchange(uint64_t number) const {
    return callbacks_ != nullptr && exchange_number_ == number;
  }
  // Whether it has carried a request of that name.
  bool has_carried(std::string_view name) const;
  // Reads the rest of the current answer without events, then expects the next one. Only inside
  // on_headers. @return false if the connection ends with the answer.
  bool skip_answer();
  // No events are delivered while reading is paused.
  void pause_reading();
  void resume_reading();
  // Closes without notifying the callbacks.
  void close();
  // Marks the connection as idle. It closes after `lifetime`, or one second before the idle timeout
  // that the server announced: a request sent while the server closes is lost without an error.
  void set_idle(Duration lifetime);

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
  // Passes up to `limit` bytes to the callbacks. @return the number of bytes passed.
  size_t deliver(evbuffer* input, uint64_t limit);
  void handle_end_of_connection(const std::string& cause);
  // The answer has ended. @return whether to read on.
  bool complete();
  // Prepares for the head of an answer.
  void expect_answer();
  // Counts bytes of a skipped answer. @return whether there are too many.
  bool exceeds_skipped(size_t bytes);
  void fail(ErrorKind kind, Ran ran, const std::string& what);
  // The server sent something that is no answer.
  void fail_malformed(const std::string& what);
  // Closes the connection. @return the callbacks of the call, which has ended.
  HttpCallCallbacks* end_exchange();
  Error error_of(ErrorKind kind, Ran ran, const std::string& what) const;

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
  bool single_use_ = false;
  ResponseHeadParser parser_{false};
  size_t head_bytes_ = 0;
  std::vector<uint64_t> carried_;  // hashes of the names of its requests
  bool head_only_ = false;
  bool skipping_ = false;            // the current answer is not the one to the request
  bool has_skipped_ = false;         // in this exchange
  size_t skipped_bytes_ = 0;         // in this exchange
  uint64_t remaining_ = 0;           // bytes left of the body or the current chunk
  bool awaiting_chunk_end_ = false;  // expects the line terminator after a chunk's data
  bool in_trailer_ = false;
};

}  // namespace chalkshed
