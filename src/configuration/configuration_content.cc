#include "src/configuration/configuration_content.h"

#include <cstdio>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/configuration/configuration_text.h"
#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr std::string_view kObjectPrefix = "configuration/";

Error damaged_content(const std::string& what) {
  return not_run(ErrorKind::kInternal, what,
                 "apply the configuration again; its stored content is damaged or incomplete");
}

Error missing_block(const std::string& name, const std::string& digest) {
  return damaged_content("block " + digest + " (" + name + ") is missing");
}

std::string bucket_name(const std::string& tenant, uint32_t tenant_buckets) {
  std::array<char, 24> name{};
  const auto bucket = static_cast<unsigned>(content_hash(tenant) % tenant_buckets);
  std::snprintf(name.data(), name.size(), "tenants/%04u", bucket);
  return name.data();
}

void add_part(SplitConfiguration& split, const std::string& name, const Configuration& part) {
  std::string content = format_configuration(part);
  const std::string digest = content_digest(content);
  split.manifest.digests[name] = digest;
  split.blocks.emplace(digest, std::move(content));
}

}  // namespace

std::string encode_manifest(const ConfigurationManifest& manifest) {
  return nlohmann::json{{"blocks", manifest.digests}}.dump();
}

Expected<ConfigurationManifest> decode_manifest(std::string_view text) {
  try {
    ConfigurationManifest manifest;
    nlohmann::json::parse(text).at("blocks").get_to(manifest.digests);
    return manifest;
  } catch (const nlohmann::json::exception& failure) {
    return tl::unexpected(
        damaged_content("a configuration manifest cannot be read: " + std::string(failure.what())));
  }
}

ManifestDelta manifest_delta(const ConfigurationManifest& from, const ConfigurationManifest& to) {
  ManifestDelta delta;
  for (const auto& [name, digest] : to.digests) {
    const auto known = from.digests.find(name);
    if (known == from.digests.end() || known->second != digest) {
      delta.changed.emplace(name, digest);
    }
  }
  for (const auto& [name, digest] : from.digests) {
    if (!to.digests.contains(name)) {
      delta.removed.push_back(name);
    }
  }
  return delta;
}

ConfigurationManifest apply_delta(ConfigurationManifest manifest, const ManifestDelta& delta) {
  for (const auto& [name, digest] : delta.changed) {
    manifest.digests[name] = digest;
  }
  for (const std::string& name : delta.removed) {
    manifest.digests.erase(name);
  }
  return manifest;
}

SplitConfiguration split_configuration(const Configuration& configuration,
                                       uint32_t tenant_buckets) {
  SplitConfiguration split;
  for (const auto& [name, service] : configuration.services) {
    Configuration part;
    part.services.emplace(name, service);
    add_part(split, "service/" + name, part);
  }
  for (const auto& [name, policy] : configuration.policies) {
    Configuration part;
    part.policies.emplace(name, policy);
    add_part(split, "policy/" + name, part);
  }
  std::map<std::string, Configuration> buckets;
  for (const auto& [name, tenant] : configuration.tenants) {
    buckets[bucket_name(name, tenant_buckets)].tenants.emplace(name, tenant);
  }
  for (const auto& [name, part] : buckets) {
    add_part(split, name, part);
  }
  split.manifest_digest = content_digest(encode_manifest(split.manifest));
  return split;
}

std::string difference_from(const ConfigurationCache& cache, const std::string& manifest_digest,
                            const SplitConfiguration& after) {
  const ConfigurationManifest* known = cache.find_manifest(manifest_digest);
  const ConfigurationManifest before = known != nullptr ? *known : ConfigurationManifest();
  const ManifestDelta delta = manifest_delta(before, after.manifest);
  std::string old_text;
  std::string new_text;
  const auto add_old = [&](const std::string& name) {
    const auto digest = before.digests.find(name);
    const std::string* content =
        digest != before.digests.end() ? cache.find_block(digest->second) : nullptr;
    old_text += content != nullptr ? *content : "";
  };
  for (const auto& [name, digest] : delta.changed) {
    add_old(name);
    new_text += after.blocks.at(digest);
  }
  for (const std::string& name : delta.removed) {
    add_old(name);
  }
  return configuration_difference(old_text, new_text);
}

