#include "chalkshed/crash_evidence.h"

#include <gtest/gtest.h>

#include "chalkshed/crash_message.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr uint64_t kContent = 77;
constexpr MonotonicTime kStart{seconds(100)};

MonotonicTime at(Duration passed) {
    return kStart + passed;
}

worker_fate all_ended(const broken_run &) {
    return worker_fate::kEnded;
}
worker_fate all_alive(const broken_run &) {
    return worker_fate::kAlive;
}

/** Runs of the content break off at that many workers, a second apart. */
void break_off(crash_evidence &evidence, uint32_t workers) {
    for (uint32_t worker = 1; worker <= workers; ++worker) {
        evidence.note_broken({kContent, worker, at(seconds(worker)), false});
    }
}

TEST(CrashEvidence, HoldsAContentUnderWhichThreeWorkersBrokeOff) {
    crash_evidence evidence;
    EXPECT_EQ(evidence.permit(kContent, {}, kStart), run_permit::kFree);
    break_off(evidence, 2);
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(3))), run_permit::kAlone);
    break_off(evidence, 3);
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(3))), run_permit::kQuarantined);
}

TEST(CrashEvidence, CountsAWorkerOnce) {
    crash_evidence evidence;
    break_off(evidence, 1);
    EXPECT_FALSE(evidence.note_broken({kContent, 1, at(seconds(5)), false}));
    EXPECT_EQ(evidence.ends(kContent), 1U);
}

TEST(CrashEvidence, DropsBreaksWhoseWorkersLiveOn) {
    crash_evidence evidence;
    break_off(evidence, 3);
    evidence.review(&all_alive, at(seconds(4)));
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(4))), run_permit::kFree);
    // An end hours later has nothing to do with it.
    evidence.review(&all_alive, at(seconds(20)));
    evidence.review(&all_ended, at(seconds(21)));
    EXPECT_EQ(evidence.ends(kContent), 0U);
}

TEST(CrashEvidence, CountsWeakEvidenceOnlyOnceTheWorkerHasEnded) {
    crash_evidence evidence;
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        evidence.note_broken({kContent, worker, kStart, true});
    }
    EXPECT_EQ(evidence.ends(kContent), 0U);
    EXPECT_EQ(evidence.review(&all_ended, at(seconds(3))).size(), 3U);
    EXPECT_EQ(evidence.ends(kContent), 3U);
}

TEST(CrashEvidence, AnAnswerSentAfterTheEvidenceClearsItAndOneSentBeforeDoesNot) {
    crash_evidence evidence;
    break_off(evidence, 3);
    EXPECT_FALSE(evidence.clear(kContent, kStart));
    EXPECT_TRUE(evidence.quarantined(kContent));
    EXPECT_TRUE(evidence.clear(kContent, at(seconds(4))));
    EXPECT_FALSE(evidence.quarantined(kContent));
    // A peer repeats what has been disproved.
    EXPECT_FALSE(evidence.note_broken({kContent, 9, at(seconds(2)), false}));
}

TEST(CrashEvidence, LetsOneRunOfASuspectBeginAtATime) {
    crash_evidence evidence;
    break_off(evidence, 1);
    evidence.note_started(kContent, at(seconds(2)));
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(2))), run_permit::kWait);
    evidence.note_finished(kContent);
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(2))), run_permit::kAlone);
}

TEST(CrashEvidence, EndsAtOneMomentHoldNothing) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    for (uint32_t worker = 1; worker <= 5; ++worker) {
        evidence.note_broken({kContent, worker, at(milliseconds(worker)), false});
    }
    const MonotonicTime settled = at(milliseconds(5)) + knobs.settle;
    EXPECT_FALSE(evidence.quarantined(kContent));
    EXPECT_EQ(evidence.permit(kContent, {}, settled - milliseconds(1)), run_permit::kWait);
    EXPECT_EQ(evidence.permit(kContent, {}, settled), run_permit::kAlone);
    // The run that tells a lost rack from a fatal content.
    evidence.note_broken({kContent, 6, settled + milliseconds(60), false});
    EXPECT_TRUE(evidence.quarantined(kContent));
}

TEST(CrashEvidence, ARequestThatLostItsFirstWorkerGoesOnAtOnceAndWaitsAfterTheSecond) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    constexpr run_claim kLost{.lost_worker = true};
    evidence.note_broken({kContent, 1, kStart, false});
    EXPECT_EQ(evidence.permit(kContent, kLost, kStart), run_permit::kAlone);
    EXPECT_EQ(evidence.permit(kContent, {}, kStart), run_permit::kWait);
    EXPECT_FALSE(evidence.needs_turn(kContent, kStart));
    const MonotonicTime second = at(milliseconds(60));
    evidence.note_broken({kContent, 2, second, false});
    EXPECT_EQ(evidence.permit(kContent, kLost, second), run_permit::kWait);
    EXPECT_TRUE(evidence.needs_turn(kContent, second));
    EXPECT_EQ(evidence.permit(kContent, kLost, second + knobs.settle), run_permit::kAlone);
}

