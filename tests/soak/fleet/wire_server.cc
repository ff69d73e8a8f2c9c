#include "tests/soak/fleet/wire_server.h"

#include <event2/buffer.h>
#include <event2/bufferevent.h>
#include <event2/listener.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <array>
#include <cstdio>
#include <stdexcept>

#include "src/event/socket_address.h"
#include "tests/soak/fleet/wire_reader.h"

namespace chalkshed::soak {
namespace {

constexpr int kBacklog = 512;

std::string status_line(int status) {
    return "HTTP/1.1 " + std::to_string(status) + " Status\r\n";
}

std::string header_lines(const HttpHeaders &headers) {
    std::string lines;
    for (const HttpHeader &header : headers) {
        lines.append(header.name).append(": ").append(header.value).append("\r\n");
    }
    return lines;
}

/** \return Nothing when the start line is not a request line. */
std::optional<HttpRequest> request_of(const wire_head &head, const Address &peer) {
    const size_t first = head.start_line.find(' ');
    const size_t last = head.start_line.rfind(' ');
    if (first == std::string::npos || first == last ||
        !std::string_view(head.start_line).substr(last).starts_with(" HTTP/1.1")) {
        return std::nullopt;
    }
    const std::string target = head.start_line.substr(first + 1, last - first - 1);
    const size_t query = target.find('?');
    HttpRequest request;
    request.method = head.start_line.substr(0, first);
    request.path = target.substr(0, query);
    request.query = query == std::string::npos ? "" : target.substr(query + 1);
    request.headers = head.headers;
    request.peer = peer;
    return request;
}

} // namespace

class wire_connection : public std::enable_shared_from_this<wire_connection> {
public:
    wire_connection(wire_server &server, bufferevent *socket, Address peer)
        : server_(server), socket_(socket), peer_(std::move(peer)) {
        bufferevent_setcb(socket_, &wire_connection::on_readable, &wire_connection::on_written,
                          &wire_connection::on_event, this);
        bufferevent_enable(socket_, EV_READ | EV_WRITE);
    }
    ~wire_connection() {
        bufferevent_free(socket_);
    }
    wire_connection(const wire_connection &) = delete;
    wire_connection &operator=(const wire_connection &) = delete;

    void start(int status, const HttpHeaders &headers) {
        inside_answer_ = true;
        send(status_line(status) + header_lines(headers) + closing_line() +
             "Transfer-Encoding: chunked\r\n\r\n");
    }
    void write(std::string_view chunk) {
        std::array<char, 20> size{};
        std::snprintf(size.data(), size.size(), "%zx\r\n", chunk.size());
        send(std::string(size.data()).append(chunk).append("\r\n"));
    }
    void finish() {
        send("0\r\n\r\n");
        end_answer();
    }
    void respond(const HttpResponse &response) {
        send_whole(response);
        end_answer();
    }
    void send_surplus(const HttpResponse &response) {
        if (!inside_answer_ && !closes_when_written_) {
            send_whole(response);
        }
    }
    void abort() {
        close();
    }
    void close_after_answer() {
        closes_after_answer_ = true;
    }
    void set_on_closed(std::function<void()> callback) {
        on_closed_ = std::move(callback);
    }
    /** Closes without calling the on-closed callback. */
    void drop() {
        on_closed_ = nullptr;
        close();
    }

private:
    static void on_readable(bufferevent * /*socket*/, void *argument) {
        auto *self = static_cast<wire_connection *>(argument);
        const auto keep_alive = self->shared_from_this();
        self->read();
    }
    static void on_written(bufferevent * /*socket*/, void *argument) {
        auto *self = static_cast<wire_connection *>(argument);
        const auto keep_alive = self->shared_from_this();
        if (self->closes_when_written_) {
            self->close();
        }
    }
    static void on_event(bufferevent * /*socket*/, short what, void *argument) {
        auto *self = static_cast<wire_connection *>(argument);
        const auto keep_alive = self->shared_from_this();
        if ((what & (BEV_EVENT_EOF | BEV_EVENT_ERROR)) != 0) {
            self->close();
        }
    }

    std::string closing_line() const {
        return closes_after_answer_ ? "Connection: close\r\n" : "";
    }
    void send_whole(const HttpResponse &response) {
        send(status_line(response.status) + header_lines(response.headers) + closing_line() +
             "Content-Length: " + std::to_string(response.body.size()) + "\r\n\r\n" +
             response.body);
    }
    void send(const std::string &bytes) {
        if (!closed_) {
            bufferevent_write(socket_, bytes.data(), bytes.size());
        }
    }

    void read() {
        while (!closed_ && !answering_) {
            const wire_reader::progress next = reader_.read(bufferevent_get_input(socket_));
            if (next == wire_reader::progress::kMore) {
                body_ += reader_.take_body();
                return;
            }
            if (next == wire_reader::progress::kMalformed) {
                refuse_malformed();
            } else if (next == wire_reader::progress::kHead) {
                handle_head();
            } else {
                handle_message_end();
            }
        }
    }

    void refuse_malformed() {
        server_.handler_.handle_malformed(peer_, reader_.head().start_line);
        close();
    }

