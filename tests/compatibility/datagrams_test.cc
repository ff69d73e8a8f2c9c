/** \file
 * Nodes of the production build and of this one run side by side: each reads what the other sends.
 * Fields are only added, and what a build does not know it leaves out. */

#include <gtest/gtest.h>

#include "chalkshed/turn_message.h"
#include "tests/compatibility/hexadecimal.h"
#include "tests/compatibility/production/crash_message_generated.h"
#include "tests/compatibility/production/golden_bytes_generated.h"
#include "tests/compatibility/production/heartbeat_generated.h"
#include "tests/compatibility/production/load_digest_generated.h"
#include "tests/compatibility/production/quota_message_generated.h"
#include "tests/compatibility/sample_messages.h"

namespace chalkshed {
namespace {

constexpr std::string_view kHeartbeatWithSpeed =
    "2800000043484254000000001c0020000400180000000000000008000c0010000000000000001400"
    "1c0000001c000000240000002400000024000000240000001100000000000000040000006e312333"
    "0000000000000000000000000000000001000000290000000cfe3000fa001400";
constexpr std::string_view kDigestWithSpeed =
    "28000000434c4447000000001c002400040018000000000008000c00000010000000000000001400"
    "1c00000038000000ffffffff2c000000240000001000000009000000000000000000000001000000"
    "290000000cfe3000fa0014000000000000000000040000006e32233400000000";

flatbuffers::Verifier verifier_of(const std::string& bytes) {
  return {reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size()};
}

/* What production nodes send, as this build reads it. */

TEST(ProductionDatagrams, CrashMessagesAreReadAsTheyWereMeant) {
  const auto read = decode_crash_message(bytes_of(production::kCrashMessage), kSampleNow);
  const crash_message meant = sample_crash_message();
  ASSERT_TRUE(read);
  ASSERT_EQ(read->broken.size(), meant.broken.size());
  for (size_t index = 0; index < meant.broken.size(); ++index) {
    EXPECT_EQ(read->broken[index].digest, meant.broken[index].digest);
    EXPECT_EQ(read->broken[index].worker, meant.broken[index].worker);
    EXPECT_EQ(read->broken[index].at, meant.broken[index].at);
    EXPECT_FALSE(read->broken[index].suspected);
  }
  ASSERT_EQ(read->answered.size(), 1U);
  EXPECT_EQ(read->answered.front().digest, meant.answered.front().digest);
  EXPECT_EQ(read->answered.front().sent, meant.answered.front().sent);
  EXPECT_TRUE(read->suspected.empty());
}

TEST(ProductionDatagrams, HeartbeatsAreReadAsTheyWereMeant) {
  const auto read = decode_heartbeat(bytes_of(production::kHeartbeat));
  const Heartbeat meant = sample_heartbeat();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->session, meant.session);
  EXPECT_EQ(read->sequence, meant.sequence);
  EXPECT_EQ(read->draining, meant.draining);
  EXPECT_EQ(read->store_silence, meant.store_silence);
  EXPECT_EQ(read->store_version, meant.store_version);
  EXPECT_EQ(read->known.configuration, meant.known.configuration);
  EXPECT_EQ(read->known.workers, meant.known.workers);
  EXPECT_EQ(read->next_within, meant.next_within);
  ASSERT_EQ(read->loads.size(), 1U);
  EXPECT_EQ(read->loads.front().worker, meant.loads.front().worker);
  EXPECT_EQ(read->loads.front().online, meant.loads.front().online);
  EXPECT_EQ(read->loads.front().batch, meant.loads.front().batch);
  EXPECT_EQ(read->loads.front().prompt_tokens, meant.loads.front().prompt_tokens);
  ASSERT_EQ(read->outcomes.size(), 1U);
  EXPECT_EQ(read->outcomes.front().worker, meant.outcomes.front().worker);
  EXPECT_EQ(read->outcomes.front().failed_ago, meant.outcomes.front().failed_ago);
  EXPECT_EQ(read->outcomes.front().succeeded_ago, meant.outcomes.front().succeeded_ago);
  EXPECT_EQ(read->outcomes.front().failures, meant.outcomes.front().failures);
  ASSERT_EQ(read->remainders.size(), 1U);
  EXPECT_EQ(read->remainders.front().tokens, meant.remainders.front().tokens);
}

TEST(ProductionDatagrams, LoadDigestsAreReadAsTheyWereMeant) {
  const auto read = decode_load_digest(bytes_of(production::kLoadDigest));
  const load_digest meant = sample_load_digest();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->session, meant.session);
  EXPECT_EQ(read->sequence, meant.sequence);
  EXPECT_EQ(read->zone_sum, meant.zone_sum);
  EXPECT_EQ(read->first, meant.first);
  EXPECT_EQ(read->last, meant.last);
  EXPECT_EQ(read->lapsed, meant.lapsed);
  EXPECT_EQ(read->store_version, meant.store_version);
  ASSERT_EQ(read->entries.size(), meant.entries.size());
  EXPECT_EQ(read->entries.back().worker, meant.entries.back().worker);
  EXPECT_EQ(read->entries.back().online, meant.entries.back().online);
  EXPECT_EQ(read->entries.back().prompt_units, meant.entries.back().prompt_units);
}

