// Rows of the node table that no node has written.

#include <gtest/gtest.h>

#include "chalkshed/node_announcement.h"
#include "src/metrics/prometheus_metrics.h"
#include "tests/logging/recording_logger.h"
#include "tests/peers/lone_exchange.h"

namespace chalkshed {
namespace {

std::vector<std::string> odd_values() {
  constexpr size_t kDeep = 100'000;
  const std::vector<std::string> fields = {"session", "zone",        "ip",
                                           "port",    "caller_port", "capacity"};
  const std::vector<std::string> values = {
      "5",    "-1",   "65536", "1e999", "1e308",
      "null", "true", "[]",    "{}",    std::string(kDeep, '[') + std::string(kDeep, ']')};
  std::vector<std::string> rows = {"", "5", "[]", "{}", "null", "{\"session\":", "\xff\xfe"};
  for (const std::string& field : fields) {
    const std::string before = field == "session" ? "{" : R"({"session":"odd#1",)";
    for (const std::string& value : values) {
      std::string& row = rows.emplace_back(before);
      row.append("\"").append(field).append("\":").append(value).append("}");
    }
  }
  return rows;
}

// Guards against: one odd row ended every node that read the table.
TEST(UnreadableRowsTest, AreRejectedAndTheOthersAreFollowed) {
  RecordingLogger logger;
  PrometheusMetricsRegistry metrics;
  LoneExchange own(logger, metrics);
  own.exchange.start();
  StoreVersion version = 0;
  for (const std::string& value : odd_values()) {
    own.exchange.on_row({{kNodeTable, "", "odd"}, value, ++version, false});
    own.exchange.on_row({{kNodeTable, "", "own"}, value, ++version, false});
  }
  const node_announcement sound = {"n1#1", "zone-b", {"10.1.0.1", 7660}, 8144, 1};
  own.exchange.on_row({{kNodeTable, "", "n1"}, encode_node_announcement(sound), ++version, false});
  own.exchange.on_listed();
  EXPECT_EQ(own.exchange.address_of("n1#1"), (Address{"10.1.0.1", 7660}));
  EXPECT_EQ(logger.lines_of("announcement_rejected").size(), 1U);
  EXPECT_NE(metrics.exposition().find("chalkshed_announcements_rejected_total"), std::string::npos);
}

TEST(NodeAnnouncement, IsReadAsItWasWritten) {
  const node_announcement written = {"n1#1", "zone-b", {"10.1.0.1", 7660}, 8144, 0.5};
  const Expected<node_announcement> read =
      decode_node_announcement(encode_node_announcement(written));
  ASSERT_TRUE(read);
  EXPECT_EQ(read->session, written.session);
  EXPECT_EQ(read->zone, written.zone);
  EXPECT_EQ(read->address, written.address);
  EXPECT_EQ(read->caller_port, written.caller_port);
  EXPECT_EQ(read->capacity, written.capacity);
}

TEST(NodeAnnouncement, NamesTheFieldThatCannotBeRead) {
  const auto read = decode_node_announcement(R"({"session":"n#1","port":65536})");
  ASSERT_FALSE(read);
  EXPECT_NE(read.error().message.find("port"), std::string::npos);
}

}  // namespace
}  // namespace chalkshed
