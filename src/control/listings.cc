#include "src/control/listings.h"

#include <ctime>
#include <nlohmann/json.hpp>

#include "src/control/text_table.h"

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr int64_t kMicrosecondsPerSecond = 1'000'000;

// A column: its heading, and the JSON pointer to its value in an entry.
struct Column {
  const char* heading;
  const char* pointer;
  std::string (*format)(const json& value) = nullptr;
};

std::string format_value(const json& value) {
  if (value.is_string()) {
    return value.get<std::string>().empty() ? "-" : value.get<std::string>();
  }
  if (value.is_boolean()) {
    return value.get<bool>() ? "yes" : "no";
  }
  if (value.is_array()) {
    std::string text;
    for (const json& element : value) {
      text += (text.empty() ? "" : ",") + format_value(element);
    }
    return text.empty() ? "-" : text;
  }
  return value.is_null() ? "-" : value.dump();
}

std::string time_of_seconds(const json& value) {
  if (!value.is_number()) {
    return "-";
  }
  const auto seconds = static_cast<std::time_t>(value.get<int64_t>());
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::array<char, 32> text{};
  std::strftime(text.data(), text.size(), "%Y-%m-%d %H:%M:%SZ", &parts);
  return text.data();
}

std::string time_of_microseconds(const json& value) {
  return value.is_number() ? time_of_seconds(value.get<int64_t>() / kMicrosecondsPerSecond) : "-";
}

struct Listing {
  const char* entries;  // name of the array in the response
  std::vector<Column> columns;
};

Listing listing_of(CommandKind kind) {
  switch (kind) {
    case CommandKind::kListServices:
      return {"services",
              {{"SERVICE", "/name"},
               {"KIND", "/kind"},
               {"MODELS", "/models"},
               {"POLICY", "/policy"},
               {"DEADLINE", "/request_deadline_seconds"},
               {"BATCH", "/batch_enabled"}}};
    case CommandKind::kListPolicies:
      return {"policies",
              {{"POLICY", "/name"}, {"SERVICES", "/services"}, {"SAMPLES", "/samples"}}};
    case CommandKind::kConfigurationHistory:
      return {"versions",
              {{"VERSION", "/version"},
               {"ACCEPTED", "/accepted_at_microseconds", time_of_microseconds},
               {"AUTHOR", "/author"},
               {"NODE", "/origin"},
               {"COMMENT", "/comment"}}};
    case CommandKind::kConfigurationStatus:
      return {"members",
              {{"NODE", "/id"},
               {"ZONE", "/zone"},
               {"APPLIES", "/applied_version"},
               {"KNOWS", "/known_version"},
               {"SERVES", "/serving"},
               {"CUT OFF", "/cut_off"},
               {"PROBLEM", "/problem"}}};
    case CommandKind::kListWorkers:
      return {"workers",
              {{"WORKER", "/id"},
               {"SERVICE", "/service"},
               {"ADDRESS", "/address"},
               {"ZONE", "/zone"},
               {"STATE", "/state"},
               {"WHY", "/why"},
               {"ONLINE", "/load/running_online"},
               {"BATCH", "/load/running_batch"},
               {"WAITING", "/load/waiting_online"}}};
    case CommandKind::kListJobs:
      return {"data",
              {{"JOB", "/id"},
               {"TENANT", "/tenant"},
               {"STATUS", "/status"},
               {"ITEMS", "/request_counts/total"},
               {"COMPLETED", "/request_counts/completed"},
               {"FAILED", "/request_counts/failed"},
               {"CREATED", "/created_at", time_of_seconds}}};
    case CommandKind::kListQuarantine:
    case CommandKind::kReleaseContent:
      return {"contents",
              {{"CONTENT", "/content"},
               {"WORKERS ENDED", "/workers_ended"},
               {"HELD", "/held"},
               {"NEXT TRIAL MS", "/next_trial_ms"},
               {"KIND", "/kind"}}};
    case CommandKind::kListItems:
      return {"items",
              {{"JOB", "/job"},
               {"ITEM", "/item"},
               {"WAITS FOR", "/wait"},
               {"WAITED MS", "/waited_ms"},
               {"ENDS IN MS", "/ends_in_ms"},
               {"WORKERS ENDED", "/workers_ended"},
               {"CONTENT", "/content"}}};
    default:
      return {"nodes",
              {{"NODE", "/id"},
               {"ADDRESS", "/http_address"},
               {"ZONE", "/zone"},
               {"REGION", "/region"},
               {"STATE", "/state"},
               {"INCARNATION", "/incarnation"}}};
  }
}

TableRow row_of(const json& entry, const std::vector<Column>& columns) {
  TableRow row;
  for (const Column& column : columns) {
    const json::json_pointer pointer(column.pointer);
    const json value = entry.contains(pointer) ? entry.at(pointer) : json();
    row.push_back(column.format != nullptr ? column.format(value) : format_value(value));
  }
  return row;
}

// Formats one entry as rows of field and value.
std::string format_fields(const json& entry, const std::vector<Column>& columns) {
  std::vector<TableRow> rows;
  const TableRow values = row_of(entry, columns);
  for (size_t index = 0; index < columns.size(); ++index) {
    rows.push_back({columns[index].heading, values[index]});
  }
  return format_table({"FIELD", "VALUE"}, rows);
}

}  // namespace

Expected<std::string> format_listing(CommandKind kind, std::string_view answer) {
  const json root = json::parse(answer, nullptr, false);
  const bool one_job = kind == CommandKind::kShowJob || kind == CommandKind::kCancelJob;
  const bool one_worker = kind == CommandKind::kDrainWorker || kind == CommandKind::kRestoreWorker;
  const Listing listing = listing_of(one_job      ? CommandKind::kListJobs
                                     : one_worker ? CommandKind::kListWorkers
                                                  : kind);
  if (root.is_object() && (one_job || one_worker)) {
    return format_fields(root, listing.columns);
  }
  if (!root.is_object() || !root.contains(listing.entries) || !root[listing.entries].is_array()) {
    return tl::unexpected(
        not_run(ErrorKind::kInternal,
                "the node's response contains no list of " + std::string(listing.entries),
                "use a chalkshedctl of the same release as the node"));
  }
  std::vector<TableRow> rows;
  TableRow headings;
  for (const Column& column : listing.columns) {
    headings.emplace_back(column.heading);
  }
  for (const json& entry : root[listing.entries]) {
    rows.push_back(row_of(entry, listing.columns));
  }
  return format_table(headings, rows);
}

}  // namespace chalkshed
