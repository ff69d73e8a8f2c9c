#include "chalkshed/request_runs.h"

#include <gtest/gtest.h>

#include <sstream>

namespace chalkshed {
namespace {

/** A log line with fields as "name=value", separated by spaces. */
LogLine line_at(const std::string &second, const std::string &node, const std::string &event,
                const std::string &fields) {
    LogLine line;
    line.time = "2026-12-02T10:00:" + second + "Z";
    line.node = node;
    line.event = event;
    line.fields.push_back({"request", "r1"});
    std::istringstream words(fields);
    for (std::string word; words >> word;) {
        const size_t equals = word.find('=');
        line.fields.push_back({word.substr(0, equals), word.substr(equals + 1)});
    }
    return line;
}

TEST(RequestRuns, ShowOnWhatEachConclusionRests) {
    const std::vector<request_run> runs = find_runs(
        {
            line_at("03.0", "n1", "request_answered", "worker=i-2 proof="),
            line_at("02.0", "n1", "request_sent", "worker=i-2 connection_use=1"),
            line_at("01.5", "n1", "send_refused", "worker=i-1 proof=refused reason=503"),
            line_at("01.0", "n1", "request_sent", "worker=i-1 connection_use=7"),
        },
        "r1");
    ASSERT_EQ(runs.size(), 2U);
    EXPECT_EQ(runs[0].conclusion, run_conclusion::kNotRun);
    EXPECT_EQ(runs[0].proof, "refused");
    EXPECT_EQ(runs[0].connection_use, "7");
    EXPECT_EQ(runs[1].conclusion, run_conclusion::kAnswered);
    EXPECT_EQ(count_possible_runs(runs), 1U);
    EXPECT_FALSE(overlaps_earlier(runs, 1));
}

TEST(RequestRuns, ARefusedOneThatWasAnsweredAfterAllCountsAsRun) {
    const std::vector<request_run> runs = find_runs(
        {
            line_at("01.0", "n1", "request_sent", "worker=i-1"),
            line_at("01.5", "n1", "send_refused", "worker=i-1 proof=refused"),
            line_at("01.6", "n1", "request_sent", "worker=i-2"),
            line_at("01.8", "n1", "send_ran_after_all", "worker=i-1"),
            line_at("02.0", "n1", "request_answered", ""),
        },
        "r1");
    EXPECT_EQ(runs[0].conclusion, run_conclusion::kRanAfterAll);
    EXPECT_EQ(count_possible_runs(runs), 2U);
}

TEST(RequestRuns, OneThatBeginsBeforeAnotherHasEndedOverlapsIt) {
    const std::vector<request_run> runs = find_runs(
        {
            line_at("01.0", "n1", "item_started", "worker=i-1"),
            line_at("02.0", "n2", "item_started", "worker=i-2 resume_after=4"),
            line_at("03.0", "n1", "item_run_failed", "worker=i-1 end=broken"),
            line_at("04.0", "n2", "item_preempted", "worker=i-2"),
            line_at("05.0", "n2", "item_started", "worker=i-3"),
        },
        "r1");
    ASSERT_EQ(runs.size(), 3U);
    EXPECT_TRUE(overlaps_earlier(runs, 1));
    EXPECT_FALSE(overlaps_earlier(runs, 2));
    EXPECT_EQ(runs[1].conclusion, run_conclusion::kPreempted);
    EXPECT_EQ(runs[2].conclusion, run_conclusion::kNone);
    std::ostringstream printed;
    print_runs(runs, printed);
    EXPECT_NE(printed.str().find("OVERLAPS"), std::string::npos);
    EXPECT_NE(printed.str().find("3 sends, 3 may have run"), std::string::npos);
}

TEST(RequestRuns, LinesOfOtherRequestsAndUnpairedEndsAreLeftOut) {
    LogLine other = line_at("01.0", "n1", "request_sent", "worker=i-1");
    other.fields.front().value = "r2";
    EXPECT_TRUE(
        find_runs({other, line_at("02.0", "n1", "send_refused", "worker=i-1")}, "r1").empty());
}

} // namespace
} // namespace chalkshed
