// The TOML text form of a configuration: parsing with validation, and canonical formatting.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "src/configuration/configuration.h"
#include "src/core/error.h"

namespace chalkshed {

// One TOML document as an operator wrote it.
struct ConfigurationDocument {
  std::string name;  // file name, for error messages
  std::string text;
};

// Everything that an operator submits at once. Sections may be distributed over documents.
struct ConfigurationBundle {
  std::vector<ConfigurationDocument> documents;
  std::map<std::string, std::string> policy_files;  // content by the name used in `file = "..."`
};

// Parsed content of a bundle. `base_version` is the `version` key of the document: the version that
// the text was edited from.
struct ParsedConfiguration {
  Configuration configuration;
  std::optional<ConfigurationVersion> base_version;
};

// Parses and validates a bundle. Errors: kInvalidRequest, Ran::kNo, naming document, line and
// field. Unknown keys, names defined twice, dangling policy references, a model offered by two
// services and an API key used by two tenants are errors. Policies are not evaluated here.
Expected<ParsedConfiguration> parse_configuration(const ConfigurationBundle& bundle);

// Parses one document without cross-section validation; used for blocks.
Expected<Configuration> parse_configuration_fragment(const ConfigurationDocument& document);

// @return the canonical text: sections in alphabetical order within their kind, with all fields of
// services and tenants. Equal configurations have equal texts. With `version` above 0 the text
// begins with `version = N`.
std::string format_configuration(const Configuration& configuration);

// @return the differing lines of two texts, marked '-' (only in `before`) and '+' (only in `after`)
// under their section headings; empty when the texts are equal.
std::string configuration_difference(const std::string& before, const std::string& after);

}  // namespace chalkshed
