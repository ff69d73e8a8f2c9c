#include "chalkshed/socket_liveness.h"

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>
#include <unistd.h>

namespace chalkshed {
namespace {

int option(int socket, int level, int name) {
  int value = 0;
  socklen_t size = sizeof(value);
  EXPECT_EQ(getsockopt(socket, level, name, &value, &size), 0);
  return value;
}

TEST(SocketLivenessTest, SetsKeepAliveProbesAndTheUserTimeout) {
  const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
  ASSERT_GE(socket, 0);
  EXPECT_EQ(option(socket, SOL_SOCKET, SO_KEEPALIVE), 0);
  EXPECT_TRUE(set_socket_liveness(socket));
  EXPECT_NE(option(socket, SOL_SOCKET, SO_KEEPALIVE), 0);
  EXPECT_EQ(option(socket, IPPROTO_TCP, TCP_USER_TIMEOUT), 2000);
  EXPECT_EQ(option(socket, IPPROTO_TCP, TCP_KEEPIDLE), 1);
  EXPECT_EQ(option(socket, IPPROTO_TCP, TCP_KEEPINTVL), 1);
  EXPECT_EQ(option(socket, IPPROTO_TCP, TCP_KEEPCNT), 2);
  close(socket);
}

TEST(SocketLivenessTest, FailsForAnInvalidDescriptor) { EXPECT_FALSE(set_socket_liveness(-1)); }

}  // namespace
}  // namespace chalkshed
