// Exit codes of chalkshedctl.
#pragma once

#include "src/core/error.h"

namespace chalkshed {

enum class ExitCode {
  kSuccess = 0,
  kRefused = 1,      // rejected by the cluster or a check; nothing was changed
  kUsage = 2,        // invalid command line or file
  kConflict = 3,     // conflict with another operator's change; nothing was changed
  kUnreachable = 4,  // no node responded
  kTimedOut = 5,     // --wait reached its time limit
  kUnknown = 6,      // unknown whether the change was made
};

// @return the exit code for an error returned by a node.
inline ExitCode exit_code_of(const Error& error) {
  if (error.kind == ErrorKind::kOutcomeUnknown) {
    return ExitCode::kUnknown;
  }
  if (error.kind == ErrorKind::kConflict) {
    return ExitCode::kConflict;
  }
  return error.kind == ErrorKind::kUnavailable ? ExitCode::kUnreachable : ExitCode::kRefused;
}

}  // namespace chalkshed
