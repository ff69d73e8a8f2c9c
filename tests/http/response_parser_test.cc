#include "src/http/response_parser.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

std::optional<uint32_t> keep_alive_seconds_of(const std::string& header) {
  ResponseHeadParser parser(false);
  parser.add_line("HTTP/1.1 200 OK");
  parser.add_line("Content-Length: 0");
  if (!header.empty()) {
    parser.add_line("Keep-Alive: " + header);
  }
  EXPECT_EQ(parser.add_line(""), ResponseHeadParser::Progress::kComplete);
  return parser.head().keep_alive_seconds;
}

TEST(ResponseParserTest, ParsesTheKeepAliveTimeout) {
  EXPECT_EQ(keep_alive_seconds_of("timeout=5, max=100"), 5U);
  EXPECT_EQ(keep_alive_seconds_of("max=3, Timeout=7"), 7U);
  EXPECT_EQ(keep_alive_seconds_of("timeout=99999999999"), 24U * 3600U);
  for (const char* other : {"", "max=100", "timeout=", "timeout=x", "5"}) {
    EXPECT_FALSE(keep_alive_seconds_of(other)) << other;
  }
}

}  // namespace
}  // namespace chalkshed
