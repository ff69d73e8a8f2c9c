#include "chalkshed/origin_table.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::seconds;

constexpr software_id kOne{1};
constexpr software_id kTwo{2};
constexpr MonotonicTime kStart{seconds(1000)};

ServingRequest request_of(const std::string& tenant, const std::string& path) {
  ServingRequest request;
  request.tenant = tenant;
  request.host = "a.example";
  request.message.method = "POST";
  request.message.path = path;
  return request;
}

TEST(OriginTable, KeepsTheFirstOriginOfAStream) {
  origin_table table({});
  table.add(stream_key{7}, kOne, kStart);
  table.add(stream_key{7}, kTwo, kStart);
  EXPECT_EQ(table.find(stream_key{7}), kOne);
  EXPECT_EQ(table.find(stream_key{8}), software_id::kUnknown);
}

TEST(OriginTable, DropsTheOldestRecordsFirst) {
  origin_table table({seconds(60), 2});
  for (uint64_t key = 1; key <= 3; ++key) {
    table.add(stream_key{key}, kOne, kStart);
  }
  EXPECT_EQ(table.size(), 2U);
  EXPECT_EQ(table.find(stream_key{1}), software_id::kUnknown);
  table.add(stream_key{4}, kOne, kStart + seconds(61));
  EXPECT_EQ(table.size(), 1U);
}

TEST(OriginTable, AnAttemptOfAnotherTenantOrPathNamesNoStream) {
  const stream_key key = key_of_stream(request_of("one", "/a/x"), "r1");
  EXPECT_EQ(key, key_of_stream(request_of("one", "/a/x"), "r1"));
  EXPECT_NE(key, key_of_stream(request_of("two", "/a/x"), "r1"));
  EXPECT_NE(key, key_of_stream(request_of("one", "/b/x"), "r1"));
  EXPECT_NE(key, key_of_stream(request_of("one", "/a/x"), "r2"));
}

}  // namespace
}  // namespace chalkshed
