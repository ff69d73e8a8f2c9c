#include "platform/record_codec.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>
#include <nlohmann/json.hpp>

namespace chalkshed::platform {
namespace {

constexpr const char* kConfiguration = R"({"version": 7, "routes": [
  {"name": "r1", "host": "a.example", "path_prefix": "/x/", "kind": "streaming",
   "timeout_ms": 6000, "target_ms": 500, "priority": 1, "service": "s", "attempts": 2,
   "resumable": true, "gap_target_ms": 500, "new_field": {}},
  {"name": "r2", "host": "a.example", "path_prefix": "/y/", "kind": "non_idempotent",
   "timeout_ms": 100, "target_ms": 50, "attempts": 1,
   "split": [{"service": "s", "weight": 90}, {"service": "t", "weight": 10}]},
  {"name": "r3", "host": "b.example", "path_prefix": "/z/", "kind": "batch", "service": "s",
   "run_target_ms": 20000, "retention_s": 60}],
  "services": [{"name": "s", "max_conns": 300, "engine": {"kv_capacity": 171000}},
               {"name": "t", "max_conns": 110}],
  "limits": {"max_header_bytes": 100, "max_body_bytes": 200, "idle_timeout_ms": 15000}})";

// A configuration with one batch route and the given text as its queue limit.
std::string with_queue_limit(const std::string& limit) {
  return R"({"version": 7, "services": [], "routes": [{"name": "r", "host": "a.example",
      "path_prefix": "/z/", "kind": "batch", "service": "s", "max_queued_tokens": )" +
         limit + "}]}";
}

TEST(DecodeRoutesTest, AQueueLimitIsAWholeNumberOfTokens) {
  const auto limit_of = [](const std::string& text) {
    const Expected<RouteTable> table = decode_routes(with_queue_limit(text));
    return table ? table->find("a.example", "/z/1")->max_queued_tokens : 12345;
  };
  EXPECT_EQ(limit_of("1400000"), 1400000U);
  EXPECT_EQ(limit_of("4800000.0"), 4800000U);
  EXPECT_EQ(limit_of("0"), 0U);
  EXPECT_EQ(limit_of("null"), 0U);
  EXPECT_EQ(limit_of("18446744073709551615"), UINT64_MAX);
  EXPECT_EQ(limit_of("1e300"), UINT64_MAX);
}

TEST(DecodeRoutesTest, AnInvalidQueueLimitIsRejectedWithTheReason) {
  for (const char* limit : {"-1", "0.5", "\"many\"", "[]", "true"}) {
    const Expected<RouteTable> table = decode_routes(with_queue_limit(limit));
    ASSERT_FALSE(table) << limit;
    EXPECT_NE(table.error().message.find("max_queued_tokens"), std::string::npos) << limit;
  }
}

TEST(DecodeRoutesTest, ReadsRoutesServicesAndLimits) {
  const Expected<RouteTable> table = decode_routes(kConfiguration);
  ASSERT_TRUE(table);
  EXPECT_EQ(table->version(), 7U);
  const Route* stream = table->find("a.example", "/x/1");
  ASSERT_NE(stream, nullptr);
  EXPECT_EQ(stream->kind, RouteKind::kStreaming);
  EXPECT_EQ(stream->timeout, std::chrono::seconds(6));
  EXPECT_EQ(stream->target, std::chrono::milliseconds(500));
  EXPECT_EQ(stream->longest_pause, std::chrono::milliseconds(500));
  EXPECT_TRUE(is_repeatable(*stream));
  const Route* split = table->find("a.example", "/y/1");
  ASSERT_NE(split, nullptr);
  EXPECT_FALSE(is_repeatable(*split));
  ASSERT_EQ(split->services.size(), 2U);
  EXPECT_EQ(split->services[1].weight, 10U);
  const Route* batch = table->find("b.example", "/z/1");
  ASSERT_NE(batch, nullptr);
  EXPECT_EQ(batch->run_target, std::chrono::seconds(20));
  EXPECT_EQ(batch->retention, std::chrono::seconds(60));
  EXPECT_TRUE(table->service("s")->generates);
  EXPECT_FALSE(table->service("t")->generates);
  EXPECT_EQ(table->limits().max_body_bytes, 200U);
}

TEST(DecodeRoutesTest, AnUnknownKindRunsAtMostOnce) {
  const Expected<RouteTable> table = decode_routes(
      R"({"version": 1, "services": [], "routes": [{"name": "r", "host": "h",
          "path_prefix": "/", "kind": "something new", "service": "s"}]})");
  ASSERT_TRUE(table);
  EXPECT_EQ(table->find("h", "/")->kind, RouteKind::kOnce);
}

