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

worker_fate all_crashed(const broken_run &) {
    return worker_fate::kEnded;
}
worker_fate all_alive(const broken_run &) {
    return worker_fate::kAlive;
}

/** Runs of the content are lost at that many workers, one second apart. */
void lose_runs(crash_evidence &evidence, uint32_t workers) {
    for (uint32_t worker = 1; worker <= workers; ++worker) {
        evidence.note_broken({kContent, worker, at(seconds(worker)), false});
    }
}

TEST(CrashEvidence, QuarantinesAContentThatLostThreeWorkers) {
    crash_evidence evidence;
    EXPECT_EQ(evidence.permit(kContent, {}, kStart), run_permit::kFree);
    lose_runs(evidence, 2);
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(3))), run_permit::kExclusive);
    lose_runs(evidence, 3);
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(3))), run_permit::kQuarantined);
}

void lose_part(crash_evidence &evidence, uint32_t worker, Duration passed) {
    broken_run run{99, worker, at(passed)};
    run.suspect = crash_suspect::kPart;
    evidence.note_broken(run);
}

TEST(CrashEvidence, HoldsNoContentThatWasLostOnlyBesideAPartThatCrashesWorkers) {
    crash_evidence evidence;
    lose_runs(evidence, 3);
    for (uint32_t worker = 1; worker <= 6; ++worker) {
        lose_part(evidence, worker, seconds(worker));
    }
    EXPECT_FALSE(evidence.quarantined(kContent));
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(7))), run_permit::kExclusive);
    evidence.note_broken({kContent, 7, at(seconds(7)), false});
    EXPECT_TRUE(evidence.quarantined(kContent)) << "its last loss has no other cause";
}

TEST(CrashEvidence, HoldsAContentWhosePartsWereLostNowhereElse) {
    crash_evidence evidence;
    lose_runs(evidence, 3);
    for (uint32_t worker = 1; worker <= 4; ++worker) {
        lose_part(evidence, worker, seconds(worker));
    }
    EXPECT_TRUE(evidence.quarantined(kContent));
}

TEST(CrashEvidence, CountsAWorkerOnce) {
    crash_evidence evidence;
    lose_runs(evidence, 1);
    EXPECT_FALSE(evidence.note_broken({kContent, 1, at(seconds(5)), false}));
    EXPECT_EQ(evidence.crash_count(kContent), 1U);
}

TEST(CrashEvidence, DropsLostRunsWhoseWorkersSurvived) {
    crash_evidence evidence;
    lose_runs(evidence, 3);
    evidence.review(&all_alive, at(seconds(4)));
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(4))), run_permit::kFree);
    // A later crash is unrelated.
    evidence.review(&all_alive, at(seconds(20)));
    evidence.review(&all_crashed, at(seconds(21)));
    EXPECT_EQ(evidence.crash_count(kContent), 0U);
}

TEST(CrashEvidence, CountsWeakEvidenceOnlyOnceTheWorkerHasCrashed) {
    crash_evidence evidence;
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        evidence.note_broken({kContent, worker, kStart, true});
    }
    EXPECT_EQ(evidence.crash_count(kContent), 0U);
    EXPECT_EQ(evidence.review(&all_crashed, at(seconds(3))).size(), 3U);
    EXPECT_EQ(evidence.crash_count(kContent), 3U);
}

TEST(CrashEvidence, AnAnswerSentAfterTheEvidenceClearsItAndOneSentBeforeDoesNot) {
    crash_evidence evidence;
    lose_runs(evidence, 3);
    EXPECT_FALSE(evidence.clear(kContent, kStart));
    EXPECT_TRUE(evidence.quarantined(kContent));
    EXPECT_TRUE(evidence.clear(kContent, at(seconds(4))));
    EXPECT_FALSE(evidence.quarantined(kContent));
    // A peer repeats evidence that has been cleared.
    EXPECT_FALSE(evidence.note_broken({kContent, 9, at(seconds(2)), false}));
}

TEST(CrashEvidence, AllowsOneRunOfASuspectContentAtATime) {
    crash_evidence evidence;
    lose_runs(evidence, 1);
    evidence.note_started(kContent, at(seconds(2)));
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(2))), run_permit::kWait);
    evidence.note_finished(kContent);
    EXPECT_EQ(evidence.permit(kContent, {}, at(seconds(2))), run_permit::kExclusive);
}

