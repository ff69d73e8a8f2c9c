// Dependencies that all classes of the job module share.
#pragma once

#include <functional>
#include <string>

#include "chalkshed/failed_run_exchange.h"
#include "chalkshed/waiting_items.h"
#include "src/jobs/item_duration.h"
#include "src/jobs/job.h"
#include "src/jobs/job_knobs.h"
#include "src/platform/object_store.h"
#include "src/platform/watched_store.h"
#include "src/serving/route_watch.h"
#include "src/serving/service_draw.h"
#include "src/serving/serving_environment.h"
#include "src/watch/store_clock.h"

namespace chalkshed {

// All references must outlive the jobs.
struct JobEnvironment {
  ServingEnvironment& serving;
  RouteWatch& routes;
  WatchedStore& store;
  ObjectStore& objects;
  StoreClock& clock;
  const JobCodec& codec;
  ServiceDraw& draw;
  JobKnobs knobs;
  ItemDurationEstimator pace = {};
  // The items that wait, of all jobs that this node owns.
  waiting_items waiting = {};
  // Whether online requests wait for a slot of the service; batch items then take none there.
  std::function<bool(const std::string& service)> online_waits = [](const std::string&) {
    return false;
  };
  // Upper bound of the age of this node's view of the jobs of all nodes.
  std::function<Duration()> view_age = [] { return Duration(0); };
  // Failed runs of items at any node, which the store may not hold yet; null: none are known.
  failed_run_exchange* failed_runs = nullptr;
};

}  // namespace chalkshed