TEST(DecodeRoutesTest, MalformedConfigurationsAreRejectedWithTheReason) {
  for (const char* broken :
       {"", "{", "[]", R"({"version": 1})", R"({"version": "x", "routes": [], "services": []})",
        R"({"version": 1, "routes": [{"name": "r"}], "services": []})"}) {
    const Expected<RouteTable> table = decode_routes(broken);
    ASSERT_FALSE(table) << broken;
    EXPECT_FALSE(table.error().message.empty());
    EXPECT_FALSE(table.error().remedy.empty());
  }
}

TEST(DecodeWorkerTest, ReadsItsRecord) {
  const Expected<WorkerRecord> record = decode_worker(
      "i-1", R"({"service": "s", "address": "10.0.0.9:8080", "zone": "z", "version": "v1",
                 "slots": 19, "state": "draining", "seq": 4})");
  ASSERT_TRUE(record);
  EXPECT_EQ(record->incarnation, "i-1");
  EXPECT_EQ(record->address, (Address{"10.0.0.9", 8080}));
  EXPECT_EQ(record->slots, 19U);
  EXPECT_TRUE(record->leaving);
}

TEST(DecodeWorkerTest, ABadAddressIsAnErrorThatNamesIt) {
  for (const char* address : {"", "10.0.0.9", "10.0.0.9:", "10.0.0.9:99999", ":80", "x:y"}) {
    const Expected<WorkerRecord> record =
        decode_worker("i-1", std::string(R"({"service": "s", "address": ")") + address + "\"}");
    EXPECT_FALSE(record) << address;
  }
  EXPECT_FALSE(decode_worker("i-1", "{}"));
  EXPECT_FALSE(decode_worker("i-1", "not json"));
}

nlohmann::json worker_entry() {
  return {
      {"service", "s"}, {"address", "10.0.0.9:8080"}, {"zone", "z"},        {"version", "v1"},
      {"slots", 19},    {"state", "ready"},           {"cold_left_ms", 12}, {"born", 1764630000000},
      {"seq", 4}};
}

TEST(DecodeWorkerTest, DistinguishesTheStartsOfAWorker) {
  nlohmann::json entry = worker_entry();
  const Expected<WorkerRecord> first = decode_worker("i-1", entry.dump());
  entry["born"] = 1764630005000;
  const Expected<WorkerRecord> second = decode_worker("i-1", entry.dump());
  ASSERT_TRUE(first);
  ASSERT_TRUE(second);
  EXPECT_EQ(first->incarnation, second->incarnation);
  EXPECT_NE(first->started, second->started);
  entry.erase("born");
  EXPECT_TRUE(decode_worker("i-1", entry.dump()));
}

// Entries that were not written by a worker must be rejected.
TEST(DecodeWorkerTest, AnEntryWithMissingFieldsIsRejected) {
  for (const char* field : {"service", "address", "zone", "slots", "state"}) {
    nlohmann::json entry = worker_entry();
    entry.erase(field);
    const Expected<WorkerRecord> record = decode_worker("i-1", entry.dump());
    ASSERT_FALSE(record) << field;
    EXPECT_NE(record.error().message.find(field), std::string::npos) << record.error().message;
  }
}

TEST(DecodeWorkerTest, AnEntryWithFieldsOfAnotherTypeIsRejected) {
  const std::vector<nlohmann::json> no_text = {nullptr, true, -1,
                                               0.5,     {1},  {{"deep", {{"er", 1}}}}};
  const std::vector<nlohmann::json> no_number = {nullptr, true, -1, "", "7", {1}, {{"x", 1}}};
  const std::map<std::string, std::vector<nlohmann::json>> others = {
      {"service", no_text}, {"address", no_text},        {"zone", no_text},
      {"version", no_text}, {"state", no_text},          {"slots", no_number},
      {"seq", no_number},   {"cold_left_ms", no_number}, {"born", no_number}};
  for (const auto& [field, values] : others) {
    for (const nlohmann::json& value : values) {
      nlohmann::json entry = worker_entry();
      entry[field] = value;
      EXPECT_FALSE(decode_worker("i-1", entry.dump())) << field << " " << value;
    }
  }
}

TEST(DecodeWorkerTest, AnEntryWithAnUnknownStateOrInvalidSlotsIsRejected) {
  nlohmann::json entry = worker_entry();
  for (const char* state : {"", "READY", "ready ", "gone", "starting"}) {
    entry["state"] = state;
    EXPECT_FALSE(decode_worker("i-1", entry.dump())) << state;
  }
  entry = worker_entry();
  for (const nlohmann::json& slots :
       std::vector<nlohmann::json>{0, -1, 1.5, 4294967296, 18446744073709551615ULL, 1e300}) {
    entry["slots"] = slots;
    EXPECT_FALSE(decode_worker("i-1", entry.dump())) << slots;
  }
}