TEST(ProductionDatagrams, QuotaMessagesAreReadAsTheyWereMeant) {
  const auto read = decode_quota_message(bytes_of(production::kQuotaMessage));
  const quota_message meant = sample_quota_message();
  ASSERT_TRUE(read);
  EXPECT_EQ(read->kind, meant.kind);
  EXPECT_EQ(read->session, meant.session);
  EXPECT_EQ(read->run, meant.run);
  EXPECT_EQ(read->sequence, meant.sequence);
  EXPECT_EQ(read->nodes, meant.nodes);
  EXPECT_EQ(read->acknowledged, meant.acknowledged);
  EXPECT_EQ(read->coverage, meant.coverage);
  ASSERT_EQ(read->levels.size(), 1U);
  EXPECT_EQ(read->levels.front().level, meant.levels.front().level);
  ASSERT_EQ(read->counts.size(), 1U);
  EXPECT_EQ(read->counts.front().admitted, meant.counts.front().admitted);
}

/* What this build sends, as production nodes read it. */

TEST(ProductionReaders, ReadWhatTheyKnowOfACrashMessageAndLeaveTheRest) {
  crash_message message = sample_crash_message();
  message.suspected = {{80, 9, kSampleNow, false}};
  const std::string bytes = encode_crash_message(message, kSampleNow);
  flatbuffers::Verifier verifier = verifier_of(bytes);
  ASSERT_TRUE(production_wire::VerifyCrashMessageBuffer(verifier));
  const auto* read = production_wire::GetCrashMessage(bytes.data());
  ASSERT_EQ(read->broken()->size(), 2U);
  EXPECT_EQ(read->broken()->Get(1)->digest(), 78U);
  EXPECT_EQ(read->broken()->Get(1)->worker(), 6U);
  EXPECT_EQ(read->broken()->Get(1)->milliseconds_ago(), 30U);
  ASSERT_EQ(read->answered()->size(), 1U);
  EXPECT_EQ(read->answered()->Get(0)->milliseconds_ago(), 40U);
}

TEST(ProductionReaders, ReadHeartbeatsDigestsAndQuotas) {
  const std::string heartbeat = encode_heartbeat(sample_heartbeat());
  flatbuffers::Verifier of_heartbeat = verifier_of(heartbeat);
  ASSERT_TRUE(production_wire::VerifyHeartbeatBuffer(of_heartbeat));
  EXPECT_EQ(production_wire::GetHeartbeat(heartbeat.data())->sequence(), 17U);
  EXPECT_EQ(production_wire::GetHeartbeat(heartbeat.data())->next_within_ms(), 500U);

  const std::string digest = encode_load_digest(sample_load_digest());
  flatbuffers::Verifier of_digest = verifier_of(digest);
  ASSERT_TRUE(production_wire::VerifyLoadDigestBuffer(of_digest));
  EXPECT_EQ(production_wire::GetLoadDigest(digest.data())->entries()->size(), 2U);

  const std::string quota = encode_quota_message(sample_quota_message());
  flatbuffers::Verifier of_quota = verifier_of(quota);
  ASSERT_TRUE(production_wire::VerifyQuotaMessageBuffer(of_quota));
  EXPECT_EQ(production_wire::GetQuotaMessage(quota.data())->levels()->Get(0)->level(), -1.5F);
}

