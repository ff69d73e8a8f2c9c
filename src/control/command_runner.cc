#include "src/control/command_runner.h"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "src/configuration/configuration_request.h"
#include "src/control/bundle_loader.h"
#include "src/control/listings.h"
#include "src/control/progress_bar.h"

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr Duration kWaitPollInterval = std::chrono::milliseconds(500);
constexpr uint64_t kDefaultHistoryLength = 20;

HttpRequest get(std::string path, std::string query = "") {
  HttpRequest request;
  request.method = "GET";
  request.path = std::move(path);
  request.query = std::move(query);
  return request;
}

HttpRequest post(std::string path, std::string body = "") {
  HttpRequest request;
  request.method = "POST";
  request.path = std::move(path);
  request.headers.push_back({"Content-Type", "application/json"});
  request.body = std::move(body);
  return request;
}

std::string version_query(std::optional<ConfigurationVersion> version) {
  return version ? "version=" + std::to_string(*version) : "";
}

// Returns the fallback for missing fields, so that an older tool works with newer nodes.
template <typename Value>
Value field(const std::string& answer, const char* pointer, Value fallback) {
  const json root = json::parse(answer, nullptr, false);
  const json::json_pointer where(pointer);
  if (!root.is_object() || !root.contains(where)) {
    return fallback;
  }
  try {
    return root.at(where).get<Value>();
  } catch (const json::exception&) {
    return fallback;
  }
}

std::string format_difference(const std::string& answer) {
  const auto difference = field<std::string>(answer, "/difference", "");
  return difference.empty() ? "no difference\n" : difference;
}

}  // namespace

ExitCode CommandRunner::run(const OperatorCommand& command) {
  switch (command.kind) {
    case CommandKind::kListServices:
      return list(command, get("/admin/services"));
    case CommandKind::kListPolicies:
      return list(command, get("/admin/policies"));
    case CommandKind::kListNodes:
      return list(command, get("/admin/nodes"));
    case CommandKind::kListWorkers:
      return list(command, get("/admin/workers"));
    case CommandKind::kListJobs:
      return list(command, get("/admin/jobs"));
    case CommandKind::kConfigurationHistory:
      return list(command,
                  get("/admin/configuration/history",
                      "limit=" + std::to_string(command.limit.value_or(kDefaultHistoryLength))));
    case CommandKind::kShowConfiguration:
      return show_configuration(command);
    case CommandKind::kCheckConfiguration:
      return check_configuration(command);
    case CommandKind::kApplyConfiguration:
      return apply_configuration(command);
    case CommandKind::kConfigurationStatus:
      return configuration_status(command);
    case CommandKind::kDrainWorker:
    case CommandKind::kRestoreWorker:
      return change_worker_state(command);
    case CommandKind::kShowJob:
    case CommandKind::kCancelJob:
      return handle_job(command);
    case CommandKind::kListQuarantine:
      return list(command, get("/admin/quarantine"));
    case CommandKind::kListItems:
      return list(command, get("/admin/items"));
    case CommandKind::kReleaseContent:
      return list(command, post("/admin/quarantine/" + command.name + "/release"));
  }
  return ExitCode::kUsage;
}

// ---- Configuration.

ExitCode CommandRunner::show_configuration(const OperatorCommand& command) {
  ExitCode exit_code = ExitCode::kSuccess;
  std::string query = version_query(command.version);
  if (command.secrets) {
    query += query.empty() ? "secrets=1" : "&secrets=1";
  }
  const auto answer = call_node(get("/admin/configuration", query), exit_code);
  if (answer) {
    terminal_.output << (command.json ? *answer : field<std::string>(*answer, "/text", ""));
  }
  return exit_code;
}

ExitCode CommandRunner::check_configuration(const OperatorCommand& command) {
  auto bundle = load_bundle(command.paths);
  if (!bundle) {
    print_error(bundle.error());
    return ExitCode::kUsage;
  }
  ApplyRequest request;
  request.bundle = *std::move(bundle);
  ExitCode exit_code = ExitCode::kSuccess;
  const auto answer =
      call_node(post("/admin/configuration/check", encode_apply_request(request)), exit_code);
  if (!answer) {
    return exit_code;
  }
  if (command.json) {
    terminal_.output << *answer;
    return exit_code;
  }
  terminal_.output << "valid; " << field<uint64_t>(*answer, "/samples", 0)
                   << " policy samples passed\n"
                   << "difference from version " << field<uint64_t>(*answer, "/current_version", 0)
                   << ":\n"
                   << format_difference(*answer);
  return exit_code;
}

