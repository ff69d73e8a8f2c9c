#include "src/explain/timeline.h"

#include <algorithm>
#include <array>
#include <cstdio>
#include <ctime>
#include <iomanip>
#include <nlohmann/json.hpp>
#include <ostream>
#include <set>

namespace chalkshed {
namespace {

// Events that change the state known to a node, independent of any request.
constexpr std::array<std::string_view, 17> kStateEvents = {
    "store_lost",          "store_regained",        "table_history_lost",
    "table_listed",        "configuration_applied", "configuration_rejected",
    "peer_announced",      "session_lapsed",        "session_regained",
    "process_stood_still", "node_started",          "node_stopped",
    "drain_began",         "drain_ended",           "settings_reloaded",
    "settings_rejected",   "log_lines_dropped"};

bool is_state_event(const LogLine& line) {
  return std::find(kStateEvents.begin(), kStateEvents.end(), line.event) != kStateEvents.end();
}

// @return seconds since 1970 for a time such as 2026-12-02T09:15:35.123456Z; 0 if it is malformed.
double seconds_of(const std::string& time) {
  std::tm parts{};
  double fraction = 0;
  const char* rest = strptime(time.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (rest == nullptr) {
    return 0;
  }
  if (*rest == '.') {
    fraction = std::strtod(rest, nullptr);
  }
  return static_cast<double>(timegm(&parts)) + fraction;
}

bool contains_id(const LogLine& line, const std::set<std::string>& ids) {
  return std::any_of(line.fields.begin(), line.fields.end(),
                     [&](const LogLineField& field) { return ids.contains(field.value); });
}

// @return the id, and those of all attempts at the same stream: a caller that takes its stream up
// again uses a new id and names the first attempt.
std::set<std::string> attempts_of(const std::vector<LogLine>& lines, const std::string& id) {
  std::set<std::string> ids = {id};
  for (size_t before = 0; before != ids.size();) {
    before = ids.size();
    for (const LogLine& line : lines) {
      const std::string request(line.field("request"));
      const std::string first(line.field("first_attempt"));
      if (!first.empty() && (ids.contains(request) || ids.contains(first))) {
        ids.insert({request, first});
      }
    }
  }
  return ids;
}

std::string text_of(const nlohmann::json& value) {
  return value.is_string() ? value.get<std::string>() : value.dump();
}

// @return the earliest line that satisfies `matches`, or null.
template <typename Matches>
const LogLine* first_line(const std::vector<LogLine>& lines, const Matches& matches) {
  const LogLine* first = nullptr;
  for (const LogLine& line : lines) {
    if (matches(line) && (first == nullptr || line.time < first->time)) {
      first = &line;
    }
  }
  return first;
}

const LogLine* first_of_job(const std::vector<LogLine>& lines, std::string_view job,
                            std::string_view event) {
  return first_line(
      lines, [&](const LogLine& line) { return line.event == event && line.field("job") == job; });
}

std::string node_and_time(const LogLine& line) { return "by " + line.node + " at " + line.time; }

std::string describe_job(const std::vector<LogLine>& lines, const std::string& job) {
  std::string text = "job " + job;
  const LogLine* accepted = first_of_job(lines, job, "job_accepted");
  const LogLine* rejected = first_of_job(lines, job, "job_not_accepted");
  const LogLine* ended = first_of_job(lines, job, "job_ended");
  text += accepted == nullptr ? ", whose acceptance is not logged"
                              : ", accepted " + node_and_time(*accepted);
  text += rejected == nullptr ? "" : ", not accepted " + node_and_time(*rejected);
  text += ended == nullptr ? "" : ", ended " + node_and_time(*ended);
  return text;
}

}  // namespace

std::string describe_origin(const std::vector<LogLine>& lines, const std::string& id) {
  const LogLine* first = first_line(lines, [&](const LogLine& line) {
    return line.field("request") == id || line.field("job") == id;
  });
  if (first == nullptr) {
    return id + ": its sender is not logged (starts of items are logged at level debug)";
  }
  const std::string job(first->field("job"));
  if (job == id) {
    return id + " is " + describe_job(lines, job);
  }
  if (!job.empty()) {
    return id + " is an item of " + describe_job(lines, job);
  }
  return id + " is a request of a caller, first logged " + node_and_time(*first);
}

std::string_view LogLine::field(std::string_view name) const {
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [&](const LogLineField& entry) { return entry.name == name; });
  return found == fields.end() ? std::string_view() : std::string_view(found->value);
}

std::optional<LogLine> parse_log_line(std::string_view text) {
  const size_t begin = text.find('{');
  if (begin == std::string_view::npos) {
    return std::nullopt;
  }
  const auto json = nlohmann::ordered_json::parse(text.substr(begin), nullptr, false);
  if (!json.is_object() || !json.contains("event")) {
    return std::nullopt;
  }
  LogLine line;
  for (const auto& [name, value] : json.items()) {
    if (name == "time") {
      line.time = text_of(value);
    } else if (name == "level") {
      line.level = text_of(value);
    } else if (name == "node") {
      line.node = text_of(value);
    } else if (name == "event") {
      line.event = text_of(value);
    } else {
      line.fields.push_back({name, text_of(value)});
    }
  }
  return line;
}

std::vector<LogLine> make_timeline(const std::vector<LogLine>& lines, const std::string& id) {
  const std::set<std::string> ids = attempts_of(lines, id);
  std::set<std::string> nodes;
  std::set<std::string> workers;
  double first = 0;
  double last = 0;
  for (const LogLine& line : lines) {
    if (!contains_id(line, ids)) {
      continue;
    }
    nodes.insert(line.node);
    if (const std::string_view worker = line.field("worker"); !worker.empty()) {
      workers.emplace(worker);
    }
    const double time = seconds_of(line.time);
    first = first == 0 ? time : std::min(first, time);
    last = std::max(last, time);
  }
  std::vector<LogLine> timeline;
  for (const LogLine& line : lines) {
    const double time = seconds_of(line.time);
    const bool in_window = time >= first - kContextSeconds && time <= last + kContextSeconds;
    const bool about_worker =
        line.event.starts_with("worker_") && workers.contains(std::string(line.field("worker")));
    const bool context =
        in_window && nodes.contains(line.node) && (is_state_event(line) || about_worker);
    if (contains_id(line, ids) || context) {
      timeline.push_back(line);
      timeline.back().names_id = contains_id(line, ids);
    }
  }
  std::stable_sort(timeline.begin(), timeline.end(),
                   [](const LogLine& a, const LogLine& b) { return a.time < b.time; });
  return timeline;
}

void print_timeline(const std::vector<LogLine>& timeline, std::ostream& output) {
  const auto first = std::find_if(timeline.begin(), timeline.end(),
                                  [](const LogLine& line) { return line.names_id; });
  const double zero = first == timeline.end() ? 0 : seconds_of(first->time);
  for (const LogLine& line : timeline) {
    output << (line.names_id ? "* " : "  ") << std::showpos << std::fixed << std::setprecision(3)
           << std::setw(9) << seconds_of(line.time) - zero << std::noshowpos << " s  " << line.node
           << "  " << line.event;
    for (const LogLineField& field : line.fields) {
      output << "  " << field.name << '=' << field.value;
    }
    output << '\n';
  }
}

void print_timeline_json(const std::vector<LogLine>& timeline, std::ostream& output) {
  for (const LogLine& line : timeline) {
    nlohmann::ordered_json object = {{"time", line.time},
                                     {"level", line.level},
                                     {"node", line.node},
                                     {"event", line.event},
                                     {"names_id", line.names_id}};
    for (const LogLineField& field : line.fields) {
      object[field.name] = field.value;
    }
    output << object.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace) << '\n';
  }
}

}  // namespace chalkshed
