// Answers that end before they are whole, at every position.
#include <gtest/gtest.h>

#include "src/http/event_http_client.h"
#include "tests/http/loopback.h"
#include "tests/http/raw_server.h"

namespace chalkshed {
namespace {

constexpr std::string_view kWithLength =
    "HTTP/1.1 200 OK\r\nChalkshed-Server-Signature: a.b\r\nContent-Length: 11\r\n\r\nfirst\nlast\n";
constexpr std::string_view kInChunks =
    "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
    "6\r\nfirst\n\r\n5\r\nlast\n\r\n0\r\nX-Trailer: y\r\n\r\n";
constexpr std::string_view kEvents =
    "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
    "e\r\nid: 1\ndata: a\n\r\n1\r\n\n\r\n0\r\n\r\n";
constexpr std::string_view kUntilClose = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nall of it";

class CutAnswersTest : public testing::Test {
 protected:
  // @return whether the answer was taken for whole.
  bool taken_for_whole(std::string_view answer) {
    const RawServer server(dispatcher_, std::string(answer), true);
    RecordedCall seen;
    const HttpCallPtr call = client_.send(server.local(), get("/"), {}, seen);
    EXPECT_TRUE(run_until(dispatcher_, [&] { return seen.done(); }));
    return seen.ended;
  }

  EventDispatcher dispatcher_;
  EventHttpClient client_{dispatcher_};
};

// Guards against: a worker that stopped within its answer, and an answer that looked whole.
TEST_F(CutAnswersTest, AreNoWholeAnswersWhereverTheyAreCut) {
  for (const std::string_view whole : {kWithLength, kInChunks, kEvents}) {
    EXPECT_TRUE(taken_for_whole(whole));
    for (size_t cut = 1; cut < whole.size(); ++cut) {
      EXPECT_FALSE(taken_for_whole(whole.substr(0, cut))) << whole.substr(0, cut);
    }
  }
}

TEST_F(CutAnswersTest, AreNoWholeAnswersIfTheirHeadIsCut) {
  const size_t head = kUntilClose.find("\r\n\r\n") + 4;
  for (size_t cut = 1; cut < head; ++cut) {
    EXPECT_FALSE(taken_for_whole(kUntilClose.substr(0, cut))) << kUntilClose.substr(0, cut);
  }
  EXPECT_TRUE(taken_for_whole(kUntilClose));
}

}  // namespace
}  // namespace chalkshed
