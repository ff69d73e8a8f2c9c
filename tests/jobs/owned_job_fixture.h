// What the tests of owned jobs and of the order of their items need: one worker and one route for
// batch jobs.
#pragma once

#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "src/jobs/job_rows.h"
#include "src/jobs/owned_job.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {

// An owned job, and a store that the test also writes to directly.
class OwnedJobTest : public testing::Test {
 protected:
  OwnedJobTest() {
    StoredRow configuration;
    configuration.key = {platform::kOperatorTable, "", platform::kConfigurationKey};
    configuration.version = 1;
    configuration.value = R"({"version": 1, "services": [{"name": "engines"}], "routes": [
        {"name": "batch", "host": "a.example", "path_prefix": "/batch/", "kind": "batch",
         "service": "engines", "attempts": 3, "run_target_ms": 20000}]})";
    routes.on_row(configuration);
    WorkerRecord worker;
    worker.incarnation = "i-1";
    worker.service = "engines";
    worker.slots = 8;
    workers.update(worker);
    record.id = "j1";
    record.host = "a.example";
    record.path = "/batch/j";
    record.items = 2;
    record.owner = "n0#1";
    record.epoch = 3;
  }
  StoreVersion write(const StoredRowKey& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.writes.push_back({key, value});
    return shared.rows.commit(transaction).stamp.version;
  }
  std::vector<ServingRequest> items() {
    return *job_wire().decode_items("a.example", R"({"requests": [
        {"id": "a", "path": "/batch/x", "body": ""}, {"id": "b", "path": "/batch/x", "body": ""}]})");
  }
  void complete(ScriptedCall& call) {
    call.begin();
    call.event(1);
    call.end();
  }

  VirtualClock clock;
  VirtualDispatcher dispatcher{clock};
  SeededRandomGenerator random{1};
  NullLogger logger;
  NullMetricsRegistry metrics;
  SharedStore shared;
  MemoryWatchedStore store{shared, clock, dispatcher};
  ScriptedWorkers calls;
  WorkerSet workers{clock, random, "zone-a"};
  request_quarantine quarantine{clock, dispatcher, workers, logger, metrics};
  ServingEnvironment serving{clock,   dispatcher, random,  calls, request_wire(),
                             workers, logger,     metrics, {},    quarantine};
  RouteWatch routes{logger, platform::kConfigurationKey, &platform::decode_routes};
  StoreClock store_clock{clock};
  ServiceDraw draw{random};
  JobEnvironment environment{serving, routes, store, store, store_clock, job_wire(), draw, {}, {}};
  failure_recorder recorder{store, dispatcher, logger, environment.knobs.store_retry_delay};
  StoredJob record;
};

}  // namespace chalkshed
