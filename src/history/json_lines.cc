#include "src/history/json_lines.h"

#include <nlohmann/json.hpp>
#include <type_traits>

namespace chalkshed {

using Json = nlohmann::json;

NLOHMANN_JSON_SERIALIZE_ENUM(CallKind, {{CallKind::kCompletion, "completion"},
                                        {CallKind::kStream, "stream"},
                                        {CallKind::kService, "service"},
                                        {CallKind::kSubmitJob, "submit_job"},
                                        {CallKind::kCancelJob, "cancel_job"},
                                        {CallKind::kConfigure, "configure"},
                                        {CallKind::kQuery, "query"}})
NLOHMANN_JSON_SERIALIZE_ENUM(CallOutcome, {{CallOutcome::kComplete, "complete"},
                                           {CallOutcome::kFailed, "failed"},
                                           {CallOutcome::kBroken, "broken"},
                                           {CallOutcome::kNotConnected, "not_connected"},
                                           {CallOutcome::kGaveUp, "gave_up"},
                                           {CallOutcome::kCutOffByExit, "cut_off_by_exit"}})
NLOHMANN_JSON_SERIALIZE_ENUM(RunOutcome, {{RunOutcome::kFinished, "finished"},
                                          {RunOutcome::kCancelled, "cancelled"},
                                          {RunOutcome::kRefused, "refused"},
                                          {RunOutcome::kLost, "lost"},
                                          {RunOutcome::kCutOffByExit, "cut_off_by_exit"}})

NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallBegan, call, request, node, kind,
                                                not_repeatable, expected_text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallArrived, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(CallEnded, call, outcome, text, error_kind,
                                                said_not_run)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunSent, node, request)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunArrived, backend, attempt, request, batch, step,
                                                sender)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunAdmitted, backend, attempt, step)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(RunEnded, backend, attempt, outcome, step)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobItem, custom_id, request, expected_text)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobOffered, key, items)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobAccepted, key, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobCancelRequested, job)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobReported, job, status)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobOutputLine, custom_id, text, error_kind,
                                                completion)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(JobOutput, job, lines, call)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProcessStarted, process, incarnation)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ProcessEnded, process)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FaultBegan, fault, kind, processes)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(FaultEnded, fault)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(LeavingChanged, backend, leaving, ordered_at)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(PlannedStop, process, ended)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigurationAccepted, version, change)
NLOHMANN_DEFINE_TYPE_NON_INTRUSIVE_WITH_DEFAULT(ConfigurationInForce, node, version, changes)

namespace {

// Event names, in the order of the alternatives of EventData.
constexpr std::array kEventNames{"call_began",
                                 "call_arrived",
                                 "call_ended",
                                 "run_sent",
                                 "run_arrived",
                                 "run_admitted",
                                 "run_ended",
                                 "job_offered",
                                 "job_accepted",
                                 "job_cancel_requested",
                                 "job_reported",
                                 "job_output",
                                 "process_started",
                                 "process_ended",
                                 "fault_began",
                                 "fault_ended",
                                 "leaving_changed",
                                 "planned_stop",
                                 "configuration_accepted",
                                 "configuration_in_force",
                                 "quiescent"};
static_assert(kEventNames.size() == std::variant_size_v<EventData>);

template <size_t Index = 0>
bool parse_data(std::string_view name, const Json& json, EventData& data) {
  if constexpr (Index < std::variant_size_v<EventData>) {
    if (name != kEventNames[Index]) {
      return parse_data<Index + 1>(name, json, data);
    }
    using Data = std::variant_alternative_t<Index, EventData>;
    if constexpr (std::is_empty_v<Data>) {
      data = Data{};
    } else {
      data = json.get<Data>();
    }
    return true;
  }
  return false;
}

}  // namespace

std::string format_event(const Event& event) {
  Json json = std::visit(
      []<typename Data>(const Data& data) {
        if constexpr (std::is_empty_v<Data>) {
          return Json::object();
        } else {
          return Json(data);
        }
      },
      event.data);
  json["time_us"] = event.time.time_since_epoch().count();
  json["event"] = kEventNames[event.data.index()];
  return json.dump(-1, ' ', false, Json::error_handler_t::replace);
}

Expected<Event> parse_event(std::string_view line) {
  try {
    const Json json = Json::parse(line);
    Event event;
    event.time = MonotonicTime(Duration(json.at("time_us").get<int64_t>()));
    const std::string name = json.at("event");
    if (!parse_data(name, json, event.data)) {
      return tl::unexpected(not_run(ErrorKind::kInvalidRequest, "unknown event '" + name + "'",
                                    "use a name listed in src/history/json_lines.cc"));
    }
    return event;
  } catch (const Json::exception& problem) {
    return tl::unexpected(not_run(ErrorKind::kInvalidRequest,
                                  std::string("malformed event: ") + problem.what(),
                                  "write one JSON object with time_us and event per line"));
  }
}

Expected<History> parse_history(std::string_view content) {
  History history;
  for (size_t number = 1; !content.empty(); ++number) {
    const size_t end = std::min(content.find('\n'), content.size());
    const std::string_view line = content.substr(0, end);
    content.remove_prefix(std::min(end + 1, content.size()));
    if (line.empty()) {
      continue;
    }
    Expected<Event> event = parse_event(line);
    if (!event) {
      event.error().message = "line " + std::to_string(number) + ": " + event.error().message;
      return tl::unexpected(event.error());
    }
    history.push_back(std::move(*event));
  }
  std::stable_sort(history.begin(), history.end(),
                   [](const Event& left, const Event& right) { return left.time < right.time; });
  return history;
}

}  // namespace chalkshed
