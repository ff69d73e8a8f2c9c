#ifndef CHALKSHED_TESTS_SOAK_FLEET_WIRE_SERVER_H
#define CHALKSHED_TESTS_SOAK_FLEET_WIRE_SERVER_H

/** \file
 * The HTTP/1.1 server of the emulated workers. Unlike the product's, it can answer before it has
 * read the body, reset a connection, and close one while the next request arrives.
 */

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "src/core/address.h"
#include "src/core/http_message.h"
#include "src/event/event_dispatcher.h"

struct evconnlistener;
struct sockaddr;

namespace chalkshed::soak {

class wire_connection;

/** The answer to one request. Has no effect once its connection is closed. */
class wire_answer {
public:
    explicit wire_answer(std::weak_ptr<wire_connection> connection)
        : connection_(std::move(connection)) {}

    void start(int status, const HttpHeaders &headers);
    void write(std::string_view chunk);
    void finish();
    void respond(const HttpResponse &response);
    /** Closes the connection at once, with a reset if bytes of the caller are unread. */
    void abort();
    /** Closes the connection after the answer. Must be called before the answer starts. */
    void close_after_answer();
    void set_on_closed(std::function<void()> callback);
    /** \return Sends further answers on the connection, which are not the one to this request:
     * ahead of the answer, or after it in the place of the next one. Has no effect inside an
     * answer. */
    std::function<void(const HttpResponse &)> surplus_sender() const;

private:
    std::weak_ptr<wire_connection> connection_;
};
using wire_answer_ptr = std::shared_ptr<wire_answer>;

class wire_handler {
public:
    virtual ~wire_handler() = default;
    /** \param head The request without its body, which has not been read. \return An answer to send
     * at once; the body is then discarded, or the connection closed. */
    virtual std::optional<HttpResponse> answer_early(const HttpRequest &head) = 0;
    virtual void handle(HttpRequest request, wire_answer_ptr answer) = 0;
    /** Called when a caller sent bytes that are not valid HTTP. */
    virtual void handle_malformed(const Address &peer, const std::string &head) = 0;
};

class wire_server {
public:
    /** Listens at once; throws std::runtime_error when the address can't be bound. */
    wire_server(EventDispatcher &dispatcher, const Address &local, wire_handler &handler);
    ~wire_server();
    wire_server(const wire_server &) = delete;
    wire_server &operator=(const wire_server &) = delete;

    const Address &local() const {
        return local_;
    }
    /** Closes all connections and stops listening, as in a process crash. */
    void crash();

private:
    friend class wire_connection;

    static void on_accept(evconnlistener *listener, int socket, sockaddr *peer, int length,
                          void *argument);
    void remove(const wire_connection *connection);

    EventDispatcher &dispatcher_;
    wire_handler &handler_;
    evconnlistener *listener_ = nullptr;
    Address local_;
    std::map<const wire_connection *, std::shared_ptr<wire_connection>> connections_;
};

} // namespace chalkshed::soak

#endif