ExitCode CommandRunner::apply_configuration(const OperatorCommand& command) {
  auto bundle = load_bundle(command.paths);
  if (!bundle) {
    print_error(bundle.error());
    return ExitCode::kUsage;
  }
  ApplyRequest request;
  request.bundle = *std::move(bundle);
  request.base_version = command.version;
  request.author = command.author;
  request.comment = command.comment;
  const auto response = caller_.call(post("/admin/configuration", encode_apply_request(request)));
  if (!response) {
    return print_error(response.error());
  }
  const std::string& answer = response->body;
  if (const auto error = error_of(*response)) {
    const ExitCode exit_code = print_error(*error);
    if (command.json) {
      terminal_.output << answer;
    } else if (exit_code == ExitCode::kConflict) {
      terminal_.messages << "changed by others since your base version:\n"
                         << format_difference(answer);
    }
    return exit_code;
  }
  const auto version = field<uint64_t>(answer, "/version", 0);
  if (command.json && !command.wait) {
    terminal_.output << answer;
  } else if (!command.json) {
    const bool changed = field<bool>(answer, "/changed", true);
    terminal_.output << "version " << version
                     << (changed ? " accepted:\n" + format_difference(answer)
                                 : " is already in force; nothing to change\n");
  }
  return command.wait ? wait_for_version(command, version) : ExitCode::kSuccess;
}

ExitCode CommandRunner::configuration_status(const OperatorCommand& command) {
  if (command.wait) {
    return wait_for_version(command, command.version);
  }
  return list(command, get("/admin/configuration/status", version_query(command.version)));
}

ExitCode CommandRunner::wait_for_version(const OperatorCommand& command,
                                         std::optional<ConfigurationVersion> version) {
  if (!version) {
    // Waits for the version that is the newest now; later versions do not extend the wait.
    ExitCode exit_code = ExitCode::kSuccess;
    const auto answer = call_node(get("/admin/configuration/status"), exit_code);
    if (!answer) {
      return exit_code;
    }
    version = field<uint64_t>(*answer, "/version", 0);
  }
  return wait(command, CommandKind::kConfigurationStatus,
              get("/admin/configuration/status", version_query(version)),
              "version " + std::to_string(*version) + " in force on nodes",
              [](const std::string& answer) {
                const auto lagging = field<std::vector<std::string>>(answer, "/lagging", {});
                Progress progress;
                progress.total = field<json>(answer, "/members", json::array()).size();
                progress.done = progress.total - std::min<uint64_t>(progress.total, lagging.size());
                progress.complete = field<bool>(answer, "/in_force_everywhere", false);
                progress.note = lagging.empty() ? "" : "waiting for " + lagging.front();
                return progress;
              });
}

// ---- Workers and jobs.

ExitCode CommandRunner::change_worker_state(const OperatorCommand& command) {
  const bool drain = command.kind == CommandKind::kDrainWorker;
  const HttpRequest request =
      post("/admin/workers/" + command.name + (drain ? "/drain" : "/restore"));
  if (!command.wait) {
    return list(command, request);
  }
  ExitCode exit_code = ExitCode::kSuccess;
  if (!call_node(request, exit_code)) {
    return exit_code;
  }
  uint64_t max_remaining = 0;
  return wait(command, CommandKind::kListWorkers, get("/admin/workers"),
              "sequences finished on " + command.name,
              [&max_remaining, name = command.name](const std::string& answer) {
                Progress progress;
                progress.complete = true;
                uint64_t remaining = 0;
                for (const json& worker : field<json>(answer, "/workers", json::array())) {
                  if (worker.value("id", "") == name) {
                    const json load = worker.value("load", json::object());
                    for (const char* kind :
                         {"running_online", "running_batch", "waiting_online", "waiting_batch"}) {
                      remaining += load.value(kind, uint64_t{0});
                    }
                    remaining = std::max(remaining, worker.value("in_flight", uint64_t{0}));
                  }
                }
                max_remaining = std::max(max_remaining, remaining);
                progress.complete = remaining == 0;
                progress.total = max_remaining;
                progress.done = max_remaining - remaining;
                return progress;
              });
}