TEST(ProductionReaders, LeaveOutTheSpeedsOfWorkers) {
  worker_speed_entry speed;
  speed.worker = 41;
  speed.samples = {-0.5, 3.0};
  speed.slowdown = 2.5;
  speed.slowdown_age = std::chrono::milliseconds(20);
  Heartbeat heartbeat = sample_heartbeat();
  heartbeat.speeds = {speed};
  const std::string beat = encode_heartbeat(heartbeat);
  flatbuffers::Verifier of_heartbeat = verifier_of(beat);
  ASSERT_TRUE(production_wire::VerifyHeartbeatBuffer(of_heartbeat));
  EXPECT_EQ(production_wire::GetHeartbeat(beat.data())->sequence(), 17U);
  EXPECT_EQ(production_wire::GetHeartbeat(beat.data())->loads()->Get(0)->prompt_tokens(), 4000U);
  EXPECT_EQ(production_wire::GetHeartbeat(beat.data())->next_within_ms(), 500U);
  EXPECT_EQ(decode_heartbeat(beat)->speeds.front().worker, 41U);

  load_digest digest = sample_load_digest();
  digest.speeds = {speed};
  const std::string bytes = encode_load_digest(digest);
  flatbuffers::Verifier of_digest = verifier_of(bytes);
  ASSERT_TRUE(production_wire::VerifyLoadDigestBuffer(of_digest));
  EXPECT_EQ(production_wire::GetLoadDigest(bytes.data())->entries()->size(), 2U);
  EXPECT_EQ(production_wire::GetLoadDigest(bytes.data())->workers_version(), 1299U);
}

/* Written once by this build: later builds must read the field as it was meant. */
TEST(CommittedBytes, OfSpeedsAreReadAsTheyWereMeant) {
  const auto expect_meant = [](const std::vector<worker_speed_entry>& speeds) {
    ASSERT_EQ(speeds.size(), 1U);
    EXPECT_EQ(speeds.front().worker, 41U);
    EXPECT_DOUBLE_EQ(speeds.front().samples.log_speed, -0.5);
    EXPECT_DOUBLE_EQ(speeds.front().samples.weight, 3.0);
    EXPECT_EQ(speeds.front().slowdown, 2.5);
    EXPECT_EQ(speeds.front().slowdown_age, std::chrono::milliseconds(20));
  };
  const auto heartbeat = decode_heartbeat(bytes_of(kHeartbeatWithSpeed));
  ASSERT_TRUE(heartbeat);
  EXPECT_EQ(heartbeat->session, "n1#3");
  expect_meant(heartbeat->speeds);
  const auto digest = decode_load_digest(bytes_of(kDigestWithSpeed));
  ASSERT_TRUE(digest);
  EXPECT_EQ(digest->session, "n2#4");
  expect_meant(digest->speeds);
}

// A node that has nothing to tell of speeds sends the bytes that production nodes send.
TEST(ProductionReaders, GetTheSameBytesAsBeforeWithoutSpeeds) {
  EXPECT_EQ(encode_heartbeat(sample_heartbeat()), bytes_of(production::kHeartbeat));
  EXPECT_EQ(encode_load_digest(sample_load_digest()), bytes_of(production::kLoadDigest));
}

TEST(ProductionReaders, TakeAMessageAboutTurnsForNothingTheyKnow) {
  const std::string bytes = encode_turn_message({"n1#3", {{turn_entry_type::kAsk, 77, {}}}});
  flatbuffers::Verifier of_crash = verifier_of(bytes);
  flatbuffers::Verifier of_heartbeat = verifier_of(bytes);
  flatbuffers::Verifier of_digest = verifier_of(bytes);
  flatbuffers::Verifier of_quota = verifier_of(bytes);
  EXPECT_FALSE(production_wire::VerifyCrashMessageBuffer(of_crash));
  EXPECT_FALSE(production_wire::VerifyHeartbeatBuffer(of_heartbeat));
  EXPECT_FALSE(production_wire::VerifyLoadDigestBuffer(of_digest));
  EXPECT_FALSE(production_wire::VerifyQuotaMessageBuffer(of_quota));
}

}  // namespace
}  // namespace chalkshed
