// Loads the operators' configuration files.
#pragma once

#include <string>
#include <vector>

#include "src/configuration/configuration_text.h"
#include "src/core/error.h"

namespace chalkshed {

// Reads TOML documents and the policy files that they refer to. A folder stands for all *.toml
// files in it, sorted by name. Policy file names are relative to the folder of the document and
// must not leave it. Errors: kInvalidRequest naming the file.
Expected<ConfigurationBundle> load_bundle(const std::vector<std::string>& paths);

}  // namespace chalkshed
