#include "src/explain/timeline.h"

#include <gtest/gtest.h>

#include <sstream>

namespace chalkshed {
namespace {

std::vector<LogLine> parse(std::initializer_list<const char*> texts) {
  std::vector<LogLine> lines;
  for (const char* text : texts) {
    if (auto line = parse_log_line(text)) {
      lines.push_back(*line);
    }
  }
  return lines;
}

TEST(ParseLogLineTest, ParsesALineAfterACollectorPrefixAndRejectsOthers) {
  const auto line = parse_log_line(
      R"(  10.2 n1 {"time":"2026-12-02T10:00:00.5Z","level":"info","node":"n1","event":"e","a":"b"})");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->node, "n1");
  EXPECT_EQ(line->event, "e");
  EXPECT_EQ(line->field("a"), "b");
  EXPECT_FALSE(parse_log_line("plain text"));
  EXPECT_FALSE(parse_log_line("{broken"));
  EXPECT_FALSE(parse_log_line(R"({"no": "event"})"));
}

TEST(TimelineTest, FollowsAStreamOverAllAttemptsOfItsCaller) {
  const std::vector<LogLine> lines = parse({
      R"({"time":"2026-12-02T10:00:00.000000Z","node":"n1","event":"request_sent","request":"r1"})",
      R"({"time":"2026-12-02T10:00:01.000000Z","node":"n2","event":"stream_taken_up","request":"r2","first_attempt":"r1"})",
      R"({"time":"2026-12-02T10:00:02.000000Z","node":"n2","event":"request_sent","request":"r2"})",
      R"({"time":"2026-12-02T10:00:03.000000Z","node":"n3","event":"stream_taken_up","request":"r3","first_attempt":"r1"})",
      R"({"time":"2026-12-02T10:00:04.000000Z","node":"n3","event":"request_sent","request":"r4"})",
  });
  for (const char* id : {"r1", "r2", "r3"}) {
    EXPECT_EQ(make_timeline(lines, id).size(), 4U) << id;
  }
  EXPECT_EQ(make_timeline(lines, "r4").size(), 1U);
}

TEST(TimelineTest, MergesNodesByTimeWithContextLines) {
  const std::vector<LogLine> lines = parse({
      R"({"time":"2026-12-02T10:00:04.000000Z","node":"n2","event":"request_ended_without_answer","request":"r1","worker":"i-2"})",
      R"({"time":"2026-12-02T10:00:03.000000Z","node":"n1","event":"send_refused","request":"r1","worker":"i-1"})",
      R"({"time":"2026-12-02T10:00:02.000000Z","node":"n1","event":"store_lost","table":"t"})",
      R"({"time":"2026-12-02T10:00:02.500000Z","node":"n1","event":"worker_unlisted","worker":"i-1"})",
      R"({"time":"2026-12-02T10:00:02.500000Z","node":"n1","event":"worker_unlisted","worker":"i-9"})",
      R"({"time":"2026-12-02T10:00:02.600000Z","node":"n3","event":"store_lost","table":"t"})",
      R"({"time":"2026-12-02T09:59:00.000000Z","node":"n1","event":"store_regained","table":"t"})",
      R"({"time":"2026-12-02T10:00:03.500000Z","node":"n1","event":"send_refused","request":"r2"})",
  });
  const std::vector<LogLine> timeline = make_timeline(lines, "r1");
  ASSERT_EQ(timeline.size(), 4U);
  EXPECT_EQ(timeline[0].event, "store_lost");
  EXPECT_EQ(timeline[0].node, "n1");
  EXPECT_EQ(timeline[1].event, "worker_unlisted");
  EXPECT_EQ(timeline[1].field("worker"), "i-1");
  EXPECT_EQ(timeline[2].event, "send_refused");
  EXPECT_TRUE(timeline[2].names_id);
  EXPECT_EQ(timeline[3].node, "n2");

  std::ostringstream text;
  print_timeline(timeline, text);
  EXPECT_NE(text.str().find("*    +0.000 s  n1  send_refused  request=r1"), std::string::npos);
  std::ostringstream json;
  print_timeline_json(timeline, json);
  EXPECT_NE(json.str().find(R"("names_id":true,"request":"r1")"), std::string::npos);
}

TEST(TimelineTest, UnknownIdGivesAnEmptyTimeline) {
  EXPECT_TRUE(
      make_timeline(parse({R"({"time":"2026-12-02T10:00:00Z","event":"e"})"}), "r").empty());
}

TEST(DescribeOriginTest, FindsTheSenderOfARequestAtABackEnd) {
  const std::vector<LogLine> lines = parse({
      R"({"time":"2026-12-02T10:00:04Z","node":"n2","event":"item_started","job":"j1","request":"a"})",
      R"({"time":"2026-12-02T10:00:03Z","node":"n1","event":"job_ended","request":"j1","job":"j1"})",
      R"({"time":"2026-12-02T10:00:01Z","node":"n1","event":"job_accepted","request":"j1","job":"j1"})",
      R"({"time":"2026-12-02T10:00:02Z","node":"n2","event":"item_started","job":"j2","request":"b"})",
      R"({"time":"2026-12-02T10:00:01Z","node":"n3","event":"job_not_accepted","request":"j2","job":"j2"})",
      R"({"time":"2026-12-02T10:00:05Z","node":"n3","event":"request_sent","request":"r1"})",
  });
  const auto expect_origin = [&](const std::string& id, const std::string& text) {
    EXPECT_EQ(describe_origin(lines, id), id + text);
  };
  expect_origin("a",
                " is an item of job j1, accepted by n1 at 2026-12-02T10:00:01Z, ended by n1 at "
                "2026-12-02T10:00:03Z");
  expect_origin("b",
                " is an item of job j2, whose acceptance is not logged, not accepted by n3 at "
                "2026-12-02T10:00:01Z");
  expect_origin("r1", " is a request of a caller, first logged by n3 at 2026-12-02T10:00:05Z");
  expect_origin("j1",
                " is job j1, accepted by n1 at 2026-12-02T10:00:01Z, ended by n1 at "
                "2026-12-02T10:00:03Z");
  expect_origin("x", ": its sender is not logged (starts of items are logged at level debug)");
}

}  // namespace
}  // namespace chalkshed
