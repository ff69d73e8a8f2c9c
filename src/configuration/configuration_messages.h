// Typed messages between nodes about the configuration.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "src/configuration/configuration_content.h"
#include "src/configuration/configuration_head.h"
#include "src/core/error.h"

namespace chalkshed {

inline constexpr const char* kConfigurationHeadMethod = "configuration_head";
inline constexpr const char* kConfigurationManifestMethod = "configuration_manifest";
inline constexpr const char* kConfigurationBlockMethod = "configuration_block";

// The known head and applied version of a node; request and response of kConfigurationHeadMethod.
struct HeadReport {
  ConfigurationHead head;  // highest known head, without author, comment and time
  ConfigurationVersion applied_version = 0;
  bool learned = false;  // the node serves
  bool cut_off = false;  // receives no responses from peers or the store
  // Time since the head was last known to be the highest in the store, confirmed directly or
  // through peers.
  Duration confirmed_age{0};
};

struct ManifestRequest {
  std::string digest;
  std::string known_digest;
};

struct ManifestReply {
  bool complete = false;  // `delta` is based on an empty manifest, not on the known one
  ManifestDelta delta;
  std::vector<std::string> blocks;  // contents
};

struct BlockRequest {
  std::vector<std::string> digests;
};

struct BlockReply {
  std::vector<std::string> blocks;  // contents
};

std::string encode(const HeadReport& message);
std::string encode(const ManifestRequest& message);
std::string encode(const ManifestReply& message);
std::string encode(const BlockRequest& message);
std::string encode(const BlockReply& message);

// Errors: kInvalidRequest when the body is malformed.
Expected<HeadReport> decode_head_report(std::string_view body);
Expected<ManifestRequest> decode_manifest_request(std::string_view body);
Expected<ManifestReply> decode_manifest_reply(std::string_view body);
Expected<BlockRequest> decode_block_request(std::string_view body);
Expected<BlockReply> decode_block_reply(std::string_view body);

}  // namespace chalkshed
