#include "src/settings/settings.h"

#include <toml++/toml.h>
#include <algorithm>
#include <charconv>
#include <fstream>
#include <functional>
#include <iterator>
#include <optional>
#include <set>
#include <sstream>

#include "src/event/socket_address.h"

namespace chalkshed {
namespace {

constexpr std::string_view kFlagSource = "flags";
constexpr size_t kMaxNameLength = 128;
constexpr size_t kMinKeyLength = 16;
constexpr size_t kMaxKeyLength = 256;

enum class FieldType { kText, kInteger };

// Validation error of a value.
struct ValueProblem {
  std::string message;
  std::string remedy;
};

struct Field {
  std::string name;
  FieldType type;
  bool required;
  std::string example;
  std::function<std::optional<ValueProblem>(Settings&, const std::string&)> set;
};

std::optional<ValueProblem> set_name(std::string& target, const std::string& value) {
  const bool valid =
      !value.empty() && value.size() <= kMaxNameLength &&
      std::all_of(value.begin(), value.end(), [](unsigned char letter) {
        return std::isalnum(letter) != 0 || letter == '-' || letter == '_' || letter == '.';
      });
  if (!valid) {
    return ValueProblem{
        "\"" + value + "\" is not a name",
        "use 1 to " + std::to_string(kMaxNameLength) + " letters, digits, '-', '_' or '.'"};
  }
  target = value;
  return std::nullopt;
}

// The problem does not contain the key, because problems are logged.
std::optional<ValueProblem> set_key(std::string& target, const std::string& value) {
  const bool valid = value.size() >= kMinKeyLength && value.size() <= kMaxKeyLength &&
                     std::all_of(value.begin(), value.end(),
                                 [](char letter) { return letter > ' ' && letter <= '~'; });
  if (!valid) {
    return ValueProblem{"not a key", "use " + std::to_string(kMinKeyLength) + " to " +
                                         std::to_string(kMaxKeyLength) +
                                         " printable ASCII characters without blanks"};
  }
  target = value;
  return std::nullopt;
}

std::optional<ValueProblem> set_address(Address& target, const std::string& value) {
  const std::optional<Address> address = parse_numeric_address(value);
  if (!address || address->port == 0) {
    return ValueProblem{"\"" + value + "\" is not an address",
                        "write an IP number and a port, such as 10.0.0.1:8080"};
  }
  target = *address;
  return std::nullopt;
}

// Accepts integers in [minimum, maximum].
std::optional<ValueProblem> read_number(uint64_t& target, const std::string& value,
                                        uint64_t minimum, uint64_t maximum) {
  uint64_t number = 0;
  const char* end = value.data() + value.size();
  const auto result = std::from_chars(value.data(), end, number);
  if (result.ec != std::errc() || result.ptr != end || number < minimum || number > maximum) {
    return ValueProblem{
        value + " is out of range",
        "choose an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum)};
  }
  target = number;
  return std::nullopt;
}

std::optional<ValueProblem> set_seconds(Duration& target, const std::string& value,
                                        uint64_t maximum) {
  uint64_t seconds = 0;
  std::optional<ValueProblem> problem = read_number(seconds, value, 1, maximum);
  if (!problem) {
    target = std::chrono::seconds(seconds);
  }
  return problem;
}

template <typename Choice>
std::optional<ValueProblem> set_choice(Choice& target, const std::string& value,
                                       const std::map<std::string, Choice>& choices) {
  const auto found = choices.find(value);
  if (found != choices.end()) {
    target = found->second;
    return std::nullopt;
  }
  std::string names;
  for (const auto& [name, choice] : choices) {
    names += (names.empty() ? "" : ", ") + name;
  }
  return ValueProblem{"\"" + value + "\" is not known", "choose one of " + names};
}

const std::map<std::string, LogLevel>& log_levels() {
  static const std::map<std::string, LogLevel> kLevels = {{"debug", LogLevel::kDebug},
                                                          {"info", LogLevel::kInfo},
                                                          {"warning", LogLevel::kWarning},
                                                          {"error", LogLevel::kError}};
  return kLevels;
}

const std::map<std::string, LogLineFormat>& log_formats() {
  static const std::map<std::string, LogLineFormat> kFormats = {{"text", LogLineFormat::kKeyValue},
                                                                {"json", LogLineFormat::kJson}};
  return kFormats;
}

Field name_field(std::string name, std::string example, std::string Settings::*member) {
  return {std::move(name), FieldType::kText, true, std::move(example),
          [member](Settings& settings, const std::string& value) {
            return set_name(settings.*member, value);
          }};
}

template <typename Group>
Field address_field(std::string name, std::string example, Group Settings::*group,
                    Address Group::*member) {
  return {std::move(name), FieldType::kText, true, std::move(example),
          [group, member](Settings& settings, const std::string& value) {
            return set_address((settings.*group).*member, value);
          }};
}

std::vector<Field> identity_fields() {
  return {
      name_field("id", "node-1", &Settings::id),
      name_field("zone", "zone-a", &Settings::zone),
      name_field("region", "region-1", &Settings::region),
      address_field("listen.http", "10.0.0.1:8080", &Settings::listen, &ListenSettings::http),
      address_field("listen.peer", "10.0.0.1:8081", &Settings::listen, &ListenSettings::peer),
      address_field("platform.table", "10.0.0.9:9000", &Settings::platform,
                    &PlatformSettings::table),
      address_field("platform.objects", "10.0.0.9:9000", &Settings::platform,
                    &PlatformSettings::objects),
      address_field("platform.machines", "10.0.0.9:9000", &Settings::platform,
                    &PlatformSettings::machines),
  };
}

std::vector<Field> limit_fields() {
  constexpr uint64_t kMaxHeaderBytes = 1ULL << 20;
  constexpr uint64_t kMaxBodyBytes = 4ULL << 30;
  constexpr uint64_t kMaxSeconds = 86'400;
  return {
      {"limits.max_header_bytes", FieldType::kInteger, false, "32768",
       [](Settings& settings, const std::string& value) {
         return read_number(settings.limits.max_header_bytes, value, 1024, kMaxHeaderBytes);
       }},
      {"limits.max_body_bytes", FieldType::kInteger, false, "268435456",
       [](Settings& settings, const std::string& value) {
         return read_number(settings.limits.max_body_bytes, value, 1024, kMaxBodyBytes);
       }},
      {"limits.idle_timeout_seconds", FieldType::kInteger, false, "30",
       [](Settings& settings, const std::string& value) {
         return set_seconds(settings.limits.idle_timeout, value, kMaxSeconds);
       }},
      {"limits.drain_timeout_seconds", FieldType::kInteger, false, "120",
       [](Settings& settings, const std::string& value) {
         return set_seconds(settings.limits.drain_timeout, value, kMaxSeconds);
       }},
      {"admin.key", FieldType::kText, false, "q7Yd0mX2vK8sTz41",
       [](Settings& settings, const std::string& value) {
         return set_key(settings.admin.key, value);
       }},
      {"log.level", FieldType::kText, false, "info",
       [](Settings& settings, const std::string& value) {
         return set_choice(settings.log.level, value, log_levels());
       }},
      {"log.format", FieldType::kText, false, "text",
       [](Settings& settings, const std::string& value) {
         return set_choice(settings.log.format, value, log_formats());
       }},
  };
}

const std::vector<Field>& all_fields() {
  static const std::vector<Field> kFields = [] {
    std::vector<Field> result = identity_fields();
    std::vector<Field> limits = limit_fields();
    std::move(limits.begin(), limits.end(), std::back_inserter(result));
    return result;
  }();
  return kFields;
}

// Applies a file and flags to settings and collects all problems.
class SettingsReader {
 public:
  explicit SettingsReader(std::string file_name) : file_name_(std::move(file_name)) {}

  void read_file(std::string_view content);
  void read_overrides(const SettingsOverrides& overrides);
  void check_required();
  tl::expected<Settings, std::vector<SettingsProblem>> result() &&;

 private:
  void read_table(const toml::table& table, const std::string& prefix);
  void read_value(const Field& field, const toml::node& node);
  void add_problem(uint32_t line, const std::string& field, ValueProblem problem);

  std::string file_name_;
  Settings settings_;
  std::set<std::string> present_;
  std::vector<SettingsProblem> problems_;
};

const Field* find_field(const std::string& name) {
  const std::vector<Field>& fields = all_fields();
  const auto found = std::find_if(fields.begin(), fields.end(),
                                  [&](const Field& field) { return field.name == name; });
  return found == fields.end() ? nullptr : &*found;
}

bool is_group(const std::string& name) {
  const std::vector<Field>& fields = all_fields();
  return std::any_of(fields.begin(), fields.end(),
                     [&](const Field& field) { return field.name.starts_with(name + "."); });
}

void SettingsReader::read_file(std::string_view content) {
  try {
    read_table(toml::parse(content), "");
  } catch (const toml::parse_error& error) {
    add_problem(error.source().begin.line, "(syntax)",
                {std::string(error.description()), "correct the TOML at this line"});
  }
}

void SettingsReader::read_table(const toml::table& table, const std::string& prefix) {
  for (const auto& [key, node] : table) {
    const std::string name = prefix + std::string(key.str());
    const uint32_t line = node.source().begin.line;
    if (const Field* field = find_field(name)) {
      read_value(*field, node);
    } else if (node.is_table() && is_group(name)) {
      read_table(*node.as_table(), name + ".");
    } else {
      add_problem(line, name,
                  {"unknown field",
                   "remove it or correct its name; docs/operators/daemon.md "
                   "lists the fields"});
    }
  }
}

void SettingsReader::read_value(const Field& field, const toml::node& node) {
  const uint32_t line = node.source().begin.line;
  present_.insert(field.name);
  std::string value;
  if (field.type == FieldType::kText && node.is_string()) {
    value = node.as_string()->get();
  } else if (field.type == FieldType::kInteger && node.is_integer()) {
    value = std::to_string(node.as_integer()->get());
  } else {
    const bool text = field.type == FieldType::kText;
    add_problem(line, field.name,
                {text ? "not a string" : "not an integer",
                 "write it as in " + field.name + " = " +
                     (text ? "\"" + field.example + "\"" : field.example)});
    return;
  }
  if (std::optional<ValueProblem> problem = field.set(settings_, value)) {
    add_problem(line, field.name, std::move(*problem));
  }
}

void SettingsReader::read_overrides(const SettingsOverrides& overrides) {
  for (const auto& [name, value] : overrides) {
    const Field* field = find_field(name);
    std::optional<ValueProblem> problem;
    if (field == nullptr) {
      problem = ValueProblem{"unknown field", "remove the flag"};
    } else {
      present_.insert(name);
      problem = field->set(settings_, value);
    }
    if (problem) {
      problems_.push_back({std::string(kFlagSource), 0, name, problem->message, problem->remedy});
    }
  }
}

void SettingsReader::check_required() {
  for (const Field& field : all_fields()) {
    if (field.required && !present_.contains(field.name)) {
      add_problem(0, field.name,
                  {"missing", "set it in the file or by a flag, for example " + field.name +
                                  " = \"" + field.example + "\""});
    }
  }
}

void SettingsReader::add_problem(uint32_t line, const std::string& field, ValueProblem problem) {
  const std::string source = file_name_.empty() ? std::string(kFlagSource) : file_name_;
  problems_.push_back({source, line, field, std::move(problem.message), std::move(problem.remedy)});
}

tl::expected<Settings, std::vector<SettingsProblem>> SettingsReader::result() && {
  if (!problems_.empty()) {
    return tl::unexpected(std::move(problems_));
  }
  return std::move(settings_);
}

}  // namespace

std::string to_string(const SettingsProblem& problem) {
  std::string text = problem.source;
  if (problem.line > 0) {
    text += ":" + std::to_string(problem.line);
  }
  return text + ": " + problem.field + ": " + problem.message + "; " + problem.remedy;
}

tl::expected<Settings, std::vector<SettingsProblem>> parse_settings(
    std::string_view content, const std::string& file_name, const SettingsOverrides& overrides) {
  SettingsReader reader(file_name);
  reader.read_file(content);
  reader.read_overrides(overrides);
  reader.check_required();
  return std::move(reader).result();
}

tl::expected<Settings, std::vector<SettingsProblem>> load_settings(
    const std::string& file_name, const SettingsOverrides& overrides) {
  if (file_name.empty()) {
    return parse_settings("", "", overrides);
  }
  std::ifstream file(file_name, std::ios::binary);
  std::ostringstream content;
  if (!file || !(content << file.rdbuf())) {
    return tl::unexpected(std::vector<SettingsProblem>{
        {file_name, 0, "(file)", "cannot be read or is empty", "check the name and permissions"}});
  }
  return parse_settings(content.str(), file_name, overrides);
}

std::vector<std::string> settings_fields() {
  std::vector<std::string> names;
  for (const Field& field : all_fields()) {
    names.push_back(field.name);
  }
  return names;
}

}  // namespace chalkshed
