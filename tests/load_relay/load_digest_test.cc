#include "chalkshed/load_digest.h"

#include <gtest/gtest.h>

#include "chalkshed/load_relay.h"
#include "sim/virtual_time.h"
#include "src/core/digest.h"
#include "src/transport/peer_transport.h"

namespace chalkshed {
namespace {

load_digest digest_of(std::vector<digest_entry> entries) {
  load_digest digest;
  digest.session = "node-with-a-rather-long-name-0123456789#0123456789abcdef";
  digest.sequence = 7;
  digest.entries = std::move(entries);
  digest.store_version = 99;
  return digest;
}

TEST(LoadDigestTest, RoundTrip) {
  load_digest digest = digest_of({{5, 1, 2, 3}, {UINT32_MAX, 255, 255, 65535}});
  digest.zone_sum = true;
  digest.first = 4;
  digest.last = UINT32_MAX;
  digest.lapsed = {{11, 12}};
  const std::optional<load_digest> read = decode_load_digest(encode_load_digest(digest));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->session, digest.session);
  EXPECT_EQ(read->sequence, 7U);
  EXPECT_TRUE(read->zone_sum);
  EXPECT_EQ(read->first, 4U);
  EXPECT_EQ(read->last, UINT32_MAX);
  EXPECT_EQ(read->store_version, 99U);
  EXPECT_EQ(read->lapsed, (std::vector<uint64_t>{11, 12}));
  ASSERT_EQ(read->entries.size(), 2U);
  EXPECT_EQ(read->entries[1].worker, UINT32_MAX);
  EXPECT_EQ(read->entries[1].online, 255);
  EXPECT_EQ(read->entries[1].prompt_units, 65535);
}

TEST(LoadDigestTest, OmitsLapsedSessionsWhenNotGiven) {
  EXPECT_FALSE(decode_load_digest(encode_load_digest(digest_of({})))->lapsed);
}

TEST(LoadDigestTest, RejectsMalformedDatagramsAndHeartbeats) {
  EXPECT_FALSE(decode_load_digest("noise"));
  EXPECT_FALSE(decode_load_digest(""));
  Heartbeat heartbeat;
  heartbeat.session = "n#1";
  EXPECT_FALSE(decode_load_digest(encode_heartbeat(heartbeat)));
  const std::string datagram = encode_load_digest(digest_of({{5, 1, 2, 3}}));
  EXPECT_FALSE(decode_heartbeat(datagram));
  for (size_t size = 0; size < datagram.size(); ++size) {
    decode_load_digest(std::string_view(datagram).substr(0, size));  // must not crash
  }
}

TEST(SplitDigestTest, PagesCoverAllWorkersOnceAndFitIntoADatagram) {
  const load_relay_knobs knobs;
  std::vector<digest_entry> entries;
  for (uint32_t worker = 0; worker < 1000; ++worker) {
    entries.push_back({worker * 4000000 + 17, 1, 1, 1});
  }
  load_digest whole = digest_of(entries);
  whole.lapsed.emplace(knobs.max_lapsed, UINT64_MAX);
  const std::vector<load_digest> pages = split_digest(whole, knobs.max_entries);
  ASSERT_EQ(pages.size(), 10U);
  uint64_t next = 0;
  size_t count = 0;
  for (const load_digest& page : pages) {
    EXPECT_EQ(page.first, next);
    EXPECT_LE(encode_load_digest(page).size(), DatagramTransport::kMaxDatagramBytes);
    for (const digest_entry& entry : page.entries) {
      EXPECT_GE(entry.worker, page.first);
      EXPECT_LE(entry.worker, page.last);
      ++count;
    }
    next = uint64_t{page.last} + 1;
  }
  EXPECT_EQ(next, uint64_t{UINT32_MAX} + 1);
  EXPECT_EQ(count, 1000U);
  EXPECT_TRUE(pages[0].lapsed);
  EXPECT_FALSE(pages[1].lapsed);
}

TEST(LoadDigestTest, SpeedsRoundTrip) {
  load_digest digest = digest_of({});
  worker_speed_entry known;
  known.worker = 5;
  known.samples = {-0.511, 12.5};
  worker_speed_entry slow;
  slow.worker = UINT32_MAX;
  slow.slowdown = 2.5;
  slow.slowdown_age = std::chrono::milliseconds(40);
  digest.speeds = {known, slow};
  const std::optional<load_digest> read = decode_load_digest(encode_load_digest(digest));
  ASSERT_TRUE(read);
  ASSERT_EQ(read->speeds.size(), 2U);
  EXPECT_EQ(read->speeds[0].worker, 5U);
  EXPECT_NEAR(read->speeds[0].samples.log_speed, -0.511, 1e-9);
  EXPECT_EQ(read->speeds[0].samples.weight, 12.5);
  EXPECT_FALSE(read->speeds[0].slowdown);
  EXPECT_EQ(read->speeds[1].worker, UINT32_MAX);
  EXPECT_EQ(read->speeds[1].samples.weight, 0);
  EXPECT_EQ(read->speeds[1].slowdown, 2.5);
  EXPECT_EQ(read->speeds[1].slowdown_age, std::chrono::milliseconds(40));
}

// Speeds of nodes that never hear of them cost nothing.
TEST(LoadDigestTest, WithoutSpeedsTheBytesAreThoseOfBuildsWithoutTheField) {
  load_digest digest = digest_of({{5, 1, 2, 3}});
  const size_t without = encode_load_digest(digest).size();
  digest.speeds.resize(1);
  EXPECT_GT(encode_load_digest(digest).size(), without);
}

TEST(SplitDigestTest, SpeedsAreOnTheLastPageAndTheLargestPagesFitIntoADatagram) {
  const load_relay_knobs knobs;
  for (const size_t count : {size_t{0}, knobs.max_entries, 2 * knobs.max_entries}) {
    load_digest whole = digest_of({});
    for (uint32_t worker = 0; worker < count; ++worker) {
      whole.entries.push_back({worker + 1, 1, 1, 1});
    }
    whole.lapsed.emplace(knobs.max_lapsed, UINT64_MAX);
    whole.speeds.resize(knobs.max_speeds);
    const std::vector<load_digest> pages = split_digest(whole, knobs.max_entries);
    for (size_t page = 0; page < pages.size(); ++page) {
      const bool last = page + 1 == pages.size();
      const bool has_room = last && (pages.size() > 1 || count == 0);
      EXPECT_EQ(pages[page].speeds.empty(), !last);
      EXPECT_TRUE(!has_room || pages[page].speeds.size() == knobs.max_speeds);
      EXPECT_LE(encode_load_digest(pages[page]).size(), DatagramTransport::kMaxDatagramBytes);
    }
  }
}

TEST(SplitDigestTest, WithoutLoadOnePageCoversAllWorkers) {
  const std::vector<load_digest> pages = split_digest(digest_of({}), 100);
  ASSERT_EQ(pages.size(), 1U);
  EXPECT_EQ(pages[0].first, 0U);
  EXPECT_EQ(pages[0].last, UINT32_MAX);
}

class ReportedLoadsTest : public testing::Test {
 protected:
  ServingWorker& add_worker(const std::string& incarnation) {
    WorkerRecord record;
    record.incarnation = incarnation;
    record.service = "engines";
    record.slots = 8;
    workers.update(record);
    return *workers.find(incarnation);
  }
  static uint32_t hash_of(const std::string& incarnation) {
    return static_cast<uint32_t>(content_hash(incarnation));
  }

