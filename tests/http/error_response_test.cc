// Parsing of error responses from other processes, including corrupt ones.
#include "src/http/error_response.h"

#include <gtest/gtest.h>

#include "src/adapters/error_codec.h"

namespace chalkshed {
namespace {

constexpr Duration kLongest = std::chrono::hours(24);

void expect_bounded(const Error& error, const std::string& number) {
  EXPECT_EQ(error.kind, ErrorKind::kOverloaded);
  ASSERT_TRUE(error.retry_after) << number;
  EXPECT_GE(*error.retry_after, Duration(0)) << number;
  EXPECT_LE(*error.retry_after, kLongest) << number;
}

TEST(ErrorResponseTest, ImplausibleRetryAfterIsBounded) {
  for (const std::string number : {"-5", "9223372036854775807", "18446744073709551615"}) {
    std::string fields = R"({"error":{"kind":"overloaded","retry_after_ms":)";
    fields += number;
    fields += R"(,"retry_after_seconds":)";
    fields += number;
    fields += "}}";
    expect_bounded(parse_error_response({503, {}, fields}), number);
    expect_bounded(decode_error(503, fields), number);
  }
}

}  // namespace
}  // namespace chalkshed
