#include "src/event/event_datagram_transport.h"

#include <event2/event.h>
#include <unistd.h>
#include <array>
#include <optional>
#include <stdexcept>

#include "src/event/socket_address.h"

namespace chalkshed {
namespace {

// Maximum datagrams read per turn of the event loop, so that a flood does not starve other sockets.
constexpr int kMaxDatagramsPerTurn = 64;

}  // namespace

EventDatagramTransport::EventDatagramTransport(EventDispatcher& dispatcher, const Address& local) {
  const std::optional<SocketAddress> address = to_socket_address(local);
  if (!address) {
    throw std::runtime_error("not a numeric IP address: " + to_string(local));
  }
  socket_ = socket(address->storage.ss_family, SOCK_DGRAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
  if (socket_ < 0 || bind(socket_, address->get(), address->length) != 0) {
    if (socket_ >= 0) {
      close(socket_);
    }
    throw std::runtime_error("cannot bind the UDP address " + to_string(local) +
                             "; choose a free port of this machine");
  }
  SocketAddress bound;
  bound.length = sizeof(bound.storage);
  getsockname(socket_, bound.get(), &bound.length);
  local_ = to_address(bound.get());
  read_event_ = event_new(dispatcher.base(), socket_, EV_READ | EV_PERSIST,
                          &EventDatagramTransport::on_readable, this);
  event_add(read_event_, nullptr);
}

EventDatagramTransport::~EventDatagramTransport() {
  event_free(read_event_);
  close(socket_);
}

void EventDatagramTransport::send(const Address& to, std::string_view datagram) {
  const std::optional<SocketAddress> address = to_socket_address(to);
  if (!address || datagram.size() > kMaxDatagramBytes) {
    return;
  }
  sendto(socket_, datagram.data(), datagram.size(), MSG_DONTWAIT | MSG_NOSIGNAL, address->get(),
         address->length);
}

void EventDatagramTransport::on_readable(int /*socket*/, short /*what*/, void* argument) {
  static_cast<EventDatagramTransport*>(argument)->receive();
}

void EventDatagramTransport::receive() {
  std::array<char, kMaxDatagramBytes + 1> buffer;
  for (int count = 0; count < kMaxDatagramsPerTurn; ++count) {
    SocketAddress from;
    from.length = sizeof(from.storage);
    const ssize_t size =
        recvfrom(socket_, buffer.data(), buffer.size(), 0, from.get(), &from.length);
    if (size < 0) {
      return;
    }
    const bool too_long = static_cast<size_t>(size) > kMaxDatagramBytes;
    if (receiver_ && !too_long) {
      receiver_(to_address(from.get()), std::string_view(buffer.data(), size));
    }
  }
}

}  // namespace chalkshed
