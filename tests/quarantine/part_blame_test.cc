#include <gtest/gtest.h>

#include <rapidcheck/gtest.h>

#include "chalkshed/part_blame.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

constexpr software_id kOld{1};
constexpr software_id kNew{2};

ServingRequest request_with(uint64_t content, std::vector<uint64_t> parts) {
    ServingRequest request;
    request.digest = content;
    request.shared_parts = std::move(parts);
    return request;
}

class PartBlame : public ::testing::Test {
protected:
    /** A worker crashes and loses these requests. */
    void crash(uint32_t worker, const std::vector<ServingRequest> &lost,
               software_id software = kOld) {
        for (const ServingRequest &request : lost) {
            note({request.digest, worker, now});
            for (const uint64_t part : request.shared_parts) {
                broken_run run{part, worker, now};
                run.suspect = crash_suspect::kPart;
                run.software = software;
                note(run);
            }
        }
        now += milliseconds(100);
    }
    void note(const broken_run &run) {
        evidence.note_broken(run);
    }
    part_verdict verdict(const std::vector<uint64_t> &parts, software_id software = kOld) const {
        return blame.blame(request_with(999, parts), software, now).verdict;
    }

    MonotonicTime now{std::chrono::seconds(100)};
    crash_evidence evidence;
    sound_parts sound;
    part_blame blame{evidence, sound};
};

TEST_F(PartBlame, HoldsRequestsWithAllThatMayExplainTheCrashes) {
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        crash(worker, {request_with(worker, {10, 20})});
    }
    EXPECT_EQ(verdict({10, 20}), part_verdict::kHeld);
    EXPECT_EQ(verdict({10}), part_verdict::kFree);
    EXPECT_EQ(verdict({20}), part_verdict::kFree);
    EXPECT_EQ(verdict({10, 30}), part_verdict::kFree);
}

TEST_F(PartBlame, TwoCrashesAreASuspicion) {
    crash(1, {request_with(1, {20})});
    EXPECT_EQ(verdict({20}), part_verdict::kFree);
    crash(2, {request_with(2, {20})});
    EXPECT_EQ(verdict({20}), part_verdict::kSuspect);
}

TEST_F(PartBlame, HoldsTheFirstPartAloneIfItCrashesWithDifferentSecondParts) {
    for (uint32_t worker = 1; worker <= 4; ++worker) {
        crash(worker, {request_with(worker, {10, 20U + worker})});
    }
    EXPECT_EQ(verdict({10, 99}), part_verdict::kHeld);
    EXPECT_EQ(verdict({21}), part_verdict::kFree);
}

TEST_F(PartBlame, APartThatIsLostBesideTheFatalOneIsNotHeld) {
    for (uint32_t worker = 1; worker <= 4; ++worker) {
        crash(worker, {request_with(worker, {10, 20}), request_with(100 + worker, {10, 30})});
    }
    EXPECT_EQ(verdict({10, 20}), part_verdict::kFree) << "the other part explains the crashes too";
    evidence.clear_part(30, kOld, now);
    EXPECT_EQ(verdict({10, 20}), part_verdict::kHeld);
    EXPECT_EQ(verdict({10, 30}), part_verdict::kFree);
}

// A popular part is lost with nearly every worker.
TEST_F(PartBlame, APartThatWasSoundAMomentAgoDoesNotExplainCrashesUnderANewOne) {
    sound.note(10, kOld, now);
    sound.note(30, kOld, now);
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        crash(worker, {request_with(worker, {10, 20}), request_with(100 + worker, {10, 30})});
    }
    EXPECT_EQ(verdict({10, 20}), part_verdict::kHeld);
    EXPECT_EQ(verdict({10, 30}), part_verdict::kFree);
    EXPECT_EQ(verdict({10}), part_verdict::kFree);
}

