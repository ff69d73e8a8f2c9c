#include "bench/configuration_traffic.h"

#include "sim/configuration_cluster.h"
#include "src/configuration/configuration_messages.h"
#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr Duration kDay = std::chrono::hours(24);
constexpr uint32_t kManifestPages = 16;
constexpr uint32_t kPercent = 100;
constexpr size_t kDigestDigits = 32;

std::string policy_source(const ConfigurationTrafficSettings& settings, uint64_t number) {
  std::string source = "-- revision " + std::to_string(number) + "\n";
  source += "function decide(request)\n  return { batch_fill = 0.5 }\nend\n";
  constexpr std::string_view kComment = "-- What this rule stands for, and whom to ask about it.\n";
  while (source.size() < settings.policy_bytes) {
    source += kComment;
  }
  return source;
}

Configuration initial_configuration(const ConfigurationTrafficSettings& settings) {
  Configuration configuration;
  for (uint32_t number = 0; number < settings.models; ++number) {
    const std::string name = "service-" + std::to_string(number);
    ServiceConfiguration service;
    service.name = name;
    service.models = {"model-" + std::to_string(number)};
    service.policy = "policy-" + std::to_string(number);
    configuration.policies[service.policy] = {service.policy, policy_source(settings, number), {}};
    configuration.services[name] = service;
  }
  for (uint32_t number = 0; number < settings.tenants; ++number) {
    TenantConfiguration tenant;
    tenant.name = "tenant-" + std::to_string(number);
    tenant.api_key = content_digest(tenant.name);
    tenant.requests_per_second = 10;
    configuration.tenants[tenant.name] = tenant;
  }
  return configuration;
}

template <typename Section>
Section& random_section(std::map<std::string, Section>& sections, RandomGenerator& random) {
  return std::next(sections.begin(), static_cast<std::ptrdiff_t>(random.below(sections.size())))
      ->second;
}

void change(Configuration& configuration, const ConfigurationTrafficSettings& settings,
            uint32_t number, RandomGenerator& random) {
  const uint64_t choice = random.below(kPercent);
  if (choice < settings.tenant_changes) {
    random_section(configuration.tenants, random).requests_per_second = 10 + number;
  } else if (choice < settings.tenant_changes + settings.service_changes) {
    random_section(configuration.services, random).request_deadline =
        std::chrono::seconds(1 + number);
  } else {
    random_section(configuration.policies, random).source = policy_source(settings, number);
  }
}

// Adds the bytes of the calls that transfer one change with each alternative protocol.
void add_alternatives(const Configuration& configuration, const ConfigurationManifest& before,
                      const ConfigurationTrafficSettings& settings, ConfigurationTraffic& traffic) {
  const SplitConfiguration split = split_configuration(configuration, settings.tenant_buckets);
  const std::string digest(kDigestDigits, '0');
  const uint64_t request = encode(BlockRequest{{digest}}).size() + settings.call_overhead_bytes;
  const std::string snapshot = format_configuration(configuration);
  traffic.snapshot_bytes = snapshot.size();
  traffic.whole_snapshots += request + encode(BlockReply{{snapshot}}).size();

  uint64_t changed_blocks = 0;
  for (const auto& [name, changed] : manifest_delta(before, split.manifest).changed) {
    changed_blocks += request + encode(BlockReply{{split.blocks.at(changed)}}).size();
  }
  ManifestReply manifest;
  manifest.delta.changed = split.manifest.digests;
  traffic.one_level_manifest += request + encode(manifest).size() + changed_blocks;

  ManifestReply root;
  ManifestReply page;
  for (uint32_t number = 0; number < kManifestPages; ++number) {
    root.delta.changed["page/" + std::to_string(number)] = digest;
  }
  for (const auto& entry : split.manifest.digests) {
    if (page.delta.changed.size() < split.manifest.digests.size() / kManifestPages) {
      page.delta.changed.insert(entry);
    }
  }
  traffic.two_level_manifest +=
      2 * request + encode(root).size() + encode(page).size() + changed_blocks;
}

}  // namespace

ConfigurationTraffic measure_configuration_traffic(const ConfigurationTrafficSettings& settings) {
  ConfigurationCluster cluster;
  ConfigurationKnobs knobs;
  knobs.tenant_buckets = settings.tenant_buckets;
  for (uint32_t number = 0; number < settings.nodes; ++number) {
    cluster.add(knobs);
  }
  cluster.run(1000);
  Configuration configuration = initial_configuration(settings);
  ConfigurationVersion version = 0;
  const auto apply = [&] {
    ConfigurationNode& node = cluster[version % settings.nodes];
    version = cluster.apply(node, format_configuration(configuration), version).value().version;
  };
  apply();
  cluster.run(5000);
  uint64_t bytes_before = 0;
  for (const auto& node : cluster.nodes) {
    bytes_before += node->content_call_bytes();
    node->calls.clear();
  }

  ConfigurationTraffic traffic;
  SeededRandomGenerator random(settings.seed);
  for (uint32_t number = 0; number < settings.changes; ++number) {
    const auto before = split_configuration(configuration, settings.tenant_buckets).manifest;
    change(configuration, settings, number, random);
    add_alternatives(configuration, before, settings, traffic);
    apply();
    cluster.clock.run_for(kDay / settings.changes);
  }

  uint64_t calls = 0;
  uint64_t exchanges = 0;
  for (const auto& node : cluster.nodes) {
    traffic.manifest_delta += node->content_call_bytes();
    traffic.exchanges += node->bytes[kConfigurationHeadMethod];
    calls += static_cast<uint64_t>(node->calls[kConfigurationManifestMethod] +
                                   node->calls[kConfigurationBlockMethod]);
    exchanges += static_cast<uint64_t>(node->calls[kConfigurationHeadMethod]);
    traffic.installs += node->versions.size();
  }
  // Every call is received by one node and sent by another.
  const uint64_t nodes_per_call = 2;
  traffic.manifest_delta =
      nodes_per_call *
      (traffic.manifest_delta - bytes_before + calls * settings.call_overhead_bytes) /
      settings.nodes;
  traffic.exchanges = nodes_per_call *
                      (traffic.exchanges + exchanges * settings.call_overhead_bytes) /
                      settings.nodes;
  traffic.whole_snapshots *= nodes_per_call;
  traffic.one_level_manifest *= nodes_per_call;
  traffic.two_level_manifest *= nodes_per_call;
  traffic.calls_per_change =
      static_cast<double>(calls) / settings.nodes / std::max(1U, settings.changes);
  return traffic;
}

}  // namespace chalkshed
