#ifndef CHALKSHED_TESTS_SOAK_FLEET_WIRE_CLIENT_H
#define CHALKSHED_TESTS_SOAK_FLEET_WIRE_CLIENT_H

/** \file
 * One connection of a caller. Sends bodies with a length or in chunks, pipelines requests, and can
 * disconnect at any time.
 */

#include <deque>
#include <functional>
#include <memory>
#include <string>

#include "src/core/address.h"
#include "src/core/http_message.h"
#include "src/event/event_dispatcher.h"
#include "tests/soak/fleet/wire_reader.h"

struct bufferevent;

namespace chalkshed::soak {

/** The answer to one request, as far as the caller received it. */
struct call_result {
    int status = 0; // 0: no status received
    HttpHeaders headers;
    std::string body;
    bool whole = false;
    /** The caller itself closed the connection. */
    bool disconnected = false;
};

/** The bytes of a request. \param chunk Size of the chunks of its body; 0: it has a length. */
std::string encode_request(const HttpRequest &request, const std::string &host, size_t chunk);

class wire_client : public std::enable_shared_from_this<wire_client> {
public:
    using observer = std::function<void(call_result)>;

    wire_client(EventDispatcher &dispatcher, Address server);
    ~wire_client();
    wire_client(const wire_client &) = delete;
    wire_client &operator=(const wire_client &) = delete;

    /** Sends the bytes after those of earlier calls, whose answers come first. The observer is
     * called once, at the end of the answer or of the connection, and never inside this call. */
    void send(const std::string &wire, observer on_ended);
    /** Closes the connection; the observers are called at once. */
    void disconnect();
    /** Whether another request may be sent. */
    bool open() const {
        return !closed_ && !server_closes_;
    }
    bool idle() const {
        return calls_.empty();
    }
    const Address &server() const {
        return server_;
    }
    /** Exchanges that have ended. */
    uint64_t exchanges() const {
        return exchanges_;
    }

private:
    struct call {
        call_result result;
        observer on_ended;
    };

    static void on_readable(bufferevent *socket, void *argument);
    static void on_event(bufferevent *socket, short what, void *argument);
    void read();
    void handle_head();
    void end_call(bool whole);
    void fail_all();

    EventDispatcher &dispatcher_;
    Address server_;
    bufferevent *socket_;
    wire_reader reader_{true};
    std::deque<call> calls_;
    uint64_t exchanges_ = 0;
    bool closed_ = false;
    bool server_closes_ = false; // the server closes the connection after the current answer
};
using wire_client_ptr = std::shared_ptr<wire_client>;

} // namespace chalkshed::soak

#endif
