#include "src/adapters/platform_codec.h"

#include <cctype>
#include <charconv>
#include <nlohmann/json.hpp>

#include "src/adapters/json_bytes.h"

namespace chalkshed {
namespace {

using nlohmann::json;

constexpr std::string_view kObjectPathPrefix = "/objects/";

std::string dump(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

std::string bytes_field(const json& object, const char* name) {
  return json_text_to_bytes(object.at(name).get_ref<const std::string&>());
}

// Runs `read` on the parsed body; a body of another format results in an error.
template <typename Value, typename Reader>
Expected<Value> decode(std::string_view body, const char* what, Reader read) {
  try {
    return read(json::parse(body));
  } catch (const json::exception& exception) {
    return tl::unexpected(not_run(ErrorKind::kInvalidRequest,
                                  std::string("malformed ") + what + ": " + exception.what(),
                                  "use the format of the platform adapters page"));
  }
}

json key_to_json(const RowKey& key) {
  return {{"table", bytes_to_json_text(key.table)}, {"key", bytes_to_json_text(key.key)}};
}

RowKey key_from_json(const json& object) {
  return RowKey{bytes_field(object, "table"), bytes_field(object, "key")};
}

json row_to_json(const Row& row) {
  return {{"key", bytes_to_json_text(row.key)},
          {"value", bytes_to_json_text(row.value)},
          {"version", row.version}};
}

Row row_from_json(const json& object) {
  return Row{bytes_field(object, "key"), bytes_field(object, "value"),
             object.at("version").get<RowVersion>()};
}

std::string_view role_name(MachineRole role) {
  switch (role) {
    case MachineRole::kNode:
      return "node";
    case MachineRole::kWorker:
      return "worker";
    case MachineRole::kBackend:
      return "backend";
  }
  return "node";
}

MachineRole role_of_name(std::string_view name) {
  if (name == role_name(MachineRole::kWorker)) {
    return MachineRole::kWorker;
  }
  return name == role_name(MachineRole::kBackend) ? MachineRole::kBackend : MachineRole::kNode;
}

json machine_to_json(const Machine& machine) {
  return {{"id", machine.id},
          {"role", role_name(machine.role)},
          {"state", machine.state == MachineState::kLeaving ? "leaving" : "live"},
          {"service", machine.service},
          {"address", to_string(machine.address)},
          {"peer_address", to_string(machine.peer_address)},
          {"zone", machine.zone},
          {"region", machine.region},
          {"incarnation", machine.incarnation}};
}

Machine machine_from_json(const json& object) {
  Machine machine;
  machine.id = object.at("id").get<std::string>();
  machine.role = role_of_name(object.at("role").get<std::string>());
  machine.state =
      object.value("state", "live") == "leaving" ? MachineState::kLeaving : MachineState::kLive;
  machine.service = object.value("service", "");
  machine.address = decode_address(object.at("address").get<std::string>());
  machine.peer_address = decode_address(object.value("peer_address", ""));
  machine.zone = object.value("zone", "");
  machine.region = object.value("region", "");
  machine.incarnation = object.value("incarnation", uint64_t{0});
  return machine;
}

}  // namespace

std::string encode_row_key(const RowKey& key) { return dump(key_to_json(key)); }

Expected<RowKey> decode_row_key(std::string_view body) {
  return decode<RowKey>(body, "row key", key_from_json);
}

std::string encode_read_result(const std::optional<Row>& row) {
  return dump({{"row", row ? row_to_json(*row) : json()}});
}

Expected<std::optional<Row>> decode_read_result(std::string_view body) {
  return decode<std::optional<Row>>(body, "row", [](const json& object) {
    const json& row = object.at("row");
    return row.is_null() ? std::nullopt : std::optional<Row>(row_from_json(row));
  });
}

std::string encode_scan_request(const ScanRequest& request) {
  return dump({{"table", bytes_to_json_text(request.table)},
               {"prefix", bytes_to_json_text(request.prefix)},
               {"after_key", bytes_to_json_text(request.after_key)},
               {"limit", request.limit}});
}

Expected<ScanRequest> decode_scan_request(std::string_view body) {
  return decode<ScanRequest>(body, "scan request", [](const json& object) {
    return ScanRequest{bytes_field(object, "table"), bytes_field(object, "prefix"),
                       bytes_field(object, "after_key"), object.at("limit").get<uint32_t>()};
  });
}

std::string encode_scan_page(const ScanPage& page) {
  json rows = json::array();
  for (const Row& row : page.rows) {
    rows.push_back(row_to_json(row));
  }
  return dump({{"rows", std::move(rows)}, {"more", page.more}});
}

Expected<ScanPage> decode_scan_page(std::string_view body) {
  return decode<ScanPage>(body, "scan page", [](const json& object) {
    ScanPage page;
    for (const json& row : object.at("rows")) {
      page.rows.push_back(row_from_json(row));
    }
    page.more = object.at("more").get<bool>();
    return page;
  });
}

std::string encode_transaction(const Transaction& transaction) {
  json conditions = json::array();
  for (const RowCondition& condition : transaction.conditions) {
    json object = key_to_json(condition.key);
    object["version"] = condition.version;
    conditions.push_back(std::move(object));
  }
  json writes = json::array();
  for (const RowWrite& write : transaction.writes) {
    json object = key_to_json(write.key);
    object["value"] = write.value ? json(bytes_to_json_text(*write.value)) : json();
    writes.push_back(std::move(object));
  }
  return dump({{"conditions", std::move(conditions)}, {"writes", std::move(writes)}});
}

Expected<Transaction> decode_transaction(std::string_view body) {
  return decode<Transaction>(body, "transaction", [](const json& object) {
    Transaction transaction;
    for (const json& condition : object.at("conditions")) {
      transaction.conditions.push_back(
          RowCondition{key_from_json(condition), condition.at("version").get<RowVersion>()});
    }
    for (const json& write : object.at("writes")) {
      RowWrite row_write{key_from_json(write), std::nullopt};
      if (!write.at("value").is_null()) {
        row_write.value = bytes_field(write, "value");
      }
      transaction.writes.push_back(std::move(row_write));
    }
    return transaction;
  });
}

std::string encode_commit_result(const CommitResult& result) {
  json failed = json::array();
  for (const RowKey& key : result.failed_conditions) {
    failed.push_back(key_to_json(key));
  }
  return dump({{"committed", result.committed},
               {"failed_conditions", std::move(failed)},
               {"versions", result.versions}});
}

Expected<CommitResult> decode_commit_result(std::string_view body) {
  return decode<CommitResult>(body, "commit result", [](const json& object) {
    CommitResult result;
    result.committed = object.at("committed").get<bool>();
    for (const json& key : object.at("failed_conditions")) {
      result.failed_conditions.push_back(key_from_json(key));
    }
    result.versions = object.at("versions").get<std::vector<RowVersion>>();
    return result;
  });
}

std::string encode_machine_list(const MachineListSnapshot& snapshot) {
  json machines = json::array();
  for (const Machine& machine : snapshot.machines) {
    machines.push_back(machine_to_json(machine));
  }
  return dump({{"machines", std::move(machines)}});
}

Expected<MachineListSnapshot> decode_machine_list(std::string_view body) {
  return decode<MachineListSnapshot>(body, "machine list", [](const json& object) {
    MachineListSnapshot snapshot;
    for (const json& machine : object.at("machines")) {
      snapshot.machines.push_back(machine_from_json(machine));
    }
    return snapshot;
  });
}

Address decode_address(std::string_view text) {
  const size_t colon = text.rfind(':');
  if (colon == std::string_view::npos) {
    return {};
  }
  Address address;
  address.ip = text.substr(0, colon);
  std::from_chars(text.data() + colon + 1, text.data() + text.size(), address.port);
  return address;
}

std::string encode_object_path(std::string_view name) {
  constexpr std::string_view kDigits = "0123456789ABCDEF";
  std::string path(kObjectPathPrefix);
  for (const char c : name) {
    const auto byte = static_cast<unsigned char>(c);
    if (std::isalnum(byte) != 0 || std::string_view("-._~/").find(c) != std::string_view::npos) {
      path.push_back(c);
    } else {
      path.push_back('%');
      path.push_back(kDigits[byte >> 4U]);
      path.push_back(kDigits[byte & 0xFU]);
    }
  }
  return path;
}

std::string decode_object_path(std::string_view path) {
  if (path.starts_with(kObjectPathPrefix)) {
    path.remove_prefix(kObjectPathPrefix.size());
  }
  std::string name;
  for (size_t index = 0; index < path.size(); ++index) {
    unsigned value = 0;
    if (path[index] == '%' && index + 2 < path.size() &&
        std::from_chars(path.data() + index + 1, path.data() + index + 3, value, 16).ec ==
            std::errc()) {
      name.push_back(static_cast<char>(value));
      index += 2;
    } else {
      name.push_back(path[index]);
    }
  }
  return name;
}

}  // namespace chalkshed
