#include "src/history/json_lines.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

TEST(JsonLines, RoundTripsEveryField) {
  const std::string line =
      format_event({MonotonicTime(Duration(42)),
                    CallBegan{"c1", "prompt \"x\"", "node-1", CallKind::kStream, true, "text"}});
  const Expected<Event> event = parse_event(line);
  ASSERT_TRUE(event);
  EXPECT_EQ(format_event(*event), line);
  EXPECT_EQ(std::get<CallBegan>(event->data).request, "prompt \"x\"");
  EXPECT_EQ(event->time, MonotonicTime(Duration(42)));
}

TEST(JsonLines, SortsAHistoryByTime) {
  const Expected<History> history = parse_history(
      "{\"time_us\":9,\"event\":\"quiescent\"}\n"
      "{\"time_us\":3,\"event\":\"job_accepted\",\"key\":\"k\",\"job\":\"j\"}\n");
  ASSERT_TRUE(history);
  ASSERT_EQ(history->size(), 2U);
  EXPECT_TRUE(std::holds_alternative<JobAccepted>(history->front().data));
}

TEST(JsonLines, ReportsTheMalformedLine) {
  const Expected<History> history =
      parse_history("{\"time_us\":9,\"event\":\"quiescent\"}\n{\"time_us\":9}\n");
  ASSERT_FALSE(history);
  EXPECT_TRUE(history.error().message.starts_with("line 2"));
}

TEST(JsonLines, RejectsUnknownEvents) {
  EXPECT_FALSE(parse_event("{\"time_us\":9,\"event\":\"nonsense\"}"));
}

}  // namespace
}  // namespace chalkshed
