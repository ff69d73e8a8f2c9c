// Settings of one chalkshedd process, from a TOML file and flags. Flags override the file.
#pragma once

#include <map>
#include <string>
#include <string_view>
#include <tl/expected.hpp>
#include <vector>

#include "src/core/address.h"
#include "src/core/time.h"
#include "src/logging/structured_logger.h"

namespace chalkshed {

struct ListenSettings {
  Address http;  // callers, operators and peers
  Address peer;  // UDP, membership
};

struct PlatformSettings {
  Address table;
  Address objects;
  Address machines;
};

struct LimitSettings {
  uint64_t max_header_bytes = 32 * 1024;
  uint64_t max_body_bytes = 256ULL * 1024 * 1024;  // the whole input of a batch job is one body
  Duration idle_timeout = std::chrono::seconds(30);
  // How long a graceful shutdown waits for requests in progress before it aborts them.
  Duration drain_timeout = std::chrono::seconds(120);
};

struct AdminSettings {
  std::string key;  // operators' key; empty: /admin/ accepts loopback connections only
};

struct LogSettings {
  LogLevel level = LogLevel::kInfo;
  LogLineFormat format = LogLineFormat::kKeyValue;
};

struct Settings {
  std::string id;
  std::string zone;
  std::string region;
  ListenSettings listen;
  PlatformSettings platform;
  LimitSettings limits;
  AdminSettings admin;
  LogSettings log;
};

// An error in the settings.
struct SettingsProblem {
  std::string source;  // file name, or "flags"
  uint32_t line = 0;   // 0 when the value is missing or came from a flag
  std::string field;   // as in the file, e.g. "listen.http"
  std::string message;
  std::string remedy;
};

// @return "source:line: field: message; remedy".
std::string to_string(const SettingsProblem& problem);

// Values by field name ("listen.http"), as text.
using SettingsOverrides = std::map<std::string, std::string>;

// @param content TOML; may be empty when flags set all required fields.
// @return the settings, or every problem found.
tl::expected<Settings, std::vector<SettingsProblem>> parse_settings(
    std::string_view content, const std::string& file_name, const SettingsOverrides& overrides);

// Like parse_settings(), with the content of the file; no file is read if the name is empty.
tl::expected<Settings, std::vector<SettingsProblem>> load_settings(
    const std::string& file_name, const SettingsOverrides& overrides);

// @return names of all fields that a file or flag can set, in documentation order.
std::vector<std::string> settings_fields();

}  // namespace chalkshed
