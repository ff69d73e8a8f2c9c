// A configuration split into blocks named by their digests, and the manifest that lists them.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "src/configuration/configuration.h"
#include "src/configuration/configuration_head.h"
#include "src/core/error.h"

namespace chalkshed {

// Digests of a version's blocks by block name ("service/<name>", "policy/<name>",
// "tenants/<bucket>").
struct ConfigurationManifest {
  std::map<std::string, std::string> digests;

  bool operator==(const ConfigurationManifest&) const = default;
};

// @return the canonical JSON form; its digest names the manifest.
std::string encode_manifest(const ConfigurationManifest& manifest);

// Errors: kInternal when the text is not a valid manifest.
Expected<ConfigurationManifest> decode_manifest(std::string_view text);

// Difference between two manifests.
struct ManifestDelta {
  std::map<std::string, std::string> changed;  // digests of new and changed entries
  std::vector<std::string> removed;            // names
};
ManifestDelta manifest_delta(const ConfigurationManifest& from, const ConfigurationManifest& to);
ConfigurationManifest apply_delta(ConfigurationManifest manifest, const ManifestDelta& delta);

// A configuration in the form in which it is stored and sent.
struct SplitConfiguration {
  ConfigurationManifest manifest;
  std::string manifest_digest;
  std::map<std::string, std::string> blocks;  // content by digest
};

// Splits into one block per service and policy, and distributes the tenants over `tenant_buckets`
// blocks by the hash of their name, so that a change of one tenant changes one small block.
SplitConfiguration split_configuration(const Configuration& configuration, uint32_t tenant_buckets);

class ConfigurationCache;

// @return the difference (see configuration_difference()) from a version in the cache to `after`;
// only differing blocks are compared. An unknown manifest counts as empty.
std::string difference_from(const ConfigurationCache& cache, const std::string& manifest_digest,
                            const SplitConfiguration& after);

// Names of the objects in the object store.
std::string manifest_object_name(const std::string& digest);
std::string block_object_name(const std::string& digest);

// Cache of the manifests and parsed blocks that this node has.
class ConfigurationCache {
 public:
  // Adds content under its digest. @return the digest. Errors: kInternal when it cannot be parsed.
  Expected<std::string> add_block(const std::string& content);
  std::string add_manifest(ConfigurationManifest manifest);
  Expected<std::monostate> add(const SplitConfiguration& split);

  const ConfigurationManifest* find_manifest(const std::string& digest) const;
  const std::string* find_block(const std::string& digest) const;

  // @return the digests of the manifest's blocks that are not in the cache.
  std::vector<std::string> missing_blocks(const ConfigurationManifest& manifest) const;

  // Assembles a version from its blocks. Errors: kInternal when content is missing or inconsistent.
  Expected<ConfigurationPtr> assemble(const ConfigurationHead& head) const;

  // Evicts all other manifests, and all blocks that none of the remaining manifests refers to.
  void retain(const std::set<std::string>& manifest_digests);

  // @return the total size of the cached block contents.
  size_t content_bytes() const;

 private:
  struct Block {
    std::string content;
    Configuration sections;
  };
  std::map<std::string, ConfigurationManifest> manifests_;
  std::map<std::string, Block> blocks_;
};

}  // namespace chalkshed
