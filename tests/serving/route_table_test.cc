#include "src/serving/route_table.h"

#include <gtest/gtest.h>

#include "src/serving/service_draw.h"

namespace chalkshed {
namespace {

Route route(const std::string& name, const std::string& host, const std::string& prefix) {
  Route result;
  result.name = name;
  result.host = host;
  result.path_prefix = prefix;
  result.services = {{"s", 1}};
  return result;
}

TEST(RouteTableTest, TheLongestPrefixOfTheHostWins) {
  const RouteTable table(
      1, {route("a", "h", "/x/"), route("b", "h", "/x/y/"), route("c", "i", "/")}, {}, {});
  EXPECT_EQ(table.find("h", "/x/y/z")->name, "b");
  EXPECT_EQ(table.find("h", "/x/yz")->name, "a");
  EXPECT_EQ(table.find("h", "/x/")->name, "a");
  EXPECT_EQ(table.find("h", "/x"), nullptr);
  EXPECT_EQ(table.find("i", "/anything")->name, "c");
  EXPECT_EQ(table.find("j", "/x/y"), nullptr);
}

TEST(ServiceDrawTest, SharesFollowTheWeightsOverFewRequests) {
  SeededRandomGenerator random(3);
  ServiceDraw draw(random);
  Route split = route("a", "h", "/");
  split.services = {{"most", 90}, {"few", 10}};
  int few = 0;
  for (int count = 0; count < 100; ++count) {
    few += draw.draw(split) == "few" ? 1 : 0;
  }
  EXPECT_NEAR(few, 10, 2);
}

}  // namespace
}  // namespace chalkshed
