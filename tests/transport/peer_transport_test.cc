// Peer calls and datagrams over loopback.
#include <gtest/gtest.h>

#include "src/event/event_datagram_transport.h"
#include "src/http/event_http_client.h"
#include "src/http/http_server.h"
#include "src/transport/http_peer_transport.h"
#include "tests/http/loopback.h"

namespace chalkshed {
namespace {

class PeerCallTest : public testing::Test {
 protected:
  std::optional<Expected<std::string>> call(const std::string& method, const std::string& body) {
    std::optional<Expected<std::string>> result;
    client_.call(http_server_.local(), method, body,
                 [&](Expected<std::string> response) { result = std::move(response); });
    EXPECT_TRUE(run_until(dispatcher_, [&] { return result.has_value(); }));
    return result;
  }

  EventDispatcher dispatcher_;
  EventHttpClient http_client_{dispatcher_};
  HttpPeerServer server_;
  HttpServer http_server_{dispatcher_, {"127.0.0.1", 0}, server_};
  HttpPeerClient client_{http_client_};
};

TEST_F(PeerCallTest, TransfersBinaryBodiesInBothDirections) {
  server_.register_method(
      "echo", [](std::string body, const PeerServer::Reply& reply) { reply(std::move(body)); });
  const std::string body("a\0b\r\n\xff", 6);
  EXPECT_EQ(call("echo", body)->value(), body);
}

TEST_F(PeerCallTest, TransfersTheErrorOfTheHandler) {
  server_.register_method("fail", [](const std::string&, const PeerServer::Reply& reply) {
    Error error = not_run(ErrorKind::kOverloaded, "full", "wait");
    error.retry_after = std::chrono::seconds(3);
    reply(tl::unexpected(error));
  });
  const Error error = call("fail", "")->error();
  EXPECT_EQ(error.kind, ErrorKind::kOverloaded);
  EXPECT_EQ(error.message, "full");
  EXPECT_EQ(error.ran, Ran::kNo);
  EXPECT_EQ(error.retry_after, Duration(std::chrono::seconds(3)));
}

TEST_F(PeerCallTest, UnknownMethodIsNotFound) {
  EXPECT_EQ(call("absent", "")->error().kind, ErrorKind::kNotFound);
}

TEST(EventDatagramTransportTest, DeliversDatagramsWithTheAddressOfTheSender) {
  EventDispatcher dispatcher;
  EventDatagramTransport left(dispatcher, {"127.0.0.1", 0});
  EventDatagramTransport right(dispatcher, {"127.0.0.1", 0});
  std::string received;
  Address sender;
  right.set_receiver([&](const Address& from, std::string_view datagram) {
    sender = from;
    received = datagram;
  });
  left.send(right.local(), std::string(DatagramTransport::kMaxDatagramBytes + 1, 'x'));
  left.send(right.local(), "ping");
  ASSERT_TRUE(run_until(dispatcher, [&] { return !received.empty(); }));
  EXPECT_EQ(received, "ping");
  EXPECT_EQ(sender, left.local());
}

}  // namespace
}  // namespace chalkshed