TEST(CrashEvidence, SimultaneousCrashesDoNotQuarantine) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    for (uint32_t worker = 1; worker <= 5; ++worker) {
        evidence.note_broken({kContent, worker, at(milliseconds(worker)), false});
    }
    const MonotonicTime settled = at(milliseconds(5)) + knobs.settle_time;
    EXPECT_FALSE(evidence.quarantined(kContent));
    EXPECT_EQ(evidence.permit(kContent, {}, settled - milliseconds(1)), run_permit::kWait);
    EXPECT_EQ(evidence.permit(kContent, {}, settled), run_permit::kExclusive);
    // The next run distinguishes a lost rack from a fatal content.
    evidence.note_broken({kContent, 6, settled + milliseconds(60), false});
    EXPECT_TRUE(evidence.quarantined(kContent));
}

TEST(CrashEvidence, RetriesAtOnceAfterTheFirstLostWorkerAndWaitsAfterTheSecond) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    constexpr run_claim kLost{.lost_worker = true};
    evidence.note_broken({kContent, 1, kStart, false});
    EXPECT_EQ(evidence.permit(kContent, kLost, kStart), run_permit::kExclusive);
    EXPECT_EQ(evidence.permit(kContent, {}, kStart), run_permit::kWait);
    EXPECT_FALSE(evidence.needs_turn(kContent, kStart));
    const MonotonicTime second = at(milliseconds(60));
    evidence.note_broken({kContent, 2, second, false});
    EXPECT_EQ(evidence.permit(kContent, kLost, second), run_permit::kWait);
    EXPECT_TRUE(evidence.needs_turn(kContent, second));
    EXPECT_EQ(evidence.permit(kContent, kLost, second + knobs.settle_time), run_permit::kExclusive);
}

TEST(CrashEvidence, SuspicionsOfPeersDelayAContentAndQuarantineItOnceConfirmed) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        EXPECT_TRUE(evidence.note_broken(
            {kContent, worker, at(milliseconds(50 * worker)), false, {}, true}));
    }
    const MonotonicTime now = at(milliseconds(200));
    EXPECT_EQ(evidence.crash_count(kContent), 0U);
    EXPECT_EQ(evidence.permit(kContent, {}, now), run_permit::kWait);
    crash_evidence unconfirmed = evidence;
    EXPECT_EQ(unconfirmed.permit(kContent, {},
                                 at(milliseconds(150)) + knobs.suspicion_timeout + milliseconds(1)),
              run_permit::kFree);
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        EXPECT_TRUE(evidence.note_broken({kContent, worker, at(milliseconds(50 * worker)), false}));
        EXPECT_FALSE(
            evidence.note_broken({kContent, worker, at(milliseconds(50 * worker)), false}));
    }
    EXPECT_EQ(evidence.permit(kContent, {}, now), run_permit::kQuarantined);
}

TEST(CrashEvidence, OneNodeProbesWithExponentialBackoff) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    lose_runs(evidence, 3);
    const MonotonicTime first = evidence.next_probe(kContent);
    EXPECT_EQ(first, at(seconds(3)) + knobs.first_probe_delay);
    EXPECT_EQ(evidence.permit(kContent, {}, first), run_permit::kQuarantined);
    EXPECT_EQ(evidence.permit(kContent, {.may_probe = true}, first - milliseconds(1)),
              run_permit::kQuarantined);
    EXPECT_EQ(evidence.permit(kContent, {.may_probe = true}, first), run_permit::kExclusive);
    // The probe crashes a worker too.
    evidence.note_started(kContent, first);
    evidence.note_broken({kContent, 4, first + milliseconds(60), false});
    evidence.note_finished(kContent);
    EXPECT_EQ(evidence.next_probe(kContent),
              first + milliseconds(60) + knobs.probe_backoff_factor * knobs.first_probe_delay);
}

