// Reads and writes histories as JSON Lines: one event per line, {"time_us", "event", ...fields}.
#pragma once

#include <string>
#include <string_view>

#include "src/core/error.h"
#include "src/history/event.h"

namespace chalkshed {

// @return one line without the trailing newline.
std::string format_event(const Event& event);

// Errors: kInvalidRequest for malformed lines and unknown events.
Expected<Event> parse_event(std::string_view line);

// Parses a whole file and sorts its events by time. Errors contain the line number.
Expected<History> parse_history(std::string_view content);

}  // namespace chalkshed
