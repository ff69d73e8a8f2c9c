// Worker selection, ejection of unhealthy workers, rejection of requests that would miss their
// deadline, and retries.
#include "src/routing/admission.h"
#include "tests/routing/routing_fixture.h"

namespace chalkshed {
namespace {

class OnlineRoutingTest : public testing::Test {
 protected:
  void start(int workers, RoutingKnobs knobs = {}) {
    world_.add_workers(workers);
    node_ = std::make_unique<RoutingNode>(world_, "n1", knobs);
    node_->router->start();
    world_.clock.run_for(seconds(2));
  }
  // Sends one request that ends after `latency`, or fails.
  void serve(const std::function<Duration(const WorkerId&)>& latency,
             const std::function<bool(const WorkerId&)>& fails) {
    auto routed = node_->route();
    ASSERT_TRUE(routed);
    const WorkerId worker = (*routed)->worker();
    ++served_[worker];
    if (fails(worker)) {
      (*routed)->report_failure(
          maybe_run(ErrorKind::kUpstreamFailed, "broken", "use another worker"));
      world_.clock.run_for(milliseconds(1));
      return;
    }
    world_.clock.run_for(latency(worker));
    (*routed)->report_first_token();
    (*routed)->report_success();
  }
  size_t ejected() {
    size_t count = 0;
    for (const auto& [id, worker] : node_->router->directory().all()) {
      count += worker->health.ejected(world_.clock.monotonic_now()) ? 1 : 0;
    }
    return count;
  }
  static bool never(const WorkerId&) { return false; }

