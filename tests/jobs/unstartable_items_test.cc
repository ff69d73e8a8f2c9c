// Guards against batch items that wait although a worker is free for them, behind items that cannot
// start: those of a service without workers, or without free slots.

#include <gtest/gtest.h>

#include "src/jobs/job_rows.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {
namespace {

constexpr const char* kSound = "/batch/x";
constexpr const char* kLost = "/small/x";

// A second service, "small", with a route for batch jobs; it has no workers.
class UnstartableItemsTest : public testing::Test {
 protected:
  UnstartableItemsTest() {
    cluster.write_configuration(2, [](nlohmann::json& configuration) {
      configuration["services"].push_back({{"name", "small"}});
      nlohmann::json route = configuration["routes"].back();
      route["name"] = "small";
      route["path_prefix"] = "/small/";
      route["service"] = "small";
      configuration["routes"].push_back(route);
    });
    cluster.answer_all(4, milliseconds(10));
    cluster.clock.run_for(seconds(4));
  }
  // Submits a job with an item for each path.
  void submit(const std::string& id, const std::vector<std::string>& paths) {
    RequestJob job = cluster.job(id, paths.size());
    job.path = paths.front();
    for (size_t index = 0; index < paths.size(); ++index) {
      job.items[index].message.path = paths[index];
    }
    cluster.node().jobs().submit(job, [](const Expected<std::monostate>&) {});
  }
  size_t listed(const std::string& id) const {
    return cluster.shared.rows.read(job_result_range(id, 0, 100)).rows.size();
  }
  // An online route to the service without workers, whose requests wait for long.
  void add_online_route() {
    cluster.write_configuration(3, [](nlohmann::json& configuration) {
      configuration["services"].push_back({{"name", "small"}});
      nlohmann::json route = configuration["routes"].front();
      route["name"] = "small";
      route["path_prefix"] = "/small/";
      route["target_ms"] = 5000;
      route["service"] = "small";
      configuration["routes"].push_back(route);
    });
  }
  // All slots of the service's only worker are held by runs that don't end.
  void fill_small() {
    cluster.put("servers", "i-small",
                nlohmann::json{{"service", "small"},
                               {"address", "10.1.1.1:80"},
                               {"zone", "zone-a"},
                               {"slots", 2},
                               {"state", "ready"},
                               {"version", "1"}}
                    .dump());
    cluster.workers.on_call = [this](ScriptedCall& call) {
      if (call.request.path != kLost) {
        call_after(cluster.loop, milliseconds(10), [&call] { finish(call); });
      }
    };
  }
  static void finish(ScriptedCall& call) {
    if (call.open()) {
      call.begin();
      call.event(1);
      call.end();
    }
  }

  ServingCluster cluster{1, 2};
};

TEST_F(UnstartableItemsTest, JobsOfAServiceWithoutWorkersDelayNoOtherJob) {
  for (int number = 0; number < 8; ++number) {
    submit("lost" + std::to_string(number), {kLost, kLost, kLost, kLost});
    cluster.clock.run_for(milliseconds(200));
  }
  submit("sound", {kSound, kSound, kSound, kSound});
  for (int number = 8; number < 16; ++number) {
    submit("lost" + std::to_string(number), {kLost, kLost, kLost, kLost});
    cluster.clock.run_for(milliseconds(200));
  }
  EXPECT_EQ(listed("sound"), 4U);
}

// The jobs of the lost service are late by then, and the one that is accepted is not.
TEST_F(UnstartableItemsTest, LateJobsOfAServiceWithoutWorkersDelayNoOtherJob) {
  submit("lost", {kLost, kLost});
  cluster.clock.run_for(seconds(25));
  submit("lost later", {kLost, kLost});
  cluster.clock.run_for(milliseconds(100));
  submit("sound", {kSound, kSound});
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(listed("sound"), 2U);
}

TEST_F(UnstartableItemsTest, ItemsOfAServiceWithoutWorkersDelayNoOtherItemOfTheirJob) {
  submit("mixed", {kLost, kSound, kLost, kSound, kLost, kSound, kSound});
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(listed("mixed"), 4U);
}

TEST_F(UnstartableItemsTest, ItemsOfAFullServiceDelayNoOtherItem) {
  fill_small();
  cluster.clock.run_for(seconds(1));
  submit("full", std::vector<std::string>(10, kLost));
  submit("mixed", {kLost, kSound, kLost, kSound});
  submit("sound", {kSound, kSound});
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(listed("mixed"), 2U);
  EXPECT_EQ(listed("sound"), 2U);
}

TEST_F(UnstartableItemsTest, ItemsStartOnceTheirServiceHasAWorker) {
  submit("lost", {kLost, kLost});
  cluster.clock.run_for(seconds(3));
  EXPECT_EQ(listed("lost"), 0U);
  cluster.put("servers", "i-small",
              nlohmann::json{{"service", "small"},
                             {"address", "10.1.1.1:80"},
                             {"zone", "zone-a"},
                             {"slots", 2},
                             {"state", "ready"},
                             {"version", "1"}}
                  .dump());
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(listed("lost"), 2U);
}

// Online requests wait for a worker of their service, which has none.
TEST_F(UnstartableItemsTest, OnlineRequestsOfAServiceWithoutWorkersDelayNoItemOfAnother) {
  add_online_route();
  cluster.clock.run_for(milliseconds(500));
  submit("sound", {kSound, kSound, kSound, kSound});
  for (int number = 0; number < 20; ++number) {
    cluster.request(kLost, "online" + std::to_string(number));
    cluster.clock.run_for(milliseconds(100));
  }
  EXPECT_EQ(listed("sound"), 4U);
}

// Items run for long at the one service; the slots of the other are missing for online requests.
TEST_F(UnstartableItemsTest, OnlineRequestsPreemptNoItemOfAnotherService) {
  add_online_route();
  cluster.workers.on_call = [](ScriptedCall&) {};
  cluster.clock.run_for(milliseconds(500));
  submit("sound", {kSound, kSound});
  cluster.clock.run_for(seconds(1));
  const auto open_calls = [this] {
    return std::count_if(cluster.workers.calls.begin(), cluster.workers.calls.end(),
                         [](const ScriptedCall& call) { return call.open(); });
  };
  ASSERT_EQ(open_calls(), 2);
  for (int number = 0; number < 4; ++number) {
    cluster.request(kLost, "online" + std::to_string(number));
  }
  cluster.clock.run_for(milliseconds(100));
  EXPECT_EQ(open_calls(), 2);
}

// The configuration moves the route to a service that has workers.
TEST_F(UnstartableItemsTest, ItemsFollowTheirRouteToAnotherService) {
  submit("lost", {kLost, kLost});
  cluster.clock.run_for(seconds(3));
  cluster.write_configuration(3, [](nlohmann::json& configuration) {
    nlohmann::json route = configuration["routes"].back();
    route["name"] = "small";
    route["path_prefix"] = "/small/";
    configuration["routes"].push_back(route);
  });
  cluster.clock.run_for(seconds(2));
  EXPECT_EQ(listed("lost"), 2U);
}

}  // namespace
}  // namespace chalkshed
