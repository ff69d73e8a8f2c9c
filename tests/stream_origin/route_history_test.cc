#include "chalkshed/route_history.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};
constexpr Duration kLongest = seconds(10);

Route route_to(const std::string& prefix, const std::vector<std::string>& services) {
  Route route;
  route.host = "a.example";
  route.path_prefix = prefix;
  for (const std::string& service : services) {
    route.services.push_back({service, 1});
  }
  return route;
}

RouteTablePtr table(std::vector<Route> routes) {
  return std::make_shared<const RouteTable>(1, std::move(routes), std::vector<ServiceSpec>{},
                                            CallerLimits{});
}

class RouteHistory : public testing::Test {
 protected:
  route_span span(const std::string& path, const std::string& service, Duration at) {
    return history.span("a.example", path, service, kLongest, kStart + at);
  }
  route_history history;
};

TEST_F(RouteHistory, ARouteIsSoleOnlyOnceTheTimeIsCovered) {
  history.note(table({route_to("/x/", {"one"})}), true, kStart);
  EXPECT_EQ(span("/x/y", "one", seconds(9)), route_span::kUncovered);
  EXPECT_EQ(span("/x/y", "one", seconds(10)), route_span::kSole);
}

TEST_F(RouteHistory, ARouteThatMovedHasChangedForAsLongAsItIsRemembered) {
  history.note(table({route_to("/x/", {"one"}), route_to("/z/", {"one"})}), true, kStart);
  history.note(table({route_to("/x/", {"two"}), route_to("/z/", {"one"})}), false,
               kStart + seconds(60));
  EXPECT_EQ(span("/x/y", "one", seconds(61)), route_span::kChanged);
  EXPECT_EQ(span("/x/y", "two", seconds(61)), route_span::kChanged);
  EXPECT_EQ(span("/x/y", "two", seconds(60) + route_history::kMemory), route_span::kChanged);
  EXPECT_EQ(span("/x/y", "two", seconds(61) + route_history::kMemory), route_span::kSole);
  EXPECT_EQ(span("/z/y", "one", seconds(61)), route_span::kSole);
}

TEST_F(RouteHistory, ARouteThatWasAddedOrRemovedChangesThatOfItsRequests) {
  history.note(table({route_to("/", {"one"})}), true, kStart);
  history.note(table({route_to("/", {"one"}), route_to("/x/", {"two"})}), false,
               kStart + seconds(20));
  EXPECT_EQ(span("/x/y", "two", seconds(40)), route_span::kChanged);
  EXPECT_EQ(span("/z", "one", seconds(40)), route_span::kSole);
  history.note(table({route_to("/", {"one"})}), false, kStart + seconds(50));
  EXPECT_EQ(span("/x/y", "one", seconds(70)), route_span::kChanged);
}

TEST_F(RouteHistory, ASplitOrUnknownRouteIsNoSoleOne) {
  history.note(table({route_to("/x/", {"one", "two"})}), true, kStart);
  EXPECT_EQ(span("/x/y", "one", seconds(60)), route_span::kChanged);
  EXPECT_EQ(span("/other", "one", seconds(60)), route_span::kChanged);
}

TEST_F(RouteHistory, ATimeOfWhichConfigurationsMayBeUnknownIsNotCovered) {
  const RouteTablePtr same = table({route_to("/x/", {"one"})});
  history.note(same, true, kStart);
  history.note(same, false, kStart + seconds(30));
  EXPECT_EQ(span("/x/y", "one", seconds(31)), route_span::kSole);
  history.note(same, true, kStart + seconds(40));
  EXPECT_EQ(span("/x/y", "one", seconds(41)), route_span::kUncovered);
}

TEST_F(RouteHistory, WithoutAConfigurationNothingIsKnown) {
  EXPECT_EQ(span("/x/y", "one", seconds(60)), route_span::kChanged);
}

}  // namespace
}  // namespace chalkshed
