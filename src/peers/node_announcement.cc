#include "chalkshed/node_announcement.h"

#include <cstdint>
#include <nlohmann/json.hpp>

namespace chalkshed {
namespace {

using nlohmann::json;

/** A node has at most this many processor cores. */
constexpr double kMaxCapacity = 4096;

Error unreadable(const char* field) {
  return not_run(ErrorKind::kInvalidRequest,
                 std::string("the announcement of a node cannot be read: ") + field,
                 "delete the row; the node that has the name announces itself again");
}

bool read_text(const json& fields, const char* name, std::string& result) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return true;
  }
  if (!found->is_string()) {
    return false;
  }
  result = found->get<std::string>();
  return true;
}

bool read_port(const json& fields, const char* name, uint16_t& result) {
  const auto found = fields.find(name);
  if (found == fields.end()) {
    return true;
  }
  if (!found->is_number_unsigned() || found->get<uint64_t>() > UINT16_MAX) {
    return false;
  }
  result = found->get<uint16_t>();
  return true;
}

bool read_capacity(const json& fields, double& result) {
  const auto found = fields.find("capacity");
  if (found == fields.end()) {
    return true;
  }
  result = found->is_number() ? found->get<double>() : -1;
  return result >= 0 && result <= kMaxCapacity;
}

}  // namespace

std::string encode_node_announcement(const node_announcement& announcement) {
  const json fields = {
      {"session", announcement.session},         {"zone", announcement.zone},
      {"ip", announcement.address.ip},           {"port", announcement.address.port},
      {"caller_port", announcement.caller_port}, {"capacity", announcement.capacity}};
  return fields.dump();
}

Expected<node_announcement> decode_node_announcement(std::string_view value) {
  const json fields = json::parse(value, nullptr, false);
  if (!fields.is_object()) {
    return tl::unexpected(unreadable("it is no JSON object"));
  }
  node_announcement result;
  if (!read_text(fields, "session", result.session) || result.session.empty()) {
    return tl::unexpected(unreadable("session"));
  }
  if (!read_text(fields, "zone", result.zone)) {
    return tl::unexpected(unreadable("zone"));
  }
  if (!read_text(fields, "ip", result.address.ip)) {
    return tl::unexpected(unreadable("ip"));
  }
  if (!read_port(fields, "port", result.address.port)) {
    return tl::unexpected(unreadable("port"));
  }
  if (!read_port(fields, "caller_port", result.caller_port)) {
    return tl::unexpected(unreadable("caller_port"));
  }
  if (!read_capacity(fields, result.capacity)) {
    return tl::unexpected(unreadable("capacity"));
  }
  return result;
}

}  // namespace chalkshed
