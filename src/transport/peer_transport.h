// Transport between chalkshed nodes: datagrams for membership, calls for larger messages.
#pragma once

#include <functional>
#include <string>
#include <string_view>

#include "src/core/address.h"
#include "src/core/error.h"

namespace chalkshed {

// Datagrams may be lost, duplicated and reordered. Their size is limited to kMaxDatagramBytes.
class DatagramTransport {
 public:
  static constexpr size_t kMaxDatagramBytes = 1200;
  using Receiver = std::function<void(const Address& from, std::string_view datagram)>;

  virtual ~DatagramTransport() = default;
  virtual void send(const Address& to, std::string_view datagram) = 0;
  virtual void set_receiver(Receiver receiver) = 0;
};

// Sends requests to other nodes; bodies are FlatBuffers of the method's schema.
class PeerClient {
 public:
  virtual ~PeerClient() = default;
  // @param node HTTP address of the peer.
  // Errors: kUnavailable, kUpstreamFailed, or the error of the peer's handler.
  virtual void call(const Address& node, std::string method, std::string body,
                    Callback<std::string> callback) = 0;
};

// Serves the calls of peers. Components register one handler for each of their methods.
class PeerServer {
 public:
  using Reply = Callback<std::string>;
  using Handler = std::function<void(std::string body, Reply reply)>;

  virtual ~PeerServer() = default;
  virtual void register_method(std::string method, Handler handler) = 0;
};

}  // namespace chalkshed
