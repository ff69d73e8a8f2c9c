// Formats the nodes' JSON responses as tables.
#pragma once

#include <string>
#include <string_view>

#include "src/control/operator_command.h"
#include "src/core/error.h"

namespace chalkshed {

// @return the response to a listing command as a table. Errors: kInternal when the response does
// not have the format of this release.
Expected<std::string> format_listing(CommandKind kind, std::string_view answer);

}  // namespace chalkshed