TEST(CrashEvidence, WhatPeersSuspectMakesAContentWaitAndHoldsItOnceConfirmed) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        EXPECT_TRUE(evidence.note_broken(
            {kContent, worker, at(milliseconds(50 * worker)), false, {}, true}));
    }
    const MonotonicTime now = at(milliseconds(200));
    EXPECT_EQ(evidence.ends(kContent), 0U);
    EXPECT_EQ(evidence.permit(kContent, {}, now), run_permit::kWait);
    crash_evidence unconfirmed = evidence;
    EXPECT_EQ(
        unconfirmed.permit(kContent, {}, at(milliseconds(150)) + knobs.suspicion + milliseconds(1)),
        run_permit::kFree);
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        EXPECT_TRUE(evidence.note_broken({kContent, worker, at(milliseconds(50 * worker)), false}));
        EXPECT_FALSE(
            evidence.note_broken({kContent, worker, at(milliseconds(50 * worker)), false}));
    }
    EXPECT_EQ(evidence.permit(kContent, {}, now), run_permit::kQuarantined);
}

TEST(CrashEvidence, OneNodeTriesAgainAtGrowingPauses) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    break_off(evidence, 3);
    const MonotonicTime first = evidence.next_trial(kContent);
    EXPECT_EQ(first, at(seconds(3)) + knobs.first_trial);
    EXPECT_EQ(evidence.permit(kContent, {}, first), run_permit::kQuarantined);
    EXPECT_EQ(evidence.permit(kContent, {.tries = true}, first - milliseconds(1)),
              run_permit::kQuarantined);
    EXPECT_EQ(evidence.permit(kContent, {.tries = true}, first), run_permit::kAlone);
    // The trial ends a worker too.
    evidence.note_started(kContent, first);
    evidence.note_broken({kContent, 4, first + milliseconds(60), false});
    evidence.note_finished(kContent);
    EXPECT_EQ(evidence.next_trial(kContent),
              first + milliseconds(60) + knobs.trial_growth * knobs.first_trial);
}

// An item lost four workers of four that other requests ended, one of them known late, and was
// tried again only after two minutes: each end beyond the third had counted as a failed trial.
TEST(CrashEvidence, EndsAmongThoseThatProveItAreNoFailedTrials) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    break_off(evidence, 5);
    EXPECT_EQ(evidence.next_trial(kContent), at(seconds(5)) + knobs.first_trial);
}

TEST(CrashEvidence, ATrialThatToldNothingIsNotRepeatedAtOnce) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    break_off(evidence, 3);
    const MonotonicTime first = evidence.next_trial(kContent);
    evidence.note_started(kContent, first); // its caller leaves
    evidence.note_finished(kContent);
    EXPECT_EQ(evidence.next_trial(kContent), first + knobs.first_trial);
}

TEST(CrashEvidence, ForgetsEndsAfterItsMemory) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    break_off(evidence, 3);
    evidence.review(&all_ended, at(knobs.memory));
    EXPECT_TRUE(evidence.quarantined(kContent));
    evidence.review(&all_ended, at(knobs.memory + seconds(4)));
    EXPECT_FALSE(evidence.quarantined(kContent));
    EXPECT_EQ(evidence.size(), 0U);
}

TEST(CrashEvidence, ManyContentsDoNotPushOutWhatIsHeld) {
    crash_knobs knobs;
    knobs.most_contents = 100;
    crash_evidence evidence(knobs);
    break_off(evidence, 3);
    for (uint64_t content = 1000; content < 6000; ++content) {
        evidence.note_broken({content, 1, at(seconds(10)), false});
    }
    EXPECT_TRUE(evidence.quarantined(kContent));
    EXPECT_LE(evidence.size(), knobs.most_contents);
}

TEST(CrashMessage, CarriesTimesAsAges) {
    crash_message told;
    told.broken = {{kContent, 5, at(seconds(-2)), false}};
    told.answered = {{78, at(milliseconds(-30))}};
    told.suspected = {{kContent, 6, at(milliseconds(-1)), false}};
    const std::string datagram = encode_crash_message(told, kStart);
    const MonotonicTime elsewhere{std::chrono::hours(5)};
    const std::optional<crash_message> heard = decode_crash_message(datagram, elsewhere);
    ASSERT_TRUE(heard);
    ASSERT_EQ(heard->broken.size(), 1U);
    EXPECT_EQ(heard->broken.front().digest, kContent);
    EXPECT_EQ(heard->broken.front().worker, 5U);
    EXPECT_EQ(heard->broken.front().at, elsewhere - seconds(2));
    ASSERT_EQ(heard->answered.size(), 1U);
    EXPECT_EQ(heard->answered.front().sent, elsewhere - milliseconds(30));
    ASSERT_EQ(heard->suspected.size(), 1U);
    EXPECT_TRUE(heard->suspected.front().suspected);
    EXPECT_FALSE(heard->broken.front().suspected);
}

TEST(CrashMessage, FitsIntoADatagramAndRejectsOtherBytes) {
    crash_message most;
    most.broken.resize(kMostCrashEntries);
    const std::string datagram = encode_crash_message(most, kStart);
    constexpr size_t kMostDatagramBytes = 1200;
    EXPECT_LE(datagram.size(), kMostDatagramBytes);
    for (size_t length = 0; length < datagram.size(); length += 7) {
        EXPECT_FALSE(decode_crash_message(datagram.substr(0, length), kStart));
    }
    EXPECT_FALSE(decode_crash_message("", kStart));
}

} // namespace
} // namespace chalkshed
