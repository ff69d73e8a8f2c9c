// Messages of shared admission that lose entries, exceed a datagram, or carry invalid figures.
#include "chalkshed/admission_message.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

constexpr size_t kMaxDatagram = 1200;

admission_message large_message() {
  admission_message message;
  message.session = "a-node-with-a-long-name-in-some-zone#12345678901234567890";
  message.sequence = 7;
  for (uint32_t index = 0; index < 200; ++index) {
    message.counts.push_back({{1, 2, index}, 3, 4, 2, 1});
    message.shares.push_back({{1, 2, index}, 4.5F});
    message.contents.push_back({index, milliseconds(20)});
  }
  message.served = {{1, 100, 50}};
  message.services = {{1, true, 99.5F}};
  message.levels = {{1, 2, std::numeric_limits<float>::infinity(), 80, milliseconds(30)}};
  return message;
}

TEST(AdmissionMessageTest, AllEntriesArriveInDatagramsWithinTheLimit) {
  const admission_message whole = large_message();
  admission_message read;
  for (const admission_message& page : split_admission_message(whole)) {
    const std::string datagram = encode_admission_message(page);
    EXPECT_LE(datagram.size(), kMaxDatagram);
    const auto decoded = decode_admission_message(datagram);
    ASSERT_TRUE(decoded);
    EXPECT_EQ(decoded->session, whole.session);
    EXPECT_EQ(decoded->sequence, whole.sequence);
    for (const admission_count& each : decoded->counts) {
      read.counts.push_back(each);
    }
    for (const limited_demand& each : decoded->shares) {
      read.shares.push_back(each);
    }
    for (const refused_content& each : decoded->contents) {
      read.contents.push_back(each);
    }
    read.services.insert(read.services.end(), decoded->services.begin(), decoded->services.end());
    read.levels.insert(read.levels.end(), decoded->levels.begin(), decoded->levels.end());
    read.served.insert(read.served.end(), decoded->served.begin(), decoded->served.end());
  }
  ASSERT_EQ(read.counts.size(), 200);
  EXPECT_EQ(read.counts[199].key, (admission_key{1, 2, 199}));
  EXPECT_EQ(read.counts[199].arrived, 3);
  EXPECT_EQ(read.counts[199].recent, 4);
  ASSERT_EQ(read.shares.size(), 200);
  ASSERT_EQ(read.contents.size(), 200);
  EXPECT_EQ(read.contents[7].age, milliseconds(20));
  ASSERT_EQ(read.services.size(), 1);
  EXPECT_TRUE(read.services[0].overloaded);
  ASSERT_EQ(read.levels.size(), 1);
  EXPECT_TRUE(std::isinf(read.levels[0].level));
  EXPECT_EQ(read.levels[0].wait, milliseconds(30));
  ASSERT_EQ(read.served.size(), 1);
}

TEST(AdmissionMessageTest, AnEmptyMessageIsOnePage) {
  EXPECT_EQ(split_admission_message({}).size(), 1);
}

TEST(AdmissionMessageTest, InvalidDatagramsAreRejected) {
  admission_message message = large_message();
  message.counts.clear();
  message.shares.clear();
  message.contents.clear();
  const std::string valid = encode_admission_message(message);
  constexpr size_t kPadding = 8;  // the last bytes may only align the size
  for (size_t length = 0; length + kPadding < valid.size(); ++length) {
    EXPECT_FALSE(decode_admission_message(valid.substr(0, length))) << length;
  }
  message.levels[0].level = std::nanf("");
  EXPECT_FALSE(decode_admission_message(encode_admission_message(message)));
  message.levels[0].level = -1;
  EXPECT_FALSE(decode_admission_message(encode_admission_message(message)));
}

}  // namespace
}  // namespace chalkshed
