// Sets knobs of a run by name from the command line, for tuning.
#pragma once

#include <string>

#include "bench/deployment.h"
#include "bench/virtual_run.h"
#include "src/core/error.h"

namespace chalkshed::bench {

// @param assignment "name=value"; names as in kOverrides of the source file.
// Errors: kInvalidSetting.
std::optional<Error> apply_override(const std::string& assignment, RunSettings& settings,
                                    Deployment& deployment);

}  // namespace chalkshed::bench