    void handle_head() {
        body_.clear();
        request_ = request_of(reader_.head(), peer_);
        if (!request_) {
            refuse_malformed();
            return;
        }
        dropping_body_ = false;
        if (std::optional<HttpResponse> early = server_.handler_.answer_early(*request_)) {
            closes_after_answer_ = find_header(early->headers, "Connection").has_value();
            dropping_body_ = true;
            std::erase_if(early->headers,
                          [](const HttpHeader &header) { return header.name == "Connection"; });
            respond(*early);
        }
    }

    void handle_message_end() {
        body_ += reader_.take_body();
        if (std::exchange(dropping_body_, false)) {
            return; // already answered
        }
        request_->body = std::exchange(body_, {});
        answering_ = true;
        server_.handler_.handle(std::move(*request_),
                                std::make_shared<wire_answer>(weak_from_this()));
    }

    void end_answer() {
        on_closed_ = nullptr;
        answering_ = false;
        inside_answer_ = false;
        if (closes_after_answer_) {
            closes_when_written_ = true;
            if (evbuffer_get_length(bufferevent_get_output(socket_)) == 0) {
                close();
            }
            return;
        }
        server_.dispatcher_.post([weak = weak_from_this()] {
            if (const auto self = weak.lock()) {
                self->read(); // a pipelined request may be buffered
            }
        });
    }

    void close() {
        if (std::exchange(closed_, true)) {
            return;
        }
        bufferevent_disable(socket_, EV_READ | EV_WRITE);
        const auto keep_alive = shared_from_this();
        if (const std::function<void()> callback = std::exchange(on_closed_, nullptr)) {
            callback();
        }
        // Freed in a later loop iteration: one of its own callbacks may be on the stack.
        server_.dispatcher_.post([keep_alive] {});
        server_.remove(this);
    }

    wire_server &server_;
    bufferevent *socket_;
    Address peer_;
    wire_reader reader_{false};
    std::optional<HttpRequest> request_;
    std::string body_;
    std::function<void()> on_closed_;
    bool answering_ = false;
    bool inside_answer_ = false;
    bool dropping_body_ = false;
    bool closes_after_answer_ = false;
    bool closes_when_written_ = false;
    bool closed_ = false;
};

void wire_answer::start(int status, const HttpHeaders &headers) {
    if (const auto connection = connection_.lock()) {
        connection->start(status, headers);
    }
}

void wire_answer::write(std::string_view chunk) {
    if (const auto connection = connection_.lock()) {
        connection->write(chunk);
    }
}

void wire_answer::finish() {
    if (const auto connection = connection_.lock()) {
        connection_.reset();
        connection->finish();
    }
}

void wire_answer::respond(const HttpResponse &response) {
    if (const auto connection = connection_.lock()) {
        connection_.reset();
        connection->respond(response);
    }
}

void wire_answer::abort() {
    if (const auto connection = connection_.lock()) {
        connection_.reset();
        connection->drop();
    }
}

void wire_answer::close_after_answer() {
    if (const auto connection = connection_.lock()) {
        connection->close_after_answer();
    }
}

void wire_answer::set_on_closed(std::function<void()> callback) {
    if (const auto connection = connection_.lock()) {
        connection->set_on_closed(std::move(callback));
    }
}

std::function<void(const HttpResponse &)> wire_answer::surplus_sender() const {
    return [weak = connection_](const HttpResponse &response) {
        if (const auto connection = weak.lock()) {
            connection->send_surplus(response);
        }
    };
}

wire_server::wire_server(EventDispatcher &dispatcher, const Address &local, wire_handler &handler)
    : dispatcher_(dispatcher), handler_(handler) {
    const std::optional<SocketAddress> address = to_socket_address(local);
    listener_ = !address ? nullptr
                         : evconnlistener_new_bind(
                               dispatcher.base(), &wire_server::on_accept, this,
                               LEV_OPT_CLOSE_ON_FREE | LEV_OPT_CLOSE_ON_EXEC | LEV_OPT_REUSEABLE,
                               kBacklog, address->get(), static_cast<int>(address->length));
    if (listener_ == nullptr) {
        throw std::runtime_error("cannot listen on " + to_string(local) +
                                 "; choose another --network");
    }
    SocketAddress bound;
    bound.length = sizeof(bound.storage);
    getsockname(evconnlistener_get_fd(listener_), bound.get(), &bound.length);
    local_ = to_address(bound.get());
}

wire_server::~wire_server() {
    crash();
}

void wire_server::crash() {
    if (listener_ != nullptr) {
        evconnlistener_free(std::exchange(listener_, nullptr));
    }
    const auto connections = std::exchange(connections_, {});
    for (const auto &entry : connections) {
        entry.second->drop();
    }
}

void wire_server::on_accept(evconnlistener * /*listener*/, int socket, sockaddr *peer,
                            int /*length*/, void *argument) {
    auto *self = static_cast<wire_server *>(argument);
    const int enabled = 1;
    setsockopt(socket, IPPROTO_TCP, TCP_NODELAY, &enabled, sizeof(enabled));
    bufferevent *buffered =
        bufferevent_socket_new(self->dispatcher_.base(), socket, BEV_OPT_CLOSE_ON_FREE);
    auto connection = std::make_shared<wire_connection>(*self, buffered, to_address(peer));
    self->connections_.emplace(connection.get(), connection);
}

void wire_server::remove(const wire_connection *connection) {
    connections_.erase(connection);
}

} // namespace chalkshed::soak