std::string manifest_object_name(const std::string& digest) {
  return std::string(kObjectPrefix) + "manifest/" + digest;
}

std::string block_object_name(const std::string& digest) {
  return std::string(kObjectPrefix) + "block/" + digest;
}

Expected<std::string> ConfigurationCache::add_block(const std::string& content) {
  std::string digest = content_digest(content);
  if (blocks_.contains(digest)) {
    return digest;
  }
  auto sections = parse_configuration_fragment({"block " + digest, content});
  if (!sections) {
    return tl::unexpected(damaged_content(sections.error().message));
  }
  blocks_.emplace(digest, Block{content, *std::move(sections)});
  return digest;
}

std::string ConfigurationCache::add_manifest(ConfigurationManifest manifest) {
  std::string digest = content_digest(encode_manifest(manifest));
  manifests_.emplace(digest, std::move(manifest));
  return digest;
}

Expected<std::monostate> ConfigurationCache::add(const SplitConfiguration& split) {
  for (const auto& [digest, content] : split.blocks) {
    if (auto added = add_block(content); !added) {
      return tl::unexpected(std::move(added.error()));
    }
  }
  add_manifest(split.manifest);
  return std::monostate{};
}

const ConfigurationManifest* ConfigurationCache::find_manifest(const std::string& digest) const {
  const auto found = manifests_.find(digest);
  return found == manifests_.end() ? nullptr : &found->second;
}

const std::string* ConfigurationCache::find_block(const std::string& digest) const {
  const auto found = blocks_.find(digest);
  return found == blocks_.end() ? nullptr : &found->second.content;
}

std::vector<std::string> ConfigurationCache::missing_blocks(
    const ConfigurationManifest& manifest) const {
  std::set<std::string> missing;
  for (const auto& [name, digest] : manifest.digests) {
    if (!blocks_.contains(digest)) {
      missing.insert(digest);
    }
  }
  return {missing.begin(), missing.end()};
}

Expected<ConfigurationPtr> ConfigurationCache::assemble(const ConfigurationHead& head) const {
  auto configuration = std::make_shared<Configuration>();
  configuration->version = head.version;
  if (head.version == 0) {
    return configuration;
  }
  const ConfigurationManifest* manifest = find_manifest(head.manifest_digest);
  if (manifest == nullptr) {
    return tl::unexpected(
        damaged_content("manifest " + head.manifest_digest + " is not cached on this node"));
  }
  for (const auto& [name, digest] : manifest->digests) {
    const auto block = blocks_.find(digest);
    if (block == blocks_.end()) {
      return tl::unexpected(missing_block(name, digest));
    }
    const Configuration& sections = block->second.sections;
    configuration->services.insert(sections.services.begin(), sections.services.end());
    configuration->tenants.insert(sections.tenants.begin(), sections.tenants.end());
    configuration->policies.insert(sections.policies.begin(), sections.policies.end());
  }
  return configuration;
}

void ConfigurationCache::retain(const std::set<std::string>& manifest_digests) {
  std::erase_if(manifests_,
                [&](const auto& entry) { return !manifest_digests.contains(entry.first); });
  std::set<std::string> used;
  for (const auto& [digest, manifest] : manifests_) {
    for (const auto& [name, block] : manifest.digests) {
      used.insert(block);
    }
  }
  std::erase_if(blocks_, [&](const auto& entry) { return !used.contains(entry.first); });
}

size_t ConfigurationCache::content_bytes() const {
  size_t bytes = 0;
  for (const auto& [digest, block] : blocks_) {
    bytes += block.content.size();
  }
  return bytes;
}

}  // namespace chalkshed
