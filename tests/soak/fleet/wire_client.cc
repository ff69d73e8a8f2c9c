#include "tests/soak/fleet/wire_client.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/event.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <charconv>
#include <cstdio>
#include <optional>

#include "src/event/socket_address.h"

namespace chalkshed::soak {
namespace {

std::string encode_chunks(const std::string &body, size_t chunk) {
    std::string wire;
    for (size_t at = 0; at < body.size(); at += chunk) {
        const std::string_view piece = std::string_view(body).substr(at, chunk);
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", piece.size());
        wire.append(size.data()).append(piece).append("\r\n");
    }
    return wire.append("0\r\n\r\n");
}

bool has_connection_close(const HttpHeaders &headers) {
    const auto connection = find_header(headers, "Connection");
    return connection && (*connection == "close" || *connection == "Close");
}

} // namespace

std::string encode_request(const HttpRequest &request, const std::string &host, size_t chunk) {
    std::string wire = request.method + " " + request.path;
    wire.append(request.query.empty() ? "" : "?" + request.query).append(" HTTP/1.1\r\n");
    wire.append("Host: ").append(host).append("\r\n");
    for (const HttpHeader &header : request.headers) {
        wire.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    if (chunk > 0) {
        return wire.append("Transfer-Encoding: chunked\r\n\r\n")
            .append(encode_chunks(request.body, chunk));
    }
    wire.append("Content-Length: ").append(std::to_string(request.body.size()));
    return wire.append("\r\n\r\n").append(request.body);
}

wire_client::wire_client(EventDispatcher &dispatcher, Address server)
    : dispatcher_(dispatcher), server_(std::move(server)) {
    const std::optional<SocketAddress> address = to_socket_address(server_);
    const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    socket_ = bufferevent_socket_new(dispatcher.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    bufferevent_setcb(socket_, &wire_client::on_readable, nullptr, &wire_client::on_event, this);
    bufferevent_enable(socket_, EV_READ | EV_WRITE);
    if (!address || bufferevent_socket_connect(socket_, address->get(),
                                               static_cast<int>(address->length)) != 0) {
        closed_ = true;
    }
}

wire_client::~wire_client() {
    bufferevent_free(socket_);
}

void wire_client::send(const std::string &wire, observer on_ended) {
    calls_.push_back({{}, std::move(on_ended)});
    if (!closed_) {
        bufferevent_write(socket_, wire.data(), wire.size());
        return;
    }
    dispatcher_.post([weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
            self->fail_all();
        }
    });
}

void wire_client::disconnect() {
    const auto keep_alive = shared_from_this();
    closed_ = true;
    bufferevent_disable(socket_, EV_READ | EV_WRITE);
    bufferevent_setcb(socket_, nullptr, nullptr, nullptr, nullptr);
    const int socket = bufferevent_getfd(socket_);
    if (socket >= 0) {
        shutdown(socket, SHUT_RDWR);
    }
    for (call &each : calls_) {
        each.result.disconnected = true;
    }
    fail_all();
}

void wire_client::on_readable(bufferevent * /*socket*/, void *argument) {
    auto *self = static_cast<wire_client *>(argument);
    const auto keep_alive = self->shared_from_this();
    self->read();
}

void wire_client::on_event(bufferevent * /*socket*/, short what, void *argument) {
    auto *self = static_cast<wire_client *>(argument);
    if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) == 0) {
        return;
    }
    if ((what & BEV_EVENT_WRITING) != 0) {
        // The server stopped reading the request; its answer may still arrive.
        self->server_closes_ = true;
        return;
    }
    const auto keep_alive = self->shared_from_this();
    self->closed_ = true;
    if (!self->calls_.empty() && self->reader_.eof_ends_message()) {
        self->calls_.front().result.body += self->reader_.take_body();
        self->end_call(true);
    }
    self->fail_all();
}

void wire_client::read() {
    while (!calls_.empty()) {
        const wire_reader::progress next = reader_.read(bufferevent_get_input(socket_));
        if (calls_.empty()) {
            return;
        }
        calls_.front().result.body += reader_.take_body();
        if (next == wire_reader::progress::kMore) {
            return;
        }
        if (next == wire_reader::progress::kHead) {
            handle_head();
        } else if (next == wire_reader::progress::kWhole) {
            end_call(true);
        } else {
            closed_ = true;
            fail_all();
        }
    }
    if (evbuffer_get_length(bufferevent_get_input(socket_)) > 0) {
        closed_ = true; // unsolicited bytes
    }
}

void wire_client::handle_head() {
    constexpr size_t kStatusAt = sizeof("HTTP/1.1 ") - 1;
    call_result &result = calls_.front().result;
    const std::string &line = reader_.head().start_line;
    if (line.size() >= kStatusAt + 3) {
        std::from_chars(line.data() + kStatusAt, line.data() + kStatusAt + 3, result.status);
    }
    result.headers = reader_.head().headers;
    server_closes_ = server_closes_ || has_connection_close(result.headers);
}

void wire_client::end_call(bool whole) {
    ++exchanges_;
    call ended = std::move(calls_.front());
    calls_.pop_front();
    ended.result.whole = whole;
    ended.on_ended(std::move(ended.result));
    if (server_closes_) {
        closed_ = true;
        fail_all();
    }
}

void wire_client::fail_all() {
    while (!calls_.empty()) {
        call failed = std::move(calls_.front());
        calls_.pop_front();
        failed.on_ended(std::move(failed.result));
    }
}

} // namespace chalkshed::soak
