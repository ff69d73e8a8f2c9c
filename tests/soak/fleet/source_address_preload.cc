/** \file
 * Preloaded into a node: binds its outgoing connections to the node's own address, as on separate
 * machines. Without it all of them come from 127.0.0.1, so that the store couldn't block a single
 * node and a worker couldn't tell which node sent a request.
 */

#include <arpa/inet.h>
#include <dlfcn.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <cstdlib>

namespace {

using connect_function = int (*)(int, const sockaddr *, socklen_t);

void bind_to_own_address(int socket) {
    sockaddr_in source{};
    source.sin_family = AF_INET;
    const char *ip = std::getenv("CHALKSHED_SOAK_SOURCE");
    if (ip == nullptr || inet_pton(AF_INET, ip, &source.sin_addr) != 1) {
        return;
    }
    // If binding fails, the connection uses the default source address.
    // The port is chosen at connect time, when the destination is known, so that ports don't run
    // out.
    const int enabled = 1;
    setsockopt(socket, IPPROTO_IP, IP_BIND_ADDRESS_NO_PORT, &enabled, sizeof(enabled));
    static_cast<void>(bind(socket, reinterpret_cast<const sockaddr *>(&source), sizeof(source)));
}

bool is_tcp(int socket) {
    int kind = 0;
    socklen_t length = sizeof(kind);
    getsockopt(socket, SOL_SOCKET, SO_TYPE, &kind, &length);
    return kind == SOCK_STREAM;
}

} // namespace

extern "C" int connect(int socket, const sockaddr *address, socklen_t length) {
    static const auto kNext = reinterpret_cast<connect_function>(dlsym(RTLD_NEXT, "connect"));
    if (address->sa_family == AF_INET && is_tcp(socket)) {
        bind_to_own_address(socket);
    }
    return kNext(socket, address, length);
}
