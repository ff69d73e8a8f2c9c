/** \file
 * A non-blocking socket without an event loop, so that the test decides where the bytes of a
 * message are split.
 */
#pragma once

#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <string>
#include <string_view>
#include <utility>

#include "src/event/socket_address.h"

namespace chalkshed {

/** Owns the descriptor of a non-blocking socket. */
class raw_socket {
public:
    explicit raw_socket(int descriptor = -1) : descriptor_(descriptor) {}
    ~raw_socket() {
        close();
    }
    raw_socket(raw_socket &&other) noexcept
        : descriptor_(std::exchange(other.descriptor_, -1)), ended_(other.ended_) {}
    raw_socket &operator=(raw_socket &&other) noexcept {
        std::swap(descriptor_, other.descriptor_);
        std::swap(ended_, other.ended_);
        return *this;
    }
    raw_socket(const raw_socket &) = delete;
    raw_socket &operator=(const raw_socket &) = delete;

    static raw_socket connected_to(const Address &server) {
        raw_socket made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        const int enabled = 1;
        setsockopt(made.descriptor_, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
        const auto address = to_socket_address(server);
        static_cast<void>(
            ::connect(made.descriptor_, address->get(), static_cast<socklen_t>(address->length)));
        return made;
    }

    /** A small receive buffer, inherited by accepted sockets, makes the peer write in parts. */
    static raw_socket listening(int receive_buffer) {
        raw_socket made(::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0));
        setsockopt(made.descriptor_, SOL_SOCKET, SO_RCVBUF, &receive_buffer,
                   sizeof(receive_buffer));
        const auto any = to_socket_address({"127.0.0.1", 0});
        constexpr int kBacklog = 64;
        static_cast<void>(
            ::bind(made.descriptor_, any->get(), static_cast<socklen_t>(any->length)));
        static_cast<void>(::listen(made.descriptor_, kBacklog));
        return made;
    }

    Address local() const {
        SocketAddress bound;
        bound.length = sizeof(bound.storage);
        getsockname(descriptor_, bound.get(), &bound.length);
        return to_address(bound.get());
    }

    /** @return the accepted socket, or one that is not open if no connection is pending. */
    raw_socket accept() const {
        return raw_socket(::accept4(descriptor_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC));
    }

    /** @return the number of bytes accepted by the kernel. */
    size_t send(std::string_view bytes) {
        const ssize_t sent = ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        return sent < 0 ? 0 : static_cast<size_t>(sent);
    }

    /** Appends at most `most` bytes to `to`. */
    void receive(std::string &to, size_t most) {
        std::array<char, 64 * 1024> buffer{};
        const ssize_t size = ::recv(descriptor_, buffer.data(), std::min(most, buffer.size()), 0);
        if (size > 0) {
            to.append(buffer.data(), static_cast<size_t>(size));
        }
        ended_ = ended_ || size == 0 || (size < 0 && errno != EAGAIN && errno != ENOTCONN);
    }

    bool open() const {
        return descriptor_ >= 0;
    }
    /** Whether the peer has closed or reset the connection. */
    bool ended() const {
        return ended_;
    }
    void close() {
        if (descriptor_ >= 0) {
            ::close(std::exchange(descriptor_, -1));
        }
    }
    void reset() {
        const linger at_once{.l_onoff = 1, .l_linger = 0};
        setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &at_once, sizeof(at_once));
        close();
    }

private:
    int descriptor_;
    bool ended_ = false;
};

} // namespace chalkshed
