/** \file
 * The datagram about the origins of streams, which production nodes don't know: they take it for
 * nothing that they know, and later builds must read the bytes committed here. */

#include <gtest/gtest.h>

#include "chalkshed/origin_message.h"
#include "tests/compatibility/hexadecimal.h"
#include "tests/compatibility/production/crash_message_generated.h"
#include "tests/compatibility/production/heartbeat_generated.h"
#include "tests/compatibility/production/load_digest_generated.h"
#include "tests/compatibility/production/quota_message_generated.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

// sample() as the first build with this datagram wrote it.
constexpr std::string_view kOriginMessage =
    "18000000434f52470000000000000a001000040008000c000a000000900000004c00000014000000"
    "1000220008000600040005001000180010000000010102002c000000000000000800000000000000"
    "080000000000000000001200240014000400060008001c000c001000120000000300ec1d50460000"
    "280000001400000008070605040302014d000000000000000900000031302e312e302e3335000000"
    "07000000656e67696e65730002000000887766554433221105000000000000000900000000000000"
    "0600000000000000";

origin_message sample() {
  origin_message message;
  message.placed = {{stream_key{0x1122334455667788}, software_id{5}},
                    {stream_key{9}, software_id{6}}};
  message.question = origin_question{0x0102030405060708,
                                     3,
                                     stream_key{77},
                                     "engines",
                                     milliseconds(18'000),
                                     Address{"10.1.0.35", 7660},
                                     "",
                                     ""};
  message.answer = origin_answer{
      44,
      2,
      {software_id{8}, {version_span::kind::kSole, software_id{8}}, true, route_span::kUncovered}};
  return message;
}

// A later build may add fields; it then keeps these bytes readable and drops this comparison.
TEST(OriginDatagrams, AreWrittenAsCommitted) {
  EXPECT_EQ(hexadecimal_of(encode_origin_message(sample())), kOriginMessage);
}

TEST(OriginDatagrams, AreReadAsTheyWereMeant) {
  const auto read = decode_origin_message(bytes_of(kOriginMessage));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->placed.size(), 2U);
  EXPECT_EQ(read->placed[0].stream, stream_key{0x1122334455667788});
  EXPECT_EQ(read->placed[1].software, software_id{6});
  ASSERT_TRUE(read->question);
  EXPECT_EQ(read->question->number, 0x0102030405060708U);
  EXPECT_EQ(read->question->asked, 3U);
  EXPECT_EQ(read->question->stream, stream_key{77});
  EXPECT_EQ(read->question->service, "engines");
  EXPECT_EQ(read->question->longest, milliseconds(18'000));
  EXPECT_EQ(read->question->reply_to, (Address{"10.1.0.35", 7660}));
  ASSERT_TRUE(read->answer);
  EXPECT_EQ(read->answer->evidence.recorded, software_id{8});
  EXPECT_EQ(read->answer->evidence.versions.known, version_span::kind::kSole);
  EXPECT_TRUE(read->answer->evidence.current);
}

TEST(OriginDatagrams, AreIgnoredByProductionNodes) {
  const std::string bytes = encode_origin_message(sample());
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  EXPECT_FALSE(production_wire::VerifyCrashMessageBuffer(verifier));
  EXPECT_FALSE(production_wire::VerifyHeartbeatBuffer(verifier));
  EXPECT_FALSE(production_wire::VerifyLoadDigestBuffer(verifier));
  EXPECT_FALSE(production_wire::VerifyQuotaMessageBuffer(verifier));
}

// What is truncated or altered is ignored as a whole, and never read beyond its end.
TEST(OriginDatagrams, ThatAreDamagedAreIgnored) {
  const std::string whole = encode_origin_message(sample());
  for (size_t length = 0; length < whole.size(); ++length) {
    EXPECT_FALSE(decode_origin_message(whole.substr(0, length))) << length;
  }
}

}  // namespace
}  // namespace chalkshed
