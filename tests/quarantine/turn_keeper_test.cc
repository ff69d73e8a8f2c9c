/** \file
 * Turns to run a content: one node at a time, for a time, and not before the evidence has settled.
 */

#include <gtest/gtest.h>

#include "chalkshed/turn_keeper.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr uint64_t kContent = 77;
constexpr MonotonicTime kStart{seconds(100)};

MonotonicTime at(Duration after) {
    return kStart + after;
}

TEST(TurnKeeper, GivesOneNodeAfterTheOtherItsTurn) {
    turn_keeper keeper;
    EXPECT_TRUE(keeper.ask(kContent, "a", kStart, kStart));
    EXPECT_FALSE(keeper.ask(kContent, "b", kStart, at(milliseconds(10))));
    keeper.note_finished(kContent, "a", kStart);
    EXPECT_TRUE(keeper.ask(kContent, "b", kStart, at(milliseconds(20))));
    EXPECT_FALSE(keeper.ask(kContent, "a", kStart, at(milliseconds(30))));
}

TEST(TurnKeeper, GivesATurnAgainWhoseAnswerWasLost) {
    turn_keeper keeper;
    EXPECT_TRUE(keeper.ask(kContent, "a", kStart, kStart));
    EXPECT_TRUE(keeper.ask(kContent, "a", kStart, at(milliseconds(10))));
}

TEST(TurnKeeper, ContentsHaveTurnsOfTheirOwn) {
    turn_keeper keeper;
    EXPECT_TRUE(keeper.ask(kContent, "a", kStart, kStart));
    EXPECT_TRUE(keeper.ask(kContent + 1, "b", kStart, kStart));
}

TEST(TurnKeeper, NobodyBeginsBeforeTheEvidenceThatAnyoneKnowsHasSettled) {
    turn_keeper keeper;
    const MonotonicTime settled = at(milliseconds(40));
    EXPECT_FALSE(keeper.ask(kContent, "a", settled, kStart));
    // This one has not heard of it.
    EXPECT_FALSE(keeper.ask(kContent, "b", kStart, at(milliseconds(39))));
    EXPECT_TRUE(keeper.ask(kContent, "b", kStart, settled));
    // Its run ends a worker.
    const MonotonicTime later = at(milliseconds(140));
    keeper.note_finished(kContent, "b", later);
    EXPECT_FALSE(keeper.ask(kContent, "a", settled, at(milliseconds(101))));
    EXPECT_TRUE(keeper.ask(kContent, "a", settled, later));
}

TEST(TurnKeeper, ATurnLapsesWithoutAWordOfItsEnd) {
    const turn_knobs knobs;
    turn_keeper keeper(knobs);
    EXPECT_TRUE(keeper.ask(kContent, "a", kStart, kStart));
    EXPECT_FALSE(keeper.ask(kContent, "b", kStart, at(knobs.longest_turn)));
    EXPECT_TRUE(keeper.ask(kContent, "b", kStart, at(knobs.longest_turn + milliseconds(1))));
    // Told late, it ends no turn of another.
    keeper.note_finished(kContent, "a", kStart);
    EXPECT_FALSE(keeper.ask(kContent, "c", kStart, at(knobs.longest_turn + milliseconds(2))));
}

TEST(TurnKeeper, RunsThatBeganBeforeAnyoneAskedAreWaitedFor) {
    turn_keeper keeper;
    keeper.note_running(kContent, "a", kStart);
    keeper.note_running(kContent, "b", kStart);
    EXPECT_FALSE(keeper.ask(kContent, "c", kStart, at(milliseconds(10))));
    keeper.note_finished(kContent, "a", kStart);
    EXPECT_FALSE(keeper.ask(kContent, "c", kStart, at(milliseconds(20))));
    keeper.note_finished(kContent, "b", kStart);
    EXPECT_TRUE(keeper.ask(kContent, "c", kStart, at(milliseconds(30))));
}

TEST(TurnKeeper, RemembersABoundedNumberOfContents) {
    turn_knobs knobs;
    knobs.most_contents = 10;
    turn_keeper keeper(knobs);
    for (uint64_t content = 0; content < 100; ++content) {
        EXPECT_EQ(keeper.ask(content, "a", kStart, kStart), content < 10);
    }
    EXPECT_EQ(keeper.size(), 10U);
    const MonotonicTime later = at(knobs.forgotten_after + milliseconds(1));
    EXPECT_TRUE(keeper.ask(1000, "a", kStart, later));
    EXPECT_EQ(keeper.size(), 1U);
}

} // namespace
} // namespace chalkshed