  World world_;
  std::unique_ptr<RoutingNode> node_;
  std::map<WorkerId, int> served_;
};

TEST_F(OnlineRoutingTest, RequestsInFlightSpreadOverTheWorkers) {
  start(6);
  for (const char* id : {"w100", "w101", "w102", "w103", "w104", "w105"}) {
    EXPECT_NEAR(node_->count_routed_to(id, 60), 10, 2) << id;
  }
}

TEST_F(OnlineRoutingTest, AFailingWorkerIsEjectedAndReturnsGradually) {
  start(6);
  bool broken = true;
  const auto fails = [&](const WorkerId& id) { return broken && id == "w102"; };
  const auto fast = [](const WorkerId&) { return Duration(milliseconds(10)); };
  for (int count = 0; count < 200; ++count) {
    serve(fast, fails);
  }
  EXPECT_LE(served_["w102"], 12);
  broken = false;
  world_.clock.run_for(seconds(40));
  served_.clear();
  for (int count = 0; count < 300; ++count) {
    serve(fast, fails);
  }
  EXPECT_GE(served_["w102"], 20);
}

TEST_F(OnlineRoutingTest, ASlowWorkerIsEjectedRelativeToItsPeers) {
  start(6);
  const auto latency = [](const WorkerId& id) {
    return Duration(milliseconds(id == "w103" ? 120 : 10));
  };
  for (int count = 0; count < 400; ++count) {
    serve(latency, never);
  }
  EXPECT_LE(served_["w103"], 400 / 6 / 2);
}

TEST_F(OnlineRoutingTest, UniformSlownessEjectsNoWorker) {
  start(6);
  for (int count = 0; count < 200; ++count) {
    serve([](const WorkerId&) { return Duration(milliseconds(200)); }, never);
    EXPECT_EQ(ejected(), 0U);
  }
}

TEST_F(OnlineRoutingTest, EjectionIsBoundedWhenAllFail) {
  start(6);
  for (int count = 0; count < 300; ++count) {
    serve([](const WorkerId&) { return Duration(0); }, [](const WorkerId&) { return true; });
    EXPECT_LE(ejected(), 2U);
  }
}

TEST_F(OnlineRoutingTest, AStalledWorkerGetsNoMoreRequests) {
  start(2);
  auto hung = node_->route();
  ASSERT_TRUE(hung);
  world_.clock.run_for(seconds(3));
  EXPECT_EQ(node_->count_routed_to((*hung)->worker(), 20), 0);
}

// A worker without a load report is not assumed to be idle while the others are known to be busy.
TEST_F(OnlineRoutingTest, AnUnknownWorkerCountsAsTypicallyLoaded) {
  WorkerLoad unknown;
  ServiceProfile profile;
  profile.max_sequences = 32;
  profile.typical.batch_sequences = 30;
  const MonotonicTime now = world_.clock.monotonic_now();
  WorkerLoad known;
  EngineLoad load;
  load.running_batch = 10;
  known.report(load, now, EstimateKnobs{});
  EXPECT_GT(unknown.predicted_step(now, profile, EstimateKnobs{}),
            known.predicted_step(now, profile, EstimateKnobs{}));
}

TEST_F(OnlineRoutingTest, PredictsTheEndOfTheCurrentStep) {
  const EstimateKnobs knobs;
  const MonotonicTime now = world_.clock.monotonic_now();
  ServiceProfile profile;
  profile.max_sequences = 32;
  WorkerLoad load;
  EngineLoad report;
  report.running_batch = 30;  // a step of 10 ms began at the report
  load.report(report, now, knobs);
  const Duration early = load.predicted_first_token(now, 0, Duration(0), profile, knobs);
  const Duration late =
      load.predicted_first_token(now + milliseconds(9), 0, Duration(0), profile, knobs);
  EXPECT_NEAR((early - late).count(), 9000, 200);
}

TEST_F(OnlineRoutingTest, RequestsThatCannotMeetTheirDeadlineAreRejectedDeferrableFirst) {
  RouteRequest request;
  request.service = "lm";
  request.max_tokens = 100;
  request.time_left = seconds(1);
  ServiceProfile profile;
  profile.seconds_per_max_token = 0.008;
  const AdmissionKnobs knobs;
  request.urgency = Urgency::kDeferrable;
  const auto refusal = refuse_if_late(request, milliseconds(50), profile, 0.5, knobs);
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->kind, ErrorKind::kOverloaded);
  EXPECT_EQ(refusal->ran, Ran::kNo);
  EXPECT_GE(refusal->retry_after, knobs.shortest_retry_after);
  request.urgency = Urgency::kNormal;
  EXPECT_FALSE(refuse_if_late(request, milliseconds(50), profile, 0.5, knobs));
  EXPECT_TRUE(refuse_if_late(request, milliseconds(250), profile, 0.5, knobs));
  request.urgency = Urgency::kUrgent;
  EXPECT_FALSE(refuse_if_late(request, milliseconds(250), profile, 0.5, knobs));
}

TEST_F(OnlineRoutingTest, RetriesStayAFractionOfSuccessesThroughAnOutage) {
  start(3);
  const AdmissionKnobs knobs;
  int retries = 0;
  for (int request = 0; request < 10'000; ++request) {  // 100 s of an outage at 100 a second
    retries += node_->router->take_retry("lm") ? 1 : 0;
    world_.clock.run_for(milliseconds(10));
  }
  EXPECT_LE(retries, knobs.retry_burst + 100 * knobs.minimum_retries_per_second + 1);
  for (int count = 0; count < 200; ++count) {
    serve([](const WorkerId&) { return Duration(milliseconds(1)); }, never);
  }
  EXPECT_TRUE(node_->router->take_retry("lm"));
}

TEST_F(OnlineRoutingTest, ASharedPrefixStaysWithItsWorkerWhileLoadAllows) {
  start(6);
  RouteRequest request;
  request.service = "lm";
  request.prompt = std::string(4096, 'x');
  request.prompt_tokens = 1024;
  request.max_tokens = 10;
  request.time_left = seconds(30);
  const WorkerId first = (*node_->router->route(request))->worker();
  int stayed = 0;
  for (int count = 0; count < 20; ++count) {
    world_.clock.run_for(milliseconds(100));
    stayed += (*node_->router->route(request))->worker() == first ? 1 : 0;
  }
  EXPECT_EQ(stayed, 20);
  std::vector<RoutedRequestPtr> crowd;
  std::set<WorkerId> used;
  for (int count = 0; count < 100; ++count) {
    crowd.push_back(std::move(*node_->router->route(request)));
    used.insert(crowd.back()->worker());
  }
  EXPECT_GE(used.size(), 3U);
}

}  // namespace
}  // namespace chalkshed
