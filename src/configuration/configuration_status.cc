#include "src/configuration/configuration_status.h"

#include <algorithm>
#include <utility>

namespace chalkshed {
namespace {

constexpr size_t kMaxParallelRequests = 32;

}  // namespace

struct ConfigurationStatusCollector::Collection {
  ConfigurationVersion wanted = 0;
  std::function<void(ConfigurationStatus)> callback;
  ConfigurationStatus status;
  std::deque<size_t> pending;  // indexes into status.members
  size_t in_flight = 0;        // requests in flight
};

void ConfigurationStatusCollector::collect(ConfigurationVersion wanted,
                                           std::function<void(ConfigurationStatus)> callback) {
  auto collection = std::make_shared<Collection>();
  collection->wanted = wanted;
  collection->callback = std::move(callback);
  std::map<NodeId, CachedReport> retained_reports;
  for (const Member& member : members_.members()) {
    MemberStatus status;
    status.member = member;
    if (member.id == members_.self().id) {
      status.reachable = true;
      status.report = manager_.report();
    } else if (!use_cached_report(member, wanted, status)) {
      collection->pending.push_back(collection->status.members.size());
    }
    if (const auto entry = cached_reports_.find(member.id); entry != cached_reports_.end()) {
      retained_reports.insert(*entry);
    }
    collection->status.members.push_back(std::move(status));
  }
  cached_reports_ = std::move(retained_reports);
  dependencies_.dispatcher.post(lifetime_.guard([this, collection] { send_requests(collection); }));
}

bool ConfigurationStatusCollector::use_cached_report(const Member& member,
                                                     ConfigurationVersion wanted,
                                                     MemberStatus& status) {
  const auto known = cached_reports_.find(member.id);
  const bool usable = wanted > 0 && known != cached_reports_.end() &&
                      known->second.incarnation == member.incarnation &&
                      known->second.report.applied_version >= wanted;
  if (usable) {
    status.reachable = true;
    status.report = known->second.report;
  }
  return usable;
}

void ConfigurationStatusCollector::send_requests(const CollectionPtr& collection) {
  while (!collection->pending.empty() && collection->in_flight < kMaxParallelRequests) {
    const size_t index = collection->pending.front();
    collection->pending.pop_front();
    ++collection->in_flight;
    dependencies_.peer_client.call(
        collection->status.members[index].member.http_address, kConfigurationHeadMethod,
        encode(manager_.report()),
        lifetime_.guard([this, collection, index](const Expected<std::string>& body) {
          on_report_body(collection, index, body);
        }));
  }
  if (collection->in_flight == 0) {
    finish(collection);
  }
}

void ConfigurationStatusCollector::on_report_body(const CollectionPtr& collection, size_t index,
                                                  const Expected<std::string>& body) {
  MemberStatus& status = collection->status.members[index];
  const auto report = body ? decode_head_report(*body) : tl::unexpected(body.error());
  if (report) {
    status.reachable = true;
    status.report = *report;
    cached_reports_[status.member.id] = CachedReport{status.member.incarnation, *report};
  } else {
    status.problem = report.error().message;
  }
  --collection->in_flight;
  send_requests(collection);
}

void ConfigurationStatusCollector::finish(const CollectionPtr& collection) {
  ConfigurationStatus& status = collection->status;
  status.version = collection->wanted;
  for (const MemberStatus& member : status.members) {
    if (member.reachable && collection->wanted == 0) {
      status.version = std::max(status.version, member.report.head.version);
    }
  }
  for (const MemberStatus& member : status.members) {
    const bool applies = member.reachable && member.report.learned &&
                         member.report.applied_version >= status.version;
    if (!applies) {
      status.lagging.push_back(member.member.id);
    }
  }
  collection->callback(std::move(status));
}

}  // namespace chalkshed