// A part that was sound may crash workers of another version, or from a change of its text on.
TEST_F(PartBlame, APartThatWasSoundIsHeldOnceItAloneExplainsTheCrashes) {
    sound.note(10, kOld, now);
    for (uint32_t worker = 1; worker <= 4; ++worker) {
        crash(worker, {request_with(worker, {10, 20U + worker})});
    }
    EXPECT_EQ(verdict({10, 99}), part_verdict::kSuspect) << "it may still be cleared";
    now += std::chrono::seconds(1);
    EXPECT_EQ(verdict({10, 99}), part_verdict::kHeld);
}

TEST(SoundParts, AreRememberedForAWhileAndInALimitedNumber) {
    sound_parts sound({.memory = std::chrono::seconds(10), .max_parts = 3});
    const MonotonicTime begin{std::chrono::seconds(100)};
    sound.note(1, kOld, begin);
    EXPECT_TRUE(sound.known(1, kOld, begin));
    EXPECT_FALSE(sound.known(1, kNew, begin));
    EXPECT_FALSE(sound.known(1, kOld, begin + std::chrono::seconds(21)));
    for (uint64_t part = 2; part <= 7; ++part) {
        sound.note(part, kOld, begin);
    }
    EXPECT_FALSE(sound.known(1, kOld, begin));
    EXPECT_TRUE(sound.known(7, kOld, begin));
}

TEST_F(PartBlame, AContentThatCrashesByItselfHoldsNoPart) {
    for (uint32_t worker = 1; worker <= 4; ++worker) {
        crash(worker, {request_with(7, {10, 20})});
    }
    EXPECT_EQ(verdict({10, 20}), part_verdict::kFree);
}

TEST_F(PartBlame, CrashesAtOneMomentAreOneLoss) {
    for (uint32_t worker = 1; worker <= 8; ++worker) {
        crash(worker, {request_with(worker, {20})});
        now -= milliseconds(99);
    }
    now += milliseconds(200);
    EXPECT_EQ(verdict({20}), part_verdict::kSuspect);
}

TEST_F(PartBlame, AVersionAtWhichThePartIsSoundRunsIt) {
    crash(9, {request_with(9, {20})}, kNew);
    evidence.clear_part(20, kOld, now);
    for (uint32_t worker = 1; worker <= 3; ++worker) {
        crash(worker, {request_with(worker, {20})}, kNew);
    }
    EXPECT_EQ(verdict({20}, kNew), part_verdict::kHeld);
    EXPECT_EQ(verdict({20}, kOld), part_verdict::kFree);
    EXPECT_EQ(verdict({20}, software_id{3}), part_verdict::kHeld);
}

// A sound part is cleared by any answer that goes on, so what is held is never a request whose
// parts have all been written on since their last loss.
RC_GTEST_PROP(PartBlameProperty, ARequestWhosePartsAreClearedIsFree, ()) {
    crash_evidence evidence;
    const sound_parts sound;
    const part_blame blame(evidence, sound);
    MonotonicTime now{std::chrono::seconds(100)};
    const auto losses = *rc::gen::container<std::vector<std::pair<uint32_t, uint64_t>>>(
        rc::gen::pair(rc::gen::inRange<uint32_t>(1, 12), rc::gen::inRange<uint64_t>(10, 16)));
    for (const auto &[worker, part] : losses) {
        broken_run run{part, worker, now};
        run.suspect = crash_suspect::kPart;
        run.software = kOld;
        evidence.note_broken(run);
        now += milliseconds(*rc::gen::inRange(1, 100));
    }
    const auto cleared =
        *rc::gen::unique<std::vector<uint64_t>>(rc::gen::inRange<uint64_t>(10, 16));
    for (const uint64_t part : cleared) {
        evidence.clear_part(part, kOld, now);
    }
    now += milliseconds(100);
    RC_ASSERT(blame.blame(request_with(1, cleared), kOld, now).verdict == part_verdict::kFree);
}

} // namespace
} // namespace chalkshed