ExitCode CommandRunner::handle_job(const OperatorCommand& command) {
  const HttpRequest show = get("/admin/jobs/" + command.name);
  const bool cancel = command.kind == CommandKind::kCancelJob;
  const HttpRequest request = cancel ? post("/admin/jobs/" + command.name + "/cancel") : show;
  if (!command.wait) {
    return list(command, request);
  }
  ExitCode exit_code = ExitCode::kSuccess;
  if (cancel && !call_node(request, exit_code)) {
    return exit_code;
  }
  return wait(command, CommandKind::kShowJob, show, "items of " + command.name,
              [](const std::string& answer) {
                const auto status = field<std::string>(answer, "/status", "");
                Progress progress;
                progress.total = field<uint64_t>(answer, "/request_counts/total", 0);
                progress.done = field<uint64_t>(answer, "/request_counts/completed", 0) +
                                field<uint64_t>(answer, "/request_counts/failed", 0);
                progress.complete = status == "completed" || status == "cancelled";
                progress.note = status;
                return progress;
              });
}

// ---- Shared helpers.

ExitCode CommandRunner::list(const OperatorCommand& command, const HttpRequest& request) {
  ExitCode exit_code = ExitCode::kSuccess;
  const auto answer = call_node(request, exit_code);
  return answer ? print_answer(command, *answer) : exit_code;
}

ExitCode CommandRunner::print_answer(const OperatorCommand& command, const std::string& answer) {
  if (command.json) {
    terminal_.output << answer << (answer.ends_with('\n') ? "" : "\n");
    return ExitCode::kSuccess;
  }
  const auto table = format_listing(command.kind, answer);
  if (!table) {
    return print_error(table.error());
  }
  terminal_.output << *table;
  return ExitCode::kSuccess;
}

ExitCode CommandRunner::wait(const OperatorCommand& command, CommandKind output_kind,
                             const HttpRequest& request, const std::string& label,
                             const ReadProgress& read_progress) {
  const MonotonicTime deadline = terminal_.time_source.monotonic_now() + command.wait_limit;
  ExitCode exit_code = ExitCode::kSuccess;
  std::optional<std::string> answer;
  bool complete = false;
  {
    ProgressBar bar(terminal_, label);
    while (true) {
      answer = call_node(request, exit_code);
      if (!answer) {
        return exit_code;
      }
      const Progress progress = read_progress(*answer);
      bar.show(progress.done, progress.total, progress.note);
      complete = progress.complete;
      if (complete || terminal_.time_source.monotonic_now() >= deadline) {
        break;
      }
      terminal_.pause(kWaitPollInterval);
    }
  }
  OperatorCommand output_command = command;
  output_command.kind = output_kind;
  exit_code = print_answer(output_command, *answer);
  if (!complete) {
    terminal_.messages << "chalkshedctl: not complete after "
                       << command.wait_limit / std::chrono::seconds(1)
                       << " s; the operation continues. Wait longer with --timeout=<seconds>\n";
    return ExitCode::kTimedOut;
  }
  return exit_code;
}

std::optional<std::string> CommandRunner::call_node(const HttpRequest& request,
                                                    ExitCode& exit_code) {
  auto response = caller_.call(request);
  if (!response) {
    exit_code = print_error(response.error());
    return std::nullopt;
  }
  if (const auto error = error_of(*response)) {
    exit_code = print_error(*error);
    return std::nullopt;
  }
  return std::move(response->body);
}

ExitCode CommandRunner::print_error(const Error& error) {
  terminal_.messages << "chalkshedctl: " << error.message << "\n  " << error.remedy << "\n";
  if (error.ran == Ran::kUnknown) {
    terminal_.messages << "  it is unknown whether the operation took effect\n";
  }
  return exit_code_of(error);
}

}  // namespace chalkshed
