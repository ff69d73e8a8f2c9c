#include "src/jobs/job_queues.h"

#include <algorithm>
#include <set>
#include <unordered_set>

#include "src/core/digest.h"

namespace chalkshed {

const Route* job_queues::limited_route_of(const StoredJob& record) const {
  const RouteTablePtr& table = environment_.routes.current();
  const Route* route = table ? table->find(record.host, record.path) : nullptr;
  return route != nullptr && route->max_queued_tokens > 0 ? route : nullptr;
}

std::vector<job_remainder> job_queues::remainders() {
  std::vector<job_remainder> own;
  for (const auto& [id, owned] : owned_) {
    const Route* route = limited_route_of(owned.job->record());
    if (route != nullptr && !owned.job->finished()) {
      own.push_back({content_hash(id), route_queue_id(*route, owned.job->record().tenant),
                     owned.job->remaining_tokens()});
      queued_.note(own.back(), now());
    }
  }
  return own;
}

void job_queues::note_remainder(const job_remainder& reported) { queued_.note(reported, now()); }

void job_queues::close(const std::string& job) { queued_.close(content_hash(job), now()); }

bool job_queues::is_counted(const std::string& job) const {
  return index_.contains(job) || queued_.reported(content_hash(job), now());
}

double job_queues::drain_rate() const { return queued_.drain_rate(now()); }

uint64_t job_queues::queued(const Route& route, const std::string& tenant) const {
  const uint64_t queue = route_queue_id(route, tenant);
  std::unordered_set<uint64_t> listed;
  uint64_t sum = 0;
  for (const auto& [id, indexed] : index_) {
    const uint64_t hash = content_hash(id);
    listed.insert(hash);
    const StoredJob& record = indexed.record;
    const Route* of_job = record.ended || record.finished ? nullptr : limited_route_of(record);
    if (of_job == nullptr || route_queue_id(*of_job, record.tenant) != queue) {
      continue;
    }
    const auto owned = owned_.find(id);
    sum += owned == owned_.end() ? queued_.remaining_tokens(hash, record.tokens)
                                 : owned->second.job->remaining_tokens();
  }
  return sum + queued_.unlisted(
                   queue, [&](uint64_t job) { return listed.contains(job); }, now());
}

uint64_t job_queues::largest_tenant_queue(const Route& route) const {
  std::set<std::string> tenants = {""};
  for (const auto& [id, indexed] : index_) {
    tenants.insert(indexed.record.tenant);
  }
  uint64_t largest_tenant_queue = 0;
  for (const std::string& tenant : tenants) {
    largest_tenant_queue = std::max(largest_tenant_queue, queued(route, tenant));
  }
  return largest_tenant_queue;
}

void job_queues::update_metrics() {
  const RouteTablePtr& table = environment_.routes.current();
  const bool any_limit =
      table && std::any_of(table->routes().begin(), table->routes().end(),
                           [](const Route& route) { return route.max_queued_tokens > 0; });
  if (!any_limit) {
    return;
  }
  std::unordered_set<uint64_t> listed;
  for (const auto& [id, indexed] : index_) {
    listed.insert(content_hash(id));
  }
  queued_.prune(now(), [&](uint64_t job) { return listed.contains(job); });
  for (const Route& route : table->routes()) {
    if (route.max_queued_tokens > 0) {
      update_metrics(route);
    }
  }
}

void job_queues::update_metrics(const Route& route) const {
  const MetricLabels labels = {{"route", route.name}};
  environment_.serving.metrics
      .gauge("chalkshed_queued_tokens",
             "Tokens of accepted batch items that have not ended, of the tenant with the most.",
             labels)
      .set(static_cast<double>(largest_tenant_queue(route)));
  environment_.serving.metrics
      .gauge("chalkshed_queued_tokens_limit", "The most that may be queued, over all nodes.",
             labels)
      .set(static_cast<double>(route.max_queued_tokens));
}

}  // namespace chalkshed
