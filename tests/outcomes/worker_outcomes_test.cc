#include "chalkshed/worker_outcomes.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

class WorkerOutcomesTest : public testing::Test {
protected:
    /** Fails a request that was sent just now. */
    void fail(worker_outcomes &outcomes) {
        now += milliseconds(1);
        outcomes.note_failure(now, now);
    }

    MonotonicTime now{seconds(100)};
    worker_outcomes here;
    worker_outcomes there;
};

TEST_F(WorkerOutcomesTest, ANewWorkerIsSentEverything) {
    EXPECT_FALSE(here.paused(now));
    EXPECT_FALSE(here.suspect(now));
    EXPECT_FALSE(here.worth_telling(now));
}

TEST_F(WorkerOutcomesTest, BackoffGrowsWithConsecutiveFailuresAndEndsWithASuccess) {
    fail(here);
    EXPECT_TRUE(here.paused(now + milliseconds(249)));
    EXPECT_FALSE(here.paused(now + milliseconds(250)));
    now += milliseconds(250);
    fail(here);
    EXPECT_TRUE(here.paused(now + milliseconds(499)));
    for (int count = 0; count < 10; ++count) {
        fail(here);
    }
    EXPECT_TRUE(here.paused(now + milliseconds(3999)));
    EXPECT_FALSE(here.paused(now + seconds(4)));
    here.note_success(now);
    EXPECT_FALSE(here.paused(now));
}

TEST_F(WorkerOutcomesTest, FailuresOfConcurrentRequestsCountOnce) {
    const MonotonicTime sent = now;
    now += milliseconds(5);
    here.note_failure(sent, now);
    here.note_failure(sent, now);
    here.note_failure(sent, now);
    EXPECT_FALSE(here.paused(now + milliseconds(250)));
}

TEST_F(WorkerOutcomesTest, AfterTheBackoffAWorkerIsSuspectUntilASuccess) {
    fail(here);
    now += seconds(5);
    EXPECT_FALSE(here.paused(now));
    EXPECT_TRUE(here.suspect(now));
    here.note_success(now);
    EXPECT_FALSE(here.suspect(now));
}

TEST_F(WorkerOutcomesTest, SuspicionExpires) {
    fail(here);
    EXPECT_TRUE(here.suspect(now + milliseconds(7999)));
    EXPECT_FALSE(here.suspect(now + seconds(8)));
}

TEST_F(WorkerOutcomesTest, AWorkerThatFailedAtAPeerIsAvoidedHereToo) {
    fail(there);
    EXPECT_TRUE(there.worth_telling(now));
    here.merge(there.own());
    EXPECT_TRUE(here.paused(now));
    EXPECT_TRUE(here.suspect(now));
    EXPECT_FALSE(here.worth_telling(now)) << "a node reports only its own outcomes";
}

TEST_F(WorkerOutcomesTest, ASeriesOfFailuresContinuesAtAnotherNode) {
    fail(there);
    here.merge(there.own());
    now += milliseconds(300);
    fail(here);
    EXPECT_TRUE(here.paused(now + milliseconds(499)));
    EXPECT_FALSE(here.paused(now + milliseconds(500)));
}

TEST_F(WorkerOutcomesTest, OneNodesSuccessClearsTheSuspicionOfAll) {
    fail(there);
    here.merge(there.own());
    now += milliseconds(300);
    here.note_success(now);
    EXPECT_FALSE(here.suspect(now));
    EXPECT_TRUE(here.worth_telling(now)) << "it clears what a peer has seen";
    there.merge(here.own());
    EXPECT_FALSE(there.suspect(now));
}

// A worker can fail for some callers only: successes at other nodes must not cause requests to be
// sent to it.
TEST_F(WorkerOutcomesTest, AnotherNodesSuccessDoesNotShortenTheLocalBackoff) {
    fail(here);
    now += milliseconds(10);
    there.note_success(now);
    here.merge(there.own());
    EXPECT_TRUE(here.paused(now));
}

TEST_F(WorkerOutcomesTest, AnOldFailureOfAPeerDoesNotOutweighANewerSuccess) {
    fail(there);
    now += milliseconds(10);
    here.note_success(now);
    here.merge(there.own());
    EXPECT_FALSE(here.paused(now));
    EXPECT_FALSE(here.suspect(now));
}

TEST_F(WorkerOutcomesTest, DuplicateAndReorderedReportsChangeNothing) {
    fail(there);
    const outcome_times first = there.own();
    now += milliseconds(300);
    fail(there);
    here.merge(there.own());
    here.merge(first);
    here.merge(there.own());
    EXPECT_TRUE(here.paused(now + milliseconds(499)));
}

} // namespace
} // namespace chalkshed
