#include "src/logging/structured_logger.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

TEST(StructuredLoggerTest, QuotesOnlyValuesThatNeedIt) {
  EXPECT_EQ(format_log_event(LogLineFormat::kKeyValue, "started",
                             {{"id", "n1"}, {"note", "two words"}, {"empty", ""}}),
            R"(event=started id=n1 note="two words" empty="")");
}

TEST(StructuredLoggerTest, HostileValuesStayOnOneLine) {
  EXPECT_EQ(format_log_event(LogLineFormat::kKeyValue, "e", {{"v", "a\nevent=forged \"x\""}}),
            R"(event=e v="a\u000aevent=forged \"x\"")");
}

TEST(StructuredLoggerTest, JsonFieldsAreEscaped) {
  EXPECT_EQ(format_log_event(LogLineFormat::kJson, "e", {{"v", "a\\\"b"}}),
            R"("event":"e","v":"a\\\"b")");
}

}  // namespace
}  // namespace chalkshed
