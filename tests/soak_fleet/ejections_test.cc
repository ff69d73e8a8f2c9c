/** \file
 * The check that no healthy worker is ejected for long. */

#include "tests/soak/fleet/ejections.h"

#include <gtest/gtest.h>

namespace chalkshed::soak {
namespace {

using std::chrono::seconds;

constexpr const char *kLog =
    R"({"time":"1970-01-01T00:01:40.500000Z","level":"info","event":"worker_readmitted","worker":"i-1","ejected_ms":"2500"}
{"time":"1970-01-01T00:01:41.000000Z","level":"info","event":"worker_readmitted","worker":"i-2","ejected_ms":"400"}
)";

ejection_check judge(const std::vector<record> &records) {
    ejection_check judged;
    check_ejections(kLog, "node-1", records, Duration(0), judged);
    return judged;
}

disturbance fault(disturbed_part part, const std::string &target, MonotonicTime at) {
    return {at, at + seconds(1), "worker_fail", part, target};
}

TEST(Ejections, OfHealthyWorkersMustBeShort) {
    const ejection_check judged = judge({});
    EXPECT_EQ(judged.ejections, 2U);
    EXPECT_EQ(judged.of_healthy_workers, 2U);
    ASSERT_EQ(judged.violations.size(), 1U);
    EXPECT_NE(judged.violations[0].find("i-1"), std::string::npos);
}

TEST(Ejections, MayLastLongAfterAFaultOfTheWorker) {
    const MonotonicTime before{seconds(95)};
    EXPECT_TRUE(judge({fault(disturbed_part::kWorker, "i-1", before)}).violations.empty());
    EXPECT_EQ(judge({fault(disturbed_part::kWorker, "i-2", before)}).violations.size(), 1U);
}

// A fault that was over long before does not excuse an ejection.
TEST(Ejections, AreNotExcusedByOldFaults) {
    const MonotonicTime old{seconds(60)};
    EXPECT_EQ(judge({fault(disturbed_part::kWorker, "i-1", old)}).violations.size(), 1U);
}

TEST(Ejections, MayLastLongAtADisturbedNode) {
    const MonotonicTime during{seconds(99)};
    EXPECT_TRUE(judge({fault(disturbed_part::kNode, "node-1", during)}).violations.empty());
    EXPECT_EQ(judge({fault(disturbed_part::kNode, "node-2", during)}).violations.size(), 1U);
}

} // namespace
} // namespace chalkshed::soak