TEST(DecodeWorkerTest, MalformedEntriesAreRejectedWithAShortMessage) {
  const std::string deep = std::string(20000, '[') + std::string(20000, ']');
  for (const std::string& bytes :
       {std::string("\xff\xfe\x00", 3), deep, std::string(60000, 'x'), std::string("[]"),
        std::string("7"), std::string("null"), "{\"service\": \"" + std::string(60000, '\xc3')}) {
    const Expected<WorkerRecord> record = decode_worker("i-1", bytes);
    ASSERT_FALSE(record);
    constexpr size_t kMaxMessageBytes = 400;
    EXPECT_LE(record.error().message.size(), kMaxMessageBytes);
  }
}

RC_GTEST_PROP(DecodeWorkerProperty, AnyBytesAreAnEntryOrAnError, (const std::string& bytes)) {
  const Expected<WorkerRecord> record = decode_worker("i-1", bytes);
  RC_ASSERT(record || !record.error().message.empty());
}

RC_GTEST_PROP(DecodeWorkerProperty, AnEntryWithAChangedByteIsReadOrRejected, ()) {
  std::string bytes = worker_entry().dump();
  const auto at = *rc::gen::inRange<size_t>(0, bytes.size());
  bytes[at] = static_cast<char>(*rc::gen::inRange(0, 256));
  const Expected<WorkerRecord> record = decode_worker("i-1", bytes);
  RC_ASSERT(!record || (record->slots >= 1 && !record->service.empty()));
}

}  // namespace
// Values that no operator and no worker writes, for each field of a row in turn.
class OddValues : public testing::TestWithParam<std::string> {
 protected:
  static std::string with(std::string_view row, const std::string& field) {
    nlohmann::json fields = nlohmann::json::parse(row);
    replace(fields, field);
    std::string text = fields.dump();
    const std::string mark = "\"odd\"";
    for (size_t at = text.find(mark); at != std::string::npos; at = text.find(mark, at)) {
      text.replace(at, mark.size(), GetParam());
      at += GetParam().size();
    }
    return text;
  }

 private:
  static void replace(nlohmann::json& fields, const std::string& name) {
    for (auto& [key, value] : fields.items()) {
      if (key == name) {
        value = "odd";
      } else if (value.is_structured()) {
        replace(value, name);
      }
    }
  }
};

std::string nested(size_t depth) { return std::string(depth, '[') + std::string(depth, ']'); }

INSTANTIATE_TEST_SUITE_P(Rows, OddValues,
                         testing::Values("1e999", "1e308", "-1e308", "18446744073709551616",
                                         "-9223372036854775809", "65536", "-1", "null", "true",
                                         "\"text\"", "{}", std::string(400, '9'), nested(20'000),
                                         nested(200'000)));

// Guards against: an odd field ended the node, or gave a time that overflows.
TEST_P(OddValues, OfAConfigurationAreRejectedOrGiveUsableTimes) {
  for (const char* field :
       {"version",         "name",           "host",     "path_prefix", "kind",
        "timeout_ms",      "target_ms",      "priority", "service",     "attempts",
        "resumable",       "gap_target_ms",  "split",    "weight",      "run_target_ms",
        "retention_s",     "max_conns",      "engine",   "kv_capacity", "limits",
        "idle_timeout_ms", "max_body_bytes", "routes",   "services"}) {
    const Expected<RouteTable> table = decode_routes(with(kConfiguration, field));
    if (!table) {
      EXPECT_LT(table.error().message.size(), 1000U);
      continue;
    }
    for (const Route& route : table->routes()) {
      for (const Duration time :
           {route.timeout, route.target, route.longest_pause, route.run_target, route.retention}) {
        EXPECT_GE(time, Duration(0)) << field << " " << GetParam();
        EXPECT_LE(time, std::chrono::hours(24 * 3660)) << field << " " << GetParam();
      }
    }
  }
}

TEST_P(OddValues, OfAWorkerAreRejectedOrGiveUsableTimes) {
  constexpr const char* kWorker = R"({"service": "s", "address": "10.1.0.1:80", "zone": "z",
      "version": "1", "slots": 4, "state": "ready", "cold_left_ms": 5, "seq": 1, "born": 7})";
  for (const char* field :
       {"service", "address", "zone", "version", "slots", "state", "cold_left_ms", "seq", "born"}) {
    const Expected<WorkerRecord> worker = decode_worker("i-1", with(kWorker, field));
    if (!worker) {
      EXPECT_LT(worker.error().message.size(), 1000U);
    } else {
      EXPECT_GE(worker->cold_left, Duration(0));
      EXPECT_GT(worker->slots, 0U);
    }
  }
}

TEST_P(OddValues, OfALimitAreRejectedOrRead) {
  const Expected<RouteTable> table = decode_routes(with_queue_limit(GetParam()));
  if (!table) {
    EXPECT_LT(table.error().message.size(), 1000U);
  }
}

TEST_P(OddValues, OfAnEvacuationAreRejected) { EXPECT_FALSE(check_evacuation(nested(200'000))); }

}  // namespace chalkshed::platform
