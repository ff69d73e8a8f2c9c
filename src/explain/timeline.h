// From the logs of several nodes and the id of a request, a job or a worker to one timeline: the
// lines that name the id, and those that changed what the nodes concerned believed meanwhile.
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
  std::string time;  // as written, UTC; sorts as text
  std::string level;
  std::string node;
  std::string event;
  std::vector<LogLineField> fields;  // in the order of the line, without those above
  bool names_id = false;             // false: context

  // @return the field's value, or an empty text.
  std::string_view field(std::string_view name) const;
};

// Reads a line; whatever stands before its first '{' is ignored, so that lines with a prefix of a
// log collector can be read too.
// @return nothing when it is no structured log line.
std::optional<LogLine> parse_log_line(std::string_view line);

// What a node believed is told from this long before the first line that names the id.
inline constexpr int kContextSeconds = 3;

// @return the lines that name `id`, and as context: those of the workers that were asked, and on
// the nodes concerned those about the store, the configuration, other nodes, and stops; in order of
// time.
std::vector<LogLine> make_timeline(const std::vector<LogLine>& lines, const std::string& id);

// @return in a sentence who had sent what a back end saw under `id`: the caller of a request, the
// job of an item with its acceptance and its end, or nobody as far as the lines tell.
std::string describe_origin(const std::vector<LogLine>& lines, const std::string& id);

// Prints one line each, with seconds since the first that names the id.
void print_timeline(const std::vector<LogLine>& timeline, std::ostream& output);
// Prints one JSON object a line.
void print_timeline_json(const std::vector<LogLine>& timeline, std::ostream& output);

}  // namespace chalkshed
