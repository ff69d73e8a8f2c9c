/** \file
 * The datagram about failing workers, which production nodes don't know: they take it for nothing
 * that they know, and later builds must read the bytes committed here. */

#include <gtest/gtest.h>

#include "chalkshed/failure_message.h"
#include "tests/compatibility/hexadecimal.h"
#include "tests/compatibility/production/crash_message_generated.h"
#include "tests/compatibility/production/heartbeat_generated.h"
#include "tests/compatibility/production/load_digest_generated.h"
#include "tests/compatibility/production/quota_message_generated.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

constexpr MonotonicTime kNow{std::chrono::seconds(100)};

// sample() as the first build with this datagram wrote it.
constexpr std::string_view kFailureMessage =
    "1800000043464149000000000c001c001000040008000c000c000000480000002c00000010000000"
    "8877665544332211000000000100000051000000000000002c010000000000000000000001000000"
    "05000000701101005a002800dc050c0001020103020000005b00000000000000050000001e000200"
    "5c0000000000000006000000bc020500";

failure_report sample() {
  failure_report report;
  report.sender = 0x1122334455667788;
  report.failures = {{91, 5, kNow - milliseconds(30), answer_fault::kWrong},
                     {92, 6, kNow - milliseconds(700), answer_fault::kSilent}};
  worker_standing standing;
  standing.worker = 5;
  standing.state = worker_state::kEjected;
  standing.since = kNow - milliseconds(70'000);
  standing.level = 2;
  standing.passed = 1;
  standing.needed = 3;
  standing.result_at = kNow - milliseconds(40);
  standing.probed = kNow - milliseconds(90);
  standing.successes = 12;
  standing.succeeded = kNow - milliseconds(1500);
  report.workers = {standing};
  report.services = {{81, 300}};
  return report;
}

// A later build may add fields; it then keeps these bytes readable and drops this comparison.
TEST(FailureDatagrams, AreWrittenAsCommitted) {
  EXPECT_EQ(hexadecimal_of(encode_failure_report(sample(), kNow)), kFailureMessage);
}

TEST(FailureDatagrams, AreReadAsTheyWereMeant) {
  const auto read = decode_failure_report(bytes_of(kFailureMessage), kNow);
  const failure_report meant = sample();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->sender, meant.sender);
  ASSERT_EQ(read->failures.size(), 2U);
  EXPECT_EQ(read->failures[1].content, 92U);
  EXPECT_EQ(read->failures[1].worker, 6U);
  EXPECT_EQ(read->failures[1].at, meant.failures[1].at);
  EXPECT_EQ(read->failures[1].fault, answer_fault::kSilent);
  ASSERT_EQ(read->workers.size(), 1U);
  const worker_standing& standing = read->workers[0];
  EXPECT_EQ(standing.worker, 5U);
  EXPECT_EQ(standing.state, worker_state::kEjected);
  EXPECT_EQ(standing.since, meant.workers[0].since);
  EXPECT_EQ(standing.level, 2U);
  EXPECT_EQ(standing.passed, 1U);
  EXPECT_EQ(standing.needed, 3U);
  EXPECT_EQ(standing.result_at, meant.workers[0].result_at);
  EXPECT_EQ(standing.probed, meant.workers[0].probed);
  EXPECT_EQ(standing.successes, 12U);
  EXPECT_EQ(standing.succeeded, meant.workers[0].succeeded);
  ASSERT_EQ(read->services.size(), 1U);
  EXPECT_EQ(read->services[0].service, 81U);
  EXPECT_EQ(read->services[0].successes, 300U);
}

TEST(FailureDatagrams, AreNothingThatProductionNodesKnow) {
  const std::string bytes = encode_failure_report(sample(), kNow);
  const auto verifier = [&bytes] {
    return flatbuffers::Verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  };
  flatbuffers::Verifier of_crash = verifier();
  flatbuffers::Verifier of_heartbeat = verifier();
  flatbuffers::Verifier of_digest = verifier();
  flatbuffers::Verifier of_quota = verifier();
  EXPECT_FALSE(production_wire::VerifyCrashMessageBuffer(of_crash));
  EXPECT_FALSE(production_wire::VerifyHeartbeatBuffer(of_heartbeat));
  EXPECT_FALSE(production_wire::VerifyLoadDigestBuffer(of_digest));
  EXPECT_FALSE(production_wire::VerifyQuotaMessageBuffer(of_quota));
}

}  // namespace
}  // namespace chalkshed
