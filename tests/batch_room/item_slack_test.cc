#include "chalkshed/item_slack.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

TEST(ItemSlackTest, TheLeastSlackStartsFirstAndYieldsLast) {
    const item_slack tight(milliseconds(100));
    const item_slack loose(milliseconds(9000));
    EXPECT_TRUE(tight.starts_before(loose));
    EXPECT_FALSE(loose.starts_before(tight));
    EXPECT_TRUE(loose.yields_before(tight));
    EXPECT_FALSE(tight.yields_before(loose));
}

TEST(ItemSlackTest, WhatIsLateAnywayStartsLastAndYieldsFirst) {
    const item_slack late(milliseconds(-500));
    const item_slack loose(milliseconds(9000));
    EXPECT_TRUE(loose.starts_before(late));
    EXPECT_TRUE(late.yields_before(loose));
}

TEST(ItemSlackTest, ALittleLateIsStillInTime) {
    EXPECT_FALSE(item_slack(milliseconds(-300), milliseconds(400)).late());
    EXPECT_TRUE(item_slack(milliseconds(-500), milliseconds(400)).late());
}

TEST(ItemSlackTest, NothingComesBeforeItself) {
    for (const int left : {-500, 0, 500}) {
        const item_slack slack{milliseconds(left)};
        EXPECT_FALSE(slack.starts_before(slack));
        EXPECT_FALSE(slack.yields_before(slack));
    }
}

} // namespace
} // namespace chalkshed
