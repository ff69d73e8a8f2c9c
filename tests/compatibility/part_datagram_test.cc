/** \file
 * Crash messages with parts of prompts, which the production build doesn't know. */

#include <gtest/gtest.h>

#include "chalkshed/crash_message.h"
#include "tests/compatibility/production/crash_message_generated.h"
#include "tests/compatibility/sample_messages.h"

namespace chalkshed {
namespace {

broken_run lost_part() {
  broken_run run{91, 7, kSampleNow - std::chrono::milliseconds(20)};
  run.suspect = crash_suspect::kPart;
  run.software = software_id{92};
  return run;
}

TEST(PartDatagram, TheProductionBuildReadsTheContentsBesideTheParts) {
  crash_message message = sample_crash_message();
  message.broken.push_back(lost_part());
  message.suspected.push_back(lost_part());
  message.answered.push_back({93, kSampleNow, crash_suspect::kPart, software_id{94}});
  const std::string datagram = encode_crash_message(message, kSampleNow);
  const auto* bytes = reinterpret_cast<const uint8_t*>(datagram.data());
  flatbuffers::Verifier verifier(bytes, datagram.size());
  ASSERT_TRUE(production_wire::VerifyCrashMessageBuffer(verifier));
  const production_wire::CrashMessage* read = production_wire::GetCrashMessage(bytes);
  EXPECT_EQ(read->broken()->size(), 2U);
  EXPECT_EQ(read->answered()->size(), 1U);
  EXPECT_EQ(read->suspected()->size(), 0U);
}

TEST(PartDatagram, PartsArriveWithTheirSoftware) {
  crash_message message;
  message.broken = {lost_part()};
  message.suspected = {lost_part()};
  message.answered = {{93, kSampleNow, crash_suspect::kPart, software_id{94}}};
  const auto read = decode_crash_message(encode_crash_message(message, kSampleNow), kSampleNow);
  ASSERT_TRUE(read);
  ASSERT_EQ(read->broken.size(), 1U);
  EXPECT_EQ(read->broken[0].digest, 91U);
  EXPECT_EQ(read->broken[0].worker, 7U);
  EXPECT_EQ(read->broken[0].software, software_id{92});
  EXPECT_EQ(read->broken[0].suspect, crash_suspect::kPart);
  ASSERT_EQ(read->suspected.size(), 1U);
  EXPECT_TRUE(read->suspected[0].suspected);
  ASSERT_EQ(read->answered.size(), 1U);
  EXPECT_EQ(read->answered[0].suspect, crash_suspect::kPart);
  EXPECT_EQ(read->answered[0].software, software_id{94});
}

TEST(PartDatagram, AMessageWithoutPartsIsNoLongerThanBefore) {
  EXPECT_LE(encode_crash_message(sample_crash_message(), kSampleNow).size(), 160U);
}

}  // namespace
}  // namespace chalkshed
