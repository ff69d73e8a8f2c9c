#include "chalkshed/software_id.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

TEST(SoftwareId, IsThatOfServiceAndVersion) {
  EXPECT_EQ(software_of("engines", "1", "a"), software_of("engines", "1", "b"));
  EXPECT_NE(software_of("engines", "1", "a"), software_of("engines", "2", "a"));
  EXPECT_NE(software_of("engines", "1", "a"), software_of("others", "1", "a"));
}

TEST(SoftwareId, WithoutAVersionIsThatOfTheIncarnation) {
  EXPECT_EQ(software_of("engines", "", "a"), software_of("engines", "", "a"));
  EXPECT_NE(software_of("engines", "", "a"), software_of("engines", "", "b"));
  EXPECT_NE(software_of("engines", "", "1"), software_of("engines", "1", "a"));
}

TEST(SoftwareId, IsReadAsItWasWritten) {
  const software_id software = software_of("engines", "1", "a");
  EXPECT_EQ(parse_software(software_text(software)), software);
  for (const char* text : {"", "12", "not a number at", "0123456789abcdefg"}) {
    EXPECT_EQ(parse_software(text), software_id::kUnknown);
  }
}

}  // namespace
}  // namespace chalkshed
