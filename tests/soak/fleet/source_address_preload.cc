/** \file
 * Preloaded into a node: binds its outgoing connections to the node's own address, as on separate
 * machines. Without it all of them come from 127.0.0.1, so that the store couldn't block a single
 * node and a worker couldn't tell which node sent a request. It also cuts the node's links to other
 * nodes and to the store when the coordinator says so.
 */

#include <arpa/inet.h>
#include <dlfcn.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <sys/mman.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cerrno>
#include <cstdlib>

#include "tests/soak/fleet/cut_links.h"
#include "tests/soak/fleet/fleet_layout.h"

namespace {

using chalkshed::soak::cut_links;
using connect_function = int (*)(int, const sockaddr *, socklen_t);
using sendto_function = ssize_t (*)(int, const void *, size_t, int, const sockaddr *, socklen_t);
using recvfrom_function = ssize_t (*)(int, void *, size_t, int, sockaddr *, socklen_t *);

/** \return The byte that says which links are cut; one that is always 0 if there is no file. */
const volatile uint8_t *map_cut_links() {
    static const uint8_t kNone = chalkshed::soak::kNoLinks;
    const char *path = std::getenv(chalkshed::soak::kCutLinksVariable);
    const int file = path == nullptr ? -1 : open(path, O_RDONLY | O_CLOEXEC);
    if (file < 0) {
        return &kNone;
    }
    void *mapped = mmap(nullptr, 1, PROT_READ, MAP_SHARED, file, 0);
    close(file);
    return mapped == MAP_FAILED ? &kNone : static_cast<const uint8_t *>(mapped);
}

bool is_cut(cut_links link) {
    static const volatile uint8_t *const kLinks = map_cut_links();
    return (*kLinks & link) != 0;
}

/** Whether other nodes or the store listen there. */
bool is_node_or_store(const sockaddr *address) {
    const auto *ip = reinterpret_cast<const sockaddr_in *>(address);
    const uint32_t host = ntohl(ip->sin_addr.s_addr) & 0xffU;
    return host <= chalkshed::soak::kMaxNodes || host == chalkshed::soak::kStoreHost;
}

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
        if (is_cut(chalkshed::soak::kConnections) && is_node_or_store(address)) {
            errno = ECONNREFUSED;
            return -1;
        }
        bind_to_own_address(socket);
    }
    return kNext(socket, address, length);
}

extern "C" ssize_t sendto(int socket, const void *data, size_t size, int flags, const sockaddr *to,
                          socklen_t length) {
    static const auto kNext = reinterpret_cast<sendto_function>(dlsym(RTLD_NEXT, "sendto"));
    const bool lost = to != nullptr && !is_tcp(socket) && is_cut(chalkshed::soak::kDatagramsOut);
    return lost ? static_cast<ssize_t>(size) : kNext(socket, data, size, flags, to, length);
}

extern "C" ssize_t recvfrom(int socket, void *data, size_t size, int flags, sockaddr *from,
                            socklen_t *length) {
    static const auto kNext = reinterpret_cast<recvfrom_function>(dlsym(RTLD_NEXT, "recvfrom"));
    const socklen_t space = length == nullptr ? 0 : *length;
    for (;;) {
        const ssize_t received = kNext(socket, data, size, flags, from, length);
        const bool lost = from != nullptr && received >= 0 && !is_tcp(socket) &&
                          is_cut(chalkshed::soak::kDatagramsIn);
        if (!lost) {
            return received;
        }
        *length = space;
    }
}
