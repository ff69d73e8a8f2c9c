#include "src/core/error.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

TEST(ErrorTest, RejectionThatDidNotRunHasItsOwnStatus) {
  const Error error = not_run(ErrorKind::kOverloaded, "all workers are busy", "resend later");
  EXPECT_EQ(ran_name(error.ran), "no");
  EXPECT_EQ(error_kind_name(error.kind), "overloaded");
  EXPECT_EQ(http_status_of(error), 503);
}

TEST(ErrorTest, UncertainOutcomeIsABadGateway) {
  const Error error = maybe_run(ErrorKind::kOutcomeUnknown, "answer lost", "ask with the same key");
  EXPECT_EQ(ran_name(error.ran), "unknown");
  EXPECT_EQ(http_status_of(error), 502);
}

TEST(ErrorTest, FourStatusesGuaranteeThatTheRequestDidNotRun) {
  for (int status = 100; status < 600; ++status) {
    const bool promise = status == 408 || status == 421 || status == 429 || status == 503;
    EXPECT_EQ(promises_not_run(status), promise) << status;
  }
}

TEST(ErrorTest, OnlyRequestsThatDidNotRunGetAStatusThatGuaranteesIt) {
  for (int value = 0; value <= static_cast<int>(ErrorKind::kInternal); ++value) {
    const auto kind = static_cast<ErrorKind>(value);
    EXPECT_FALSE(promises_not_run(http_status_of(maybe_run(kind, "what", "remedy"))))
        << error_kind_name(kind);
  }
  for (const ErrorKind kind : {ErrorKind::kOverloaded, ErrorKind::kUnavailable,
                               ErrorKind::kStoreUnavailable, ErrorKind::kDraining}) {
    EXPECT_EQ(http_status_of(not_run(kind, "what", "remedy")), 503) << error_kind_name(kind);
  }
}

}  // namespace
}  // namespace chalkshed
