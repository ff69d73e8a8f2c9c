#include "chalkshed/tenant_table.h"

#include <gtest/gtest.h>

#include "chalkshed/api_key.h"
#include "chalkshed/caller_identity.h"
#include "platform/record_codec.h"

namespace chalkshed {
namespace {

RouteTable table_with(const std::string& tenants) {
  const std::string routes = R"([
        {"name": "r", "host": "a", "path_prefix": "/r/", "kind": "idempotent", "service": "s"},
        {"name": "o", "host": "a", "path_prefix": "/o/", "kind": "idempotent", "service": "s",
         "public": true}])";
  const Expected<RouteTable> table = platform::decode_routes(
      R"({"version": 1, "services": [], "routes": )" + routes + tenants + "}");
  EXPECT_TRUE(table) << (table ? "" : table.error().message);
  return table.value_or(RouteTable());
}

const RouteTable& two_tenants() {
  static const RouteTable kTable = table_with(R"(, "tenants": [
        {"name": "ann", "api_keys": ["k1", "k2"], "priority": 3, "rate_per_s": 5, "burst": 2},
        {"name": "ben", "api_keys": ["k3"]}])");
  return kTable;
}

std::string tenant_of(const RouteTable& table, const std::string& path,
                      const std::string& authorization) {
  const Expected<caller_identity> caller =
      identify_caller(table, table.find("a", path), authorization);
  return caller ? caller->tenant : "error: " + std::string(error_kind_name(caller.error().kind));
}

TEST(TenantTableTest, AnyKeyOfATenantIdentifiesIt) {
  EXPECT_EQ(tenant_of(two_tenants(), "/r/", "Bearer k1"), "ann");
  EXPECT_EQ(tenant_of(two_tenants(), "/r/", "bearer k2"), "ann");
  EXPECT_EQ(tenant_of(two_tenants(), "/r/", "Bearer k3"), "ben");
}

TEST(TenantTableTest, LimitsAndPrioritiesAreRead) {
  const tenant* ann = two_tenants().tenants().find("ann");
  ASSERT_NE(ann, nullptr);
  EXPECT_EQ(ann->priority, 3U);
  EXPECT_EQ(ann->rate_per_second, 5);
  EXPECT_EQ(ann->burst, 2);
  EXPECT_TRUE(ann->limited());
  EXPECT_FALSE(two_tenants().tenants().find("ben")->limited());
  EXPECT_EQ(two_tenants().tenants().find("ben")->priority, std::nullopt);
  EXPECT_TRUE(ann->keys.empty()) << "no second copy of the keys is kept";
}

TEST(TenantTableTest, WithoutAKnownKeyARouteIsClosed) {
  for (const char* authorization : {"", "Bearer ", "Bearer k4", "Bearer k", "Bearer k11",
                                    "Basic k1", "k1", "Bearer  k1", "Bearer k1 "}) {
    EXPECT_EQ(tenant_of(two_tenants(), "/r/", authorization), "error: unauthenticated")
        << authorization;
  }
}

TEST(TenantTableTest, AnOpenRouteAcceptsEveryoneAndStillIdentifiesTenants) {
  EXPECT_EQ(tenant_of(two_tenants(), "/o/", ""), "");
  EXPECT_EQ(tenant_of(two_tenants(), "/o/", "Bearer nobody's"), "");
  EXPECT_EQ(tenant_of(two_tenants(), "/o/", "Bearer k3"), "ben");
}

TEST(TenantTableTest, WithoutTenantsNoKeyIsNeeded) {
  const RouteTable table = table_with("");
  EXPECT_FALSE(table.tenants().enabled());
  EXPECT_EQ(tenant_of(table, "/r/", "Bearer k1"), "");
  EXPECT_EQ(tenant_of(table, "/r/", ""), "");
}

TEST(TenantTableTest, AnEmptyListClosesAllRoutes) {
  const RouteTable table = table_with(R"(, "tenants": [])");
  EXPECT_TRUE(table.tenants().enabled());
  EXPECT_EQ(tenant_of(table, "/r/", "Bearer k1"), "error: unauthenticated");
  EXPECT_EQ(tenant_of(table, "/o/", ""), "");
}

