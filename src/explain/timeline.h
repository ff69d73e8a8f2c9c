// Merges the logs of several nodes into a timeline for the id of a request, a job or a worker: the
// lines that contain the id, and those that changed the state known to the involved nodes
// meanwhile.
#pragma once

#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalkshed {

struct LogLineField {
  std::string name;
  std::string value;
};

// One structured log line.
struct LogLine {
  std::string time;  // as logged, in UTC; sorts lexicographically
  std::string level;
  std::string node;
  std::string event;
  std::vector<LogLineField> fields;  // in the order of the line, without the above
  bool names_id = false;             // false for context lines

  // @return the value of the field, or an empty string.
  std::string_view field(std::string_view name) const;
};

// Parses a line; everything before the first '{' is ignored, so that lines with a prefix added by a
// log collector are accepted too.
// @return nothing if it is not a structured log line.
std::optional<LogLine> parse_log_line(std::string_view line);

// Context starts this long before the first line with the id and ends this long after the last.
inline constexpr int kContextSeconds = 3;

// @return the lines that contain `id`, or the id of another attempt at the same stream, and, as
// context, the involved nodes' lines about the workers
// used, the store, the configuration, other nodes and shutdowns, ordered by time.
std::vector<LogLine> make_timeline(const std::vector<LogLine>& lines, const std::string& id);

// @return one sentence about the origin of the request that a back end received under `id`: the
// caller of a request, the job of an item with its acceptance and end, or that it is not logged.
std::string describe_origin(const std::vector<LogLine>& lines, const std::string& id);

// Prints one line per entry, with seconds since the first line that contains the id.
void print_timeline(const std::vector<LogLine>& timeline, std::ostream& output);
// Prints one JSON object per line.
void print_timeline_json(const std::vector<LogLine>& timeline, std::ostream& output);

}  // namespace chalkshed
