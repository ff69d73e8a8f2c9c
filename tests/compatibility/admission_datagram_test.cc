/** \file
 * The datagram of shared admission, which the production build doesn't know: its bytes must stay
 * readable once nodes send them, and production readers must not take it for one of theirs. */

#include <gtest/gtest.h>

#include "chalkshed/admission_message.h"
#include "tests/compatibility/hexadecimal.h"
#include "tests/compatibility/production/crash_message_generated.h"
#include "tests/compatibility/production/heartbeat_generated.h"
#include "tests/compatibility/production/load_digest_generated.h"
#include "tests/compatibility/production/quota_message_generated.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

// encode_admission_message(sample()) when the datagram was introduced, in hexadecimal.
constexpr std::string_view kBytes =
    "240000004341444d00000000180030000800050024000c0010000600140018001c00200018000000"
    "00010e00a800000084000000700000005c0000004000000028000000100000000300000000000000"
    "00000000010000001a000000000000001b0000000000000001000000160000001700000018000000"
    "0000cc4101000000110000001200000000009c410000a44115000000010000000f00000001000000"
    "00008441010000000b0000000c0000000d0000000100000004000000050000000600000007000000"
    "08000000090000000a000000040000006e31233200000000";

admission_message sample() {
  admission_message message;
  message.kind = admission_message_kind::kZoneSum;
  message.session = "n1#2";
  message.sequence = 3;
  message.counts = {{{4, 5, 6}, 7, 8, 9, 10}};
  message.served = {{11, 12, 13}};
  message.nodes = 14;
  message.services = {{15, true, 16.5F}};
  message.levels = {{17, 18, 19.5F, 20.5F, milliseconds(21)}};
  message.shares = {{{22, 23, 24}, 25.5F}};
  message.contents = {{26, milliseconds(27)}};
  return message;
}

TEST(AdmissionDatagram, TheFirstBytesAreReadAsTheyWereMeant) {
  const auto read = decode_admission_message(bytes_of(kBytes));
  const admission_message meant = sample();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->kind, meant.kind);
  EXPECT_EQ(read->session, meant.session);
  EXPECT_EQ(read->sequence, meant.sequence);
  EXPECT_EQ(read->nodes, meant.nodes);
  ASSERT_EQ(read->counts.size(), 1U);
  EXPECT_EQ(read->counts[0].key, meant.counts[0].key);
  EXPECT_EQ(read->counts[0].arrived, 7U);
  EXPECT_EQ(read->counts[0].recent, 8U);
  EXPECT_EQ(read->counts[0].admitted, 9U);
  EXPECT_EQ(read->counts[0].waiting, 10U);
  ASSERT_EQ(read->served.size(), 1U);
  EXPECT_EQ(read->served[0].ended, 12U);
  EXPECT_EQ(read->served[0].busy, 13U);
  ASSERT_EQ(read->services.size(), 1U);
  EXPECT_TRUE(read->services[0].overloaded);
  EXPECT_EQ(read->services[0].capacity, 16.5F);
  ASSERT_EQ(read->levels.size(), 1U);
  EXPECT_EQ(read->levels[0].level, 19.5F);
  EXPECT_EQ(read->levels[0].demand, 20.5F);
  EXPECT_EQ(read->levels[0].wait, milliseconds(21));
  ASSERT_EQ(read->shares.size(), 1U);
  EXPECT_EQ(read->shares[0].key, meant.shares[0].key);
  EXPECT_EQ(read->shares[0].demand, 25.5F);
  ASSERT_EQ(read->contents.size(), 1U);
  EXPECT_EQ(read->contents[0].content, 26U);
  EXPECT_EQ(read->contents[0].age, milliseconds(27));
}

TEST(AdmissionDatagram, ProductionNodesTakeItForNothingTheyKnow) {
  const std::string bytes = encode_admission_message(sample());
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
