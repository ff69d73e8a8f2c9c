// Terminal of chalkshedctl: its output streams and how it waits.
#pragma once

#include <functional>
#include <ostream>

#include "src/core/time.h"

namespace chalkshed {

// All references must outlive it.
struct Terminal {
  std::ostream& output;
  std::ostream& messages;    // errors and progress
  bool interactive = false;  // messages are written to a terminal that can draw a progress bar
  std::function<void(Duration)> pause;
  const TimeSource& time_source;
};

}  // namespace chalkshed