  VirtualClock clock;
  SeededRandomGenerator random{1};
  WorkerSet workers{clock, random, "zone-a"};
  reported_loads loads;
  std::unordered_map<uint32_t, uint16_t> total;
};

TEST_F(ReportedLoadsTest, AReportReplacesThePreviousOneWithinItsRange) {
  ServingWorker& worker = add_worker("i-1");
  const uint32_t hash = hash_of("i-1");
  loads.replace(workers, {{hash, 3, 2, 0}});
  loads.replace(workers, {{hash, 1, 2, 0}});
  EXPECT_EQ(worker.others_online, 1);
  EXPECT_EQ(worker.others_batch, 2);
  loads.replace(workers, {}, hash + 1, UINT32_MAX);
  EXPECT_EQ(worker.others_online, 1) << "other pages of a digest don't cover it";
  loads.replace(workers, {}, hash, hash);
  EXPECT_EQ(worker.others_online, 0);
  EXPECT_EQ(worker.others_batch, 0);
}

// A replacement worker takes requests of other nodes before its record has arrived here.
TEST_F(ReportedLoadsTest, ALoadReportedBeforeTheWorkerIsKnownCountsOnceItIs) {
  const uint32_t hash = hash_of("i-1");
  loads.replace(workers, {{hash, 3, 0, 0}});
  ServingWorker& worker = add_worker("i-1");
  loads.replace(workers, {{hash, 3, 0, 0}});
  EXPECT_EQ(worker.others_online, 3);
  loads.replace(workers, {});
  EXPECT_EQ(worker.others_online, 0);
}

TEST_F(ReportedLoadsTest, PromptsCountOnceAndTheFirstValueOfACounterDoesNot) {
  const uint32_t hash = hash_of("i-1");
  ServingWorker& worker = add_worker("i-1");
  loads.add_prompts(workers, {{hash, 1, 0, 60000}}, &total);
  EXPECT_EQ(workers.prefill_backlog(worker), Duration(0));
  loads.add_prompts(workers, {{hash, 1, 0, 4}}, &total);  // the counter has wrapped
  EXPECT_EQ(loads.added_prompts().at(hash), 5540);
  EXPECT_EQ(total[hash], 5540);
  const Duration reading = workers.prefill_backlog(worker);
  EXPECT_GT(reading, Duration(0));
  loads.add_prompts(workers, {{hash, 1, 0, 4}}, &total);
  loads.add_prompts(workers, {{hash, 1, 0, 2}}, &total);  // from another relay, or reordered
  EXPECT_EQ(workers.prefill_backlog(worker), reading);
}

}  // namespace
}  // namespace chalkshed
