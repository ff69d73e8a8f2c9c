#include "tests/soak/connection_owner.h"

#include <arpa/inet.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace chalkshed::soak {
namespace {

/** \return The address in the format of /proc/net/tcp: the IPv4 address in network byte order,
 * printed as an integer of the host's byte order, and the port. */
std::string proc_net_tcp_address(const Address &address) {
    in_addr number{};
    if (inet_pton(AF_INET, address.ip.c_str(), &number) != 1) {
        return {};
    }
    std::array<char, 32> text{};
    std::snprintf(text.data(), text.size(), "%08X:%04X", number.s_addr,
                  static_cast<unsigned>(address.port));
    return text.data();
}

/** \return The target of the socket's symbolic link in /proc/PID/fd, or an empty string. */
std::string find_socket(const Address &local, const Address &remote) {
    const std::string from = proc_net_tcp_address(local);
    const std::string to = proc_net_tcp_address(remote);
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream fields(line);
        std::array<std::string, 10> columns; // the last is the inode
        for (std::string &column : columns) {
            fields >> column;
        }
        if (columns[1] == from && columns[2] == to) {
            return "socket:[" + columns[9] + "]";
        }
    }
    return {};
}

bool has_open_socket(pid_t process, const std::string &socket) {
    std::error_code failed;
    const std::filesystem::path folder = "/proc/" + std::to_string(process) + "/fd";
    for (const auto &entry : std::filesystem::directory_iterator(folder, failed)) {
        if (std::filesystem::read_symlink(entry.path(), failed) == socket) {
            return true;
        }
    }
    return false;
}

} // namespace

std::optional<pid_t> connection_owner(const Address &local, const Address &remote,
                                      const std::vector<pid_t> &processes) {
    const std::string socket = find_socket(local, remote);
    const auto found = std::find_if(processes.begin(), processes.end(), [&](pid_t process) {
        return process != 0 && !socket.empty() && has_open_socket(process, socket);
    });
    return found == processes.end() ? std::nullopt : std::optional(*found);
}

} // namespace chalkshed::soak
