#include "src/configuration/removal_fence.h"

#include <nlohmann/json.hpp>

#include "src/configuration/configuration_head.h"

namespace chalkshed {

RowKey removal_fence_key() { return {std::string(kConfigurationTable), "removal"}; }

std::string encode_removal_fence(const std::set<std::string>& objects) {
  return nlohmann::json{{"objects", objects}}.dump();
}

Expected<RemovalFence> decode_removal_fence(const std::optional<Row>& row) {
  RemovalFence fence;
  if (!row) {
    return fence;
  }
  try {
    nlohmann::json::parse(row->value).at("objects").get_to(fence.objects);
    fence.row_version = row->version;
    return fence;
  } catch (const nlohmann::json::exception& failure) {
    return tl::unexpected(not_run(
        ErrorKind::kInternal,
        "the list of configuration content being removed cannot be read: " +
            std::string(failure.what()),
        "inspect the row \"removal\" of the table \"configuration\"; another program may have "
        "written there"));
  }
}

}  // namespace chalkshed
