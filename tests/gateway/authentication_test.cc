#include "src/gateway/authentication.h"

#include <gtest/gtest.h>

namespace chalkshed {
namespace {

HttpRequest request_with(const std::string& authorization) {
  HttpRequest request;
  request.headers.push_back({"authorization", authorization});
  return request;
}

Configuration configuration_with_tenants() {
  Configuration configuration;
  configuration.tenants["one"] = {.name = "one", .api_key = "key-1"};
  configuration.tenants["keyless"] = {.name = "keyless", .api_key = ""};
  return configuration;
}

TEST(AuthenticationTest, FindsTheTenantOfTheKey) {
  EXPECT_EQ(authenticate(request_with("Bearer key-1"), configuration_with_tenants()).value(),
            "one");
  EXPECT_EQ(authenticate(request_with("bearer key-1"), configuration_with_tenants()).value(),
            "one");
}

TEST(AuthenticationTest, RefusesWrongMissingAndEmptyKeys) {
  for (const char* authorization : {"Bearer key-2", "Bearer ", "Bearer", "", "Basic key-1"}) {
    const auto tenant = authenticate(request_with(authorization), configuration_with_tenants());
    ASSERT_FALSE(tenant) << authorization;
    EXPECT_EQ(tenant.error().kind, ErrorKind::kUnauthenticated);
    EXPECT_EQ(tenant.error().ran, Ran::kNo);
  }
}

TEST(AuthenticationTest, WithoutTenantsEveryCallerIsTheDefaultTenant) {
  EXPECT_EQ(authenticate(HttpRequest(), Configuration()).value(), kDefaultTenant);
}

}  // namespace
}  // namespace chalkshed
