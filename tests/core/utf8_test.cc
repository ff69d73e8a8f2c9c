#include "src/core/utf8.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

TEST(Utf8Test, KeepsWellFormedText) {
  for (const char* text : {"", "plain", "\xc3\xa6\xc3\xb8", "\xe2\x82\xac", "\xf0\x9f\x9a\x86"}) {
    EXPECT_EQ(with_valid_utf8(text), text);
  }
  EXPECT_EQ(with_valid_utf8(std::string_view("a\0b", 3)).size(), 3U);
}

TEST(Utf8Test, ReplacesEachByteOutsideValidSequences) {
  const std::string mark = "\xef\xbf\xbd";
  EXPECT_EQ(with_valid_utf8("a\xff z"), "a" + mark + " z");
  EXPECT_EQ(with_valid_utf8("\xc3("), mark + "(");
  EXPECT_EQ(with_valid_utf8("\xc0\x80"), mark + mark);             // an overlong encoding
  EXPECT_EQ(with_valid_utf8("\xed\xa0\x80"), mark + mark + mark);  // an unpaired surrogate
  EXPECT_EQ(with_valid_utf8("\xe2\x82"), mark + mark);             // truncated
  EXPECT_EQ(with_valid_utf8("\xf4\x90\x80\x80").size(), 4 * mark.size());
}

}  // namespace
}  // namespace chalkshed
