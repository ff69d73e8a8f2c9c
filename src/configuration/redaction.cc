#include "src/configuration/redaction.h"

#include <algorithm>
#include <array>
#include <map>
#include <string_view>

namespace chalkshed {
namespace {

constexpr std::array<std::string_view, 2> kKeyLines = {"+api_key = ", "-api_key = "};

std::string redacted_line(const std::string& line) {
  for (const std::string_view start : kKeyLines) {
    if (line.starts_with(start)) {
      return std::string(start) + "(not shown)";
    }
  }
  return line;
}

}  // namespace

std::string kept_key(const std::string& tenant) { return "(kept:" + tenant + ")"; }

Configuration redacted(const Configuration& configuration) {
  Configuration shown = configuration;
  for (auto& [name, tenant] : shown.tenants) {
    tenant.api_key = kept_key(name);
  }
  return shown;
}

std::string redacted_difference(const std::string& difference) {
  std::string shown;
  for (size_t start = 0; start < difference.size();) {
    const size_t end = std::min(difference.find('\n', start), difference.size());
    shown += redacted_line(difference.substr(start, end - start));
    shown += end < difference.size() ? "\n" : "";
    start = end + 1;
  }
  return shown;
}

bool has_kept_keys(const Configuration& configuration) {
  return std::any_of(
      configuration.tenants.begin(), configuration.tenants.end(),
      [](const auto& entry) { return entry.second.api_key == kept_key(entry.first); });
}

Expected<Configuration> with_kept_keys(Configuration configuration, const Configuration& base) {
  for (auto& [name, tenant] : configuration.tenants) {
    if (tenant.api_key != kept_key(name)) {
      continue;
    }
    const auto before = base.tenants.find(name);
    if (before == base.tenants.end()) {
      return tl::unexpected(not_run(
          ErrorKind::kInvalidRequest,
          "tenants." + name + ".api_key is to be kept, but version " +
              std::to_string(base.version) + " has no such tenant",
          "write the tenant's key; 'chalkshedctl configuration show --secrets' shows keys"));
    }
    tenant.api_key = before->second.api_key;
  }
  std::map<std::string, std::string> owners;  // by key
  for (const auto& [name, tenant] : configuration.tenants) {
    const auto [owner, added] = owners.emplace(tenant.api_key, name);
    if (!added) {
      return tl::unexpected(
          not_run(ErrorKind::kInvalidRequest,
                  "tenants." + name + ".api_key is the same as that of tenants." + owner->second,
                  "give each tenant a unique key"));
    }
  }
  return configuration;
}

}  // namespace chalkshed
