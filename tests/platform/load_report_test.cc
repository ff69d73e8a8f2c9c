// The load header of workers' answers.
#include <gtest/gtest.h>

#include "platform/header_names.h"
#include "platform/request_wire.h"

namespace chalkshed::platform {
namespace {

std::optional<WorkerLoadReport> read_load(const std::string& text) {
  return RequestWire().judge({}, 200, {{kServerLoad, text}}).load;
}

TEST(LoadReport, TheFourthFigureIsTheSlowdownInPercent) {
  const auto report = read_load("3,1,8,250");
  ASSERT_TRUE(report);
  EXPECT_EQ(report->running, 3U);
  EXPECT_EQ(report->waiting, 1U);
  EXPECT_EQ(report->slots, 8U);
  EXPECT_EQ(report->slowdown, 2.5);
  EXPECT_EQ(read_load("3, 1, 8, 100")->slowdown, 1.0);
}

TEST(LoadReport, WithoutTheFourthFigureTheSlowdownIsUnknown) {
  for (const char* text : {"3,1,8", "3,1,8,", "3,1,8,x", "3,1,8,0", "3,1,8,-5"}) {
    const auto report = read_load(text);
    ASSERT_TRUE(report) << text;
    EXPECT_EQ(report->slots, 8U) << text;
    EXPECT_FALSE(report->slowdown) << text;
  }
}

TEST(LoadReport, AFifthFigureAndAnImpossibleSlowdownDoNoHarm) {
  EXPECT_EQ(read_load("3,1,8,120,7")->slowdown, 1.2);
  EXPECT_EQ(read_load("3,1,8,4000000")->slowdown, 10.0);
  EXPECT_FALSE(read_load("3,1"));
}

}  // namespace
}  // namespace chalkshed::platform