TEST(TenantTableTest, ASharedKeyBelongsToTheFirstTenantAndTheWarningOmitsTheKey) {
  const RouteTable table = table_with(R"(, "tenants": [
        {"name": "ann", "api_keys": ["the-secret"]}, {"name": "ben", "api_keys": ["the-secret"]}])");
  EXPECT_EQ(tenant_of(table, "/r/", "Bearer the-secret"), "ann");
  ASSERT_EQ(table.tenants().warnings().size(), 1U);
  const std::string& warning = table.tenants().warnings().front();
  EXPECT_NE(warning.find("'ann' and 'ben'"), std::string::npos);
  EXPECT_EQ(warning.find("the-secret"), std::string::npos);
}

TEST(TenantTableTest, AnEmptyKeyIdentifiesNoTenant) {
  const RouteTable table = table_with(R"(, "tenants": [{"name": "ann", "api_keys": [""]}])");
  EXPECT_EQ(tenant_of(table, "/r/", "Bearer "), "error: unauthenticated");
  EXPECT_EQ(table.tenants().warnings().size(), 1U);
}

TEST(TenantTableTest, KeysMayHoldAnyBytes) {
  const std::string key = "\xc3\xa5 \"quoted\\\" / key\x7f";
  tenant ann;
  ann.name = "ann";
  ann.keys = {key, std::string("nul\0inside", 10)};
  const tenant_table tenants({ann});
  ASSERT_NE(tenants.find_by_key(key), nullptr);
  EXPECT_NE(tenants.find_by_key(std::string("nul\0inside", 10)), nullptr);
  EXPECT_EQ(tenants.find_by_key("nul"), nullptr);
}

TEST(TenantTableTest, ATenantConfiguredTwiceCausesAWarning) {
  const RouteTable table = table_with(R"(, "tenants": [
        {"name": "ann", "api_keys": ["k1"], "rate_per_s": 5},
        {"name": "ann", "api_keys": ["k2"], "rate_per_s": 9}])");
  EXPECT_EQ(table.tenants().find("ann")->rate_per_second, 5);
  EXPECT_EQ(table.tenants().find_by_key("k2"), table.tenants().find("ann"));
  EXPECT_EQ(table.tenants().warnings().size(), 1U);
}

TEST(TenantTableTest, MalformedTenantsRejectTheConfiguration) {
  for (const char* tenants :
       {"{}", "null", "7", "\"ann\"", R"([{"api_keys": ["k"]}])", R"(["ann"])",
        R"([{"name": "ann", "api_keys": "k1"}])", R"([{"name": "ann", "api_keys": [1]}])",
        R"([{"name": "ann", "rate_per_s": -1}])", R"([{"name": "ann", "burst": "many"}])"}) {
    const Expected<RouteTable> table = platform::decode_routes(
        R"({"version": 1, "services": [], "routes": [], "tenants": )" + std::string(tenants) + "}");
    EXPECT_FALSE(table) << tenants;
  }
}

TEST(TenantTableTest, AMissingLimitMeansNoLimit) {
  const RouteTable table =
      table_with(R"(, "tenants": [{"name": "ann", "rate_per_s": null, "burst": 0}])");
  EXPECT_FALSE(table.tenants().find("ann")->limited());
}

TEST(ApiKeyTest, ComparesWholeKeys) {
  EXPECT_TRUE(equal_keys("abc", "abc"));
  EXPECT_FALSE(equal_keys("abc", "abd"));
  EXPECT_FALSE(equal_keys("abc", "ab"));
  EXPECT_FALSE(equal_keys("", "a"));
}

TEST(StoredJobIdTest, EachTenantHasItsOwnNamespace) {
  const std::optional<std::string> ann = stored_job_id("ann", "9c41");
  const std::optional<std::string> ben = stored_job_id("ben", "9c41");
  ASSERT_TRUE(ann && ben);
  EXPECT_NE(*ann, *ben);
  EXPECT_EQ(caller_job_id(*ann), "9c41");
  EXPECT_EQ(caller_job_id(*ben), "9c41");
  EXPECT_EQ(stored_job_id("", "9c41"), "9c41");
  EXPECT_EQ(caller_job_id("9c41"), "9c41");
}

TEST(StoredJobIdTest, StoredNamesOfOtherTenantsAreRejected) {
  const std::optional<std::string> ann = stored_job_id("ann", "9c41");
  EXPECT_EQ(stored_job_id("", *ann), std::nullopt);
  EXPECT_EQ(stored_job_id("ben", *ann), std::nullopt);
  EXPECT_EQ(stored_job_id("", ""), std::nullopt);
  EXPECT_TRUE(stored_job_id("", "an~odd~id")) << "ids that merely contain the separator are valid";
}

}  // namespace
}  // namespace chalkshed