// Guards against an innocent item that waits two minutes because its one probe met a fourth crash:
// in a storm of crashes a lost probe proves nothing.
TEST(CrashEvidence, AProbeThatIsLostAmongManyCrashesIsNoFailedProbe) {
    constexpr size_t kWorkers = 20;
    for (const uint32_t others : {2U, 5U}) {
        const crash_knobs knobs;
        crash_evidence evidence(knobs);
        evidence.note_workers(kWorkers);
        lose_runs(evidence, 3);
        const MonotonicTime probed = evidence.next_probe(kContent);
        evidence.note_started(kContent, probed);
        const MonotonicTime lost = probed + milliseconds(60);
        evidence.note_broken({kContent, 4, lost, false});
        for (uint32_t worker = 100; worker < 100 + others; ++worker) {
            evidence.note_broken({worker, worker, lost + milliseconds(10 * (worker - 100)), false});
        }
        const bool storm = others * 4 >= kWorkers;
        EXPECT_EQ(evidence.next_probe(kContent),
                  lost + (storm ? 1 : knobs.probe_backoff_factor) * knobs.first_probe_delay);
    }
}

// Idle workers lose no run; that they crashed shows from their entries, some seconds later.
TEST(CrashEvidence, AProbeThatIsLostWhileIdleWorkersCrashIsNoFailedProbe) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    evidence.note_workers(20);
    lose_runs(evidence, 3);
    const MonotonicTime probed = evidence.next_probe(kContent);
    evidence.note_started(kContent, probed);
    evidence.note_broken({kContent, 4, probed, false});
    EXPECT_EQ(evidence.next_probe(kContent),
              probed + knobs.probe_backoff_factor * knobs.first_probe_delay);
    for (uint32_t worker = 100; worker < 106; ++worker) {
        evidence.note_removed(worker, probed + knobs.entry_removal_delay);
    }
    evidence.note_removed(4, probed + knobs.entry_removal_delay);
    EXPECT_EQ(evidence.next_probe(kContent), probed + knobs.first_probe_delay);
}

// The other side: contents that crash workers are probed at the same time, and none excuses
// another.
TEST(CrashEvidence, ProbesOfSeveralFatalContentsDoNotExcuseEachOther) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    evidence.note_workers(20);
    constexpr uint64_t kContents = 10;
    uint32_t worker = 0;
    for (uint64_t content = 1; content <= kContents; ++content) {
        for (int crash = 0; crash < 3; ++crash) {
            evidence.note_broken({content, ++worker, at(seconds(crash)), false});
        }
    }
    const MonotonicTime probed = evidence.next_probe(1);
    for (uint64_t content = 1; content <= kContents; ++content) {
        evidence.note_broken({content, ++worker, probed, false});
    }
    EXPECT_EQ(evidence.next_probe(1),
              probed + knobs.probe_backoff_factor * knobs.first_probe_delay);
}

// Regression test: an item lost four workers, one of them confirmed late, to crashes that other
// requests caused, and was probed again only after two minutes, because each crash beyond the third
// counted as a failed probe.
TEST(CrashEvidence, CrashesBeforeTheQuarantineAreNotFailedProbes) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    lose_runs(evidence, 5);
    EXPECT_EQ(evidence.next_probe(kContent), at(seconds(5)) + knobs.first_probe_delay);
}

TEST(CrashEvidence, AnInconclusiveProbeIsNotRepeatedAtOnce) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    lose_runs(evidence, 3);
    const MonotonicTime first = evidence.next_probe(kContent);
    evidence.note_started(kContent, first); // its caller disconnects
    evidence.note_finished(kContent);
    EXPECT_EQ(evidence.next_probe(kContent), first + knobs.first_probe_delay);
}

TEST(CrashEvidence, ForgetsCrashesAfterTheEvidenceLifetime) {
    const crash_knobs knobs;
    crash_evidence evidence(knobs);
    lose_runs(evidence, 3);
    evidence.review(&all_crashed, at(knobs.evidence_lifetime));
    EXPECT_TRUE(evidence.quarantined(kContent));
    evidence.review(&all_crashed, at(knobs.evidence_lifetime + seconds(4)));
    EXPECT_FALSE(evidence.quarantined(kContent));
    EXPECT_EQ(evidence.size(), 0U);
}

TEST(CrashEvidence, ManyContentsDoNotEvictQuarantinedOnes) {
    crash_knobs knobs;
    knobs.max_contents = 100;
    crash_evidence evidence(knobs);
    lose_runs(evidence, 3);
    for (uint64_t content = 1000; content < 6000; ++content) {
        evidence.note_broken({content, 1, at(seconds(10)), false});
    }
    EXPECT_TRUE(evidence.quarantined(kContent));
    EXPECT_LE(evidence.size(), knobs.max_contents);
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
    most.broken.resize(kMaxCrashEntries);
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
