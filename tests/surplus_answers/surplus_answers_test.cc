#include "chalkshed/surplus_answers.h"

#include <gtest/gtest.h>

#include "sim/virtual_time.h"
#include "src/metrics/prometheus_metrics.h"
#include "tests/logging/recording_logger.h"

namespace chalkshed {
namespace {

class SurplusAnswersTest : public testing::Test {
protected:
    static surplus_answer answer_of(const std::string &named, bool ran) {
        return {named.empty() ? answer_naming::kNone : answer_naming::kOther,
                "i-1",
                "r-current",
                named,
                ran ? 200 : 503,
                ran,
                7};
    }
    bool exposes(const std::string &line) const {
        return metrics.exposition().find(line) != std::string::npos;
    }

    VirtualClock clock;
    RecordingLogger logger;
    PrometheusMetricsRegistry metrics;
    surplus_answers answers{clock, logger, metrics};
};

TEST_F(SurplusAnswersTest, AreCountedByWhatTheyNameAndShareOneLine) {
    for (int number = 0; number < 3; ++number) {
        answers.note(answer_of("", false));
        answers.note(answer_of("r-old", false));
    }
    EXPECT_TRUE(exposes("chalkshed_surplus_answers_total{names=\"none\"} 3"));
    EXPECT_TRUE(exposes("chalkshed_surplus_answers_total{names=\"other\"} 3"));
    EXPECT_EQ(logger.lines_of("surplus_answer").size(), 1U);
}

TEST_F(SurplusAnswersTest, ThoseOnConnectionsWithoutARequestShareOneLineToo) {
    for (int number = 0; number < 3; ++number) {
        answers.note_unsolicited({"10.0.0.1", 80});
    }
    EXPECT_TRUE(exposes("chalkshed_unsolicited_answers_total 3"));
    EXPECT_EQ(logger.lines_of("unsolicited_answer").size(), 1U);
}

TEST_F(SurplusAnswersTest, AnAnswerToASendThatWasTakenAsNotRunIsAnErrorOfItsOwn) {
    answers.note_not_run("r-old", "i-1");
    answers.note_not_run("r-elsewhere", "i-2");
    answers.note(answer_of("r-old", false));
    answers.note(answer_of("r-elsewhere", true));
    EXPECT_EQ(logger.lines_of("send_ran_after_all").size(), 0U);
    answers.note(answer_of("r-old", true));
    EXPECT_EQ(logger.lines_of("send_ran_after_all").size(), 1U);
    EXPECT_TRUE(exposes("chalkshed_sends_run_after_all_total 1"));
    answers.note(answer_of("r-old", true));
    EXPECT_EQ(logger.lines_of("send_ran_after_all").size(), 1U) << "a second copy of the answer";
}

TEST_F(SurplusAnswersTest, ASendThatWasReportedAndSentAgainIsRememberedAsLongAsOthers) {
    constexpr int kSends = 1024;
    answers.note_not_run("r-old", "i-1");
    answers.note(answer_of("r-old", true));
    for (int number = 0; number < kSends - 1; ++number) {
        answers.note_not_run("r" + std::to_string(number), "i-2");
    }
    answers.note_not_run("r-old", "i-1");
    answers.note(answer_of("r-old", true));
    EXPECT_EQ(logger.lines_of("send_ran_after_all").size(), 2U);
}

} // namespace
} // namespace chalkshed
