#include "src/once/claim_registry.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

namespace chalkshed {
namespace {

TEST(ClaimRecordTest, RoundTripWithArbitraryBytes) {
  ClaimRecord record;
  record.state = ClaimState::kFinished;
  record.request_digest = "d";
  record.attempt = "a";
  record.node = "n";
  record.claimed_at_seconds = 42;
  record.answer = HttpResponse{201, {{"Name", "v\xff"}}, std::string("\0\xfe", 2)};
  const auto decoded = decode_claim_record(encode_claim_record(record));
  ASSERT_TRUE(decoded);
  EXPECT_EQ(decoded->state, ClaimState::kFinished);
  EXPECT_EQ(decoded->answer->status, 201);
  EXPECT_EQ(decoded->answer->headers[0].value, "v\xff");
  EXPECT_EQ(decoded->answer->body, std::string("\0\xfe", 2));
  EXPECT_EQ(decoded->claimed_at_seconds, 42);
}

RC_GTEST_PROP(ClaimRecordProperty, ForeignRowsAreTypedErrors, (const std::string& bytes)) {
  const auto decoded = decode_claim_record(bytes);
  RC_ASSERT(!decoded);
  RC_ASSERT(decoded.error().ran == Ran::kUnknown);
}

TEST(ClaimRecordTest, DifferentPairsHaveDifferentRows) {
  EXPECT_NE(claim_row_key("a/b", "c").key, claim_row_key("a", "b/c").key);
  EXPECT_NE(claim_row_key("a", "").key, claim_row_key("", "a").key);
}

TEST(ClaimRecordTest, DigestCoversMethodPathQueryAndBody) {
  HttpRequest request = {"POST", "/a", "q", {}, "body", {}};
  const std::string digest = request_digest(request);
  request.query = "r";
  EXPECT_NE(request_digest(request), digest);
}

TEST(ClaimRecordTest, ChecksKeys) {
  EXPECT_FALSE(check_idempotency_key("booking 7"));
  EXPECT_TRUE(check_idempotency_key(""));
  EXPECT_TRUE(check_idempotency_key("a\nb"));
  EXPECT_TRUE(check_idempotency_key(std::string(kMaxIdempotencyKeyBytes + 1, 'k')));
}

}  // namespace
}  // namespace chalkshed
