// The head of the configuration: the active version and the digest of its manifest.
#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "src/configuration/configuration.h"
#include "src/core/error.h"

namespace chalkshed {

inline constexpr std::string_view kConfigurationTable = "configuration";
inline constexpr std::string_view kConfigurationHeadKey = "head";
inline constexpr std::string_view kConfigurationHeadGossipKind = "configuration_head";

// Content of the head row, of the history rows, and of head gossip.
struct ConfigurationHead {
  ConfigurationVersion version = 0;
  std::string manifest_digest;
  std::string attempt;      // id of the apply attempt that wrote it
  std::string origin;       // node that accepted the version
  std::string author;       // as given by the operator's client
  std::string comment;      // as given by the operator
  int64_t accepted_at = 0;  // wall clock, microseconds since 1970; also used by retention

  bool operator==(const ConfigurationHead&) const = default;
};

// @return the head as one JSON object.
std::string encode_head(const ConfigurationHead& head);

// Errors: kInternal when the text is not a valid head.
Expected<ConfigurationHead> decode_head(std::string_view text);

// @return the key of a version's history row; keys sort by version.
std::string history_key(ConfigurationVersion version);

}  // namespace chalkshed
