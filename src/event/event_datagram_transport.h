// UDP datagrams between nodes.
#pragma once

#include "src/core/address.h"
#include "src/event/event_dispatcher.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {

class EventDatagramTransport : public DatagramTransport {
 public:
  // Binds the socket. Throws std::runtime_error if the address cannot be bound.
  EventDatagramTransport(EventDispatcher& dispatcher, const Address& local);
  ~EventDatagramTransport() override;
  EventDatagramTransport(const EventDatagramTransport&) = delete;
  EventDatagramTransport& operator=(const EventDatagramTransport&) = delete;

  // Datagrams that the kernel does not accept immediately are dropped.
  void send(const Address& to, std::string_view datagram) override;
  void set_receiver(Receiver receiver) override { receiver_ = std::move(receiver); }
  // The bound address, with the port that the system chose if 0 was given.
  const Address& local() const { return local_; }

 private:
  static void on_readable(int socket, short what, void* argument);
  void receive();

  int socket_ = -1;
  event* read_event_ = nullptr;
  Address local_;
  Receiver receiver_;
};

}  // namespace chalkshed
