#include "src/configuration/configuration_head.h"

#include <cstdio>
#include <nlohmann/json.hpp>

namespace chalkshed {

std::string encode_head(const ConfigurationHead& head) {
  return nlohmann::json{{"version", head.version},        {"manifest", head.manifest_digest},
                        {"attempt", head.attempt},        {"origin", head.origin},
                        {"author", head.author},          {"comment", head.comment},
                        {"accepted_at", head.accepted_at}}
      .dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

Expected<ConfigurationHead> decode_head(std::string_view text) {
  try {
    const nlohmann::json json = nlohmann::json::parse(text);
    ConfigurationHead head;
    json.at("version").get_to(head.version);
    json.at("manifest").get_to(head.manifest_digest);
    json.at("attempt").get_to(head.attempt);
    head.origin = json.value("origin", "");
    head.author = json.value("author", "");
    head.comment = json.value("comment", "");
    head.accepted_at = json.value("accepted_at", int64_t{0});
    return head;
  } catch (const nlohmann::json::exception& failure) {
    return tl::unexpected(not_run(
        ErrorKind::kInternal, "a configuration head cannot be read: " + std::string(failure.what()),
        "inspect the rows of the table \"configuration\"; another program may have written there"));
  }
}

std::string history_key(ConfigurationVersion version) {
  std::array<char, 40> key{};
  std::snprintf(key.data(), key.size(), "history/%020llu",
                static_cast<unsigned long long>(version));
  return key.data();
}

}  // namespace chalkshed
