#include "chalkshed/route_history.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

using std::chrono::seconds;

constexpr MonotonicTime kStart{seconds(1000)};
constexpr Duration kMemory = route_history::kMemory;

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
    return history.span("a.example", path, service, kStart + at);
  }
  route_history history;
};

TEST_F(RouteHistory, ARouteIsSoleOnlyOnceTheTimeIsCovered) {
  history.note(table({route_to("/x/", {"one"})}), true, kStart);
  EXPECT_EQ(span("/x/y", "one", kMemory - seconds(1)), route_span::kUncovered);
  EXPECT_EQ(span("/x/y", "one", kMemory), route_span::kSole);
}

TEST_F(RouteHistory, ARouteThatMovedHasChangedForAsLongAsItIsRemembered) {
  const Duration moved = 2 * kMemory;
  history.note(table({route_to("/x/", {"one"}), route_to("/z/", {"one"})}), true, kStart);
  history.note(table({route_to("/x/", {"two"}), route_to("/z/", {"one"})}), false, kStart + moved);
  EXPECT_EQ(span("/x/y", "one", moved + seconds(1)), route_span::kChanged);
  EXPECT_EQ(span("/x/y", "two", moved + seconds(1)), route_span::kChanged);
  EXPECT_EQ(span("/x/y", "two", moved + kMemory), route_span::kChanged);
  EXPECT_EQ(span("/x/y", "two", moved + kMemory + seconds(1)), route_span::kSole);
  EXPECT_EQ(span("/z/y", "one", moved + seconds(1)), route_span::kSole);
}

TEST_F(RouteHistory, ARouteThatWasAddedOrRemovedChangesThatOfItsRequests) {
  const Duration added = 2 * kMemory;
  const Duration removed = 4 * kMemory;
  history.note(table({route_to("/", {"one"})}), true, kStart);
  history.note(table({route_to("/", {"one"}), route_to("/x/", {"two"})}), false, kStart + added);
  EXPECT_EQ(span("/x/y", "two", added + seconds(20)), route_span::kChanged);
  EXPECT_EQ(span("/z", "one", added + seconds(20)), route_span::kSole);
  history.note(table({route_to("/", {"one"})}), false, kStart + removed);
  EXPECT_EQ(span("/x/y", "one", removed + seconds(20)), route_span::kChanged);
}

TEST_F(RouteHistory, ASplitOrUnknownRouteIsNoSoleOne) {
  history.note(table({route_to("/x/", {"one", "two"})}), true, kStart);
  EXPECT_EQ(span("/x/y", "one", kMemory), route_span::kChanged);
  EXPECT_EQ(span("/other", "one", kMemory), route_span::kChanged);
}

TEST_F(RouteHistory, ATimeOfWhichConfigurationsMayBeUnknownIsNotCovered) {
  const RouteTablePtr same = table({route_to("/x/", {"one"})});
  history.note(same, true, kStart);
  history.note(same, false, kStart + seconds(30));
  EXPECT_EQ(span("/x/y", "one", kMemory), route_span::kSole);
  history.note(same, true, kStart + kMemory);
  EXPECT_EQ(span("/x/y", "one", kMemory + seconds(1)), route_span::kUncovered);
}

TEST_F(RouteHistory, WithoutAConfigurationNothingIsKnown) {
  EXPECT_EQ(span("/x/y", "one", seconds(60)), route_span::kChanged);
}

}  // namespace
}  // namespace chalkshed
