// Jobs keep their tenant through takeovers, the store and forwarding.
#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

RequestJob job_of(ServingCluster& cluster, const std::string& tenant, const std::string& id,
                  size_t items) {
  RequestJob job = cluster.job(id, items);
  job.id = *stored_job_id(tenant, id);
  job.tenant = tenant;
  set_tenant(job.items, tenant);
  return job;
}

TEST(JobTenantTest, AJobThatIsTakenOverStillRunsForItsTenant) {
  ServingCluster cluster(2);
  std::optional<Expected<std::monostate>> accepted;
  cluster.node("n0").jobs().submit(job_of(cluster, "ann", "j1", 3),
                                   [&](const auto& answer) { accepted = answer; });
  cluster.clock.run_for(milliseconds(300));
  ASSERT_TRUE(accepted && *accepted);
  ASSERT_EQ(cluster.workers.calls.size(), 3U);
  cluster.kill_node("n0");
  cluster.clock.run_for(seconds(8));
  ASSERT_GT(cluster.workers.calls.size(), 3U) << "taken over and run again";
  for (const ScriptedCall& call : cluster.workers.calls) {
    EXPECT_EQ(call.header(platform::kTenant), "ann");
  }
}

TEST(JobTenantTest, TheRecordNamesTheTenantAndRecordsWithoutOneAreStillRead) {
  StoredJob record;
  record.id = *stored_job_id("ann", "j1");
  record.tenant = "ann";
  EXPECT_EQ(decode_job_record(record.id, encode_job_record(record))->tenant, "ann");
  const Expected<StoredJob> older = decode_job_record(
      "j1", R"({"host": "h", "path": "/p", "items": 1, "owner": "", "epoch": 1, "ended": false,
                "finished": false, "in_object": false, "accepted_us": 5})");
  ASSERT_TRUE(older);
  EXPECT_EQ(older->tenant, "");
}

TEST(JobTenantTest, AForwardedJobCarriesItsIdAndTheCallersKey) {
  RequestJob job;
  job.id = *stored_job_id("ann", "j1");
  job.authorization = "Bearer k1";
  const HttpRequest call = job_wire().encode_submission(job);
  EXPECT_EQ(find_header(call.headers, platform::kRequestId), "j1");
  EXPECT_EQ(find_header(call.headers, platform::kAuthorization), "Bearer k1");
}

TEST(JobTenantTest, EachTenantHasAQueueOfItsOwn) {
  ServingCluster cluster(2);
  cluster.write_configuration(2, [](nlohmann::json& configuration) {
    configuration["routes"].back()["max_queued_tokens"] = 40;
  });
  cluster.clock.run_for(milliseconds(100));
  const auto submit = [&](const std::string& tenant, const std::string& id) {
    std::optional<Expected<std::monostate>> accepted;
    cluster.node("n0").jobs().submit(job_of(cluster, tenant, id, 3),
                                     [&](const auto& answer) { accepted = answer; });
    cluster.clock.run_for(milliseconds(500));
    return accepted && accepted->has_value();
  };
  EXPECT_TRUE(submit("ann", "j1"));
  EXPECT_FALSE(submit("ann", "j2")) << "60 tokens of one tenant";
  EXPECT_TRUE(submit("ben", "j3"));
}

}  // namespace
}  // namespace chalkshed
