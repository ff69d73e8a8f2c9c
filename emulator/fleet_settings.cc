#include "emulator/fleet_settings.h"

#include <toml++/toml.h>
#include <sstream>

#include "src/adapters/platform_codec.h"

namespace chalkshed {
namespace {

// Reads the keys of one TOML table and keeps the first error: a wrong type or an unknown key.
class TableReader {
 public:
  TableReader(const toml::table& table, std::string name, std::optional<Error>& error)
      : table_(table), name_(std::move(name)), error_(error) {}

  template <typename Value>
  void read(std::string_view key, Value& value) {
    known_.emplace_back(key);
    const toml::node* node = table_.get(key);
    if (node == nullptr) {
      return;
    }
    const std::optional<Value> read_value = node->value<Value>();
    if (read_value) {
      value = *read_value;
    } else {
      fail(*node, "has the wrong type or range");
    }
  }

  // @param key name ending in _ms, whose value is in milliseconds.
  void read_duration(std::string_view key, Duration& value) {
    double milliseconds = static_cast<double>(value.count()) / 1000;
    read(key, milliseconds);
    value = Duration(static_cast<int64_t>(milliseconds * 1000));
  }

  void read_address(std::string_view key, Address& value) {
    std::string text;
    read(key, text);
    if (!text.empty()) {
      value = decode_address(text);
    }
    const toml::node* node = table_.get(key);
    if (node != nullptr && value.port == 0) {
      fail(*node, "is not of the form \"ip:port\"");
    }
  }

  void read_strings(std::string_view key, std::vector<std::string>& values) {
    known_.emplace_back(key);
    const toml::node* node = table_.get(key);
    if (node == nullptr) {
      return;
    }
    if (!node->is_array()) {
      fail(*node, "must be a list of strings");
      return;
    }
    for (const toml::node& element : *node->as_array()) {
      values.push_back(element.value_or(std::string()));
    }
  }

  const toml::table* table(std::string_view key) {
    known_.emplace_back(key);
    const toml::node* node = table_.get(key);
    return node == nullptr ? nullptr : node->as_table();
  }

  // Calls `read_element` for each table in an array of tables.
  template <typename Reader>
  void each(std::string_view key, Reader read_element) {
    known_.emplace_back(key);
    const toml::array* array = table_.get_as<toml::array>(key);
    if (array == nullptr) {
      return;
    }
    for (const toml::node& element : *array) {
      if (const toml::table* element_table = element.as_table()) {
        TableReader reader(*element_table, std::string(key), error_);
        read_element(reader);
        reader.check_unknown();
      }
    }
  }

  void check_unknown() {
    for (const auto& [key, node] : table_) {
      if (std::ranges::find(known_, key.str()) == known_.end()) {
        fail_key(std::string(key.str()), node, "is unknown");
      }
    }
  }

 private:
  void fail(const toml::node& node, const std::string& what) {
    fail_key(known_.back(), node, what);
  }
  void fail_key(const std::string& key, const toml::node& node, const std::string& what) {
    if (!error_) {
      error_ = not_run(ErrorKind::kInvalidSetting,
                       "line " + std::to_string(node.source().begin.line) + ": " +
                           (name_.empty() ? key : name_ + "." + key) + " " + what,
                       "see docs/operators/emulator.md for the list of settings");
    }
  }

  const toml::table& table_;
  std::string name_;
  std::optional<Error>& error_;
  std::vector<std::string> known_;
};

void read_service(const toml::table* table, const std::string& name, ServiceFaults& faults,
                  std::optional<Error>& error) {
  if (table == nullptr) {
    return;
  }
  TableReader reader(*table, name, error);
  reader.read_duration("latency_ms", faults.base_latency);
  reader.read_duration("latency_jitter_ms", faults.latency_jitter);
  reader.read_duration("answer_timeout_ms", faults.answer_timeout);
  reader.read("operations_per_second", faults.operations_per_second);
  reader.read("operation_burst", faults.operation_burst);
  reader.check_unknown();
}

void read_engine(const toml::table* table, EngineSettings& engine, std::optional<Error>& error) {
  if (table == nullptr) {
    return;
  }
  TableReader reader(*table, "engine", error);
  reader.read_duration("step_base_ms", engine.step_base);
  reader.read_duration("step_per_sequence_ms", engine.step_per_sequence);
  reader.read_duration("step_per_prompt_token_ms", engine.step_per_prompt_token);
  reader.read_duration("swap_per_block_ms", engine.swap_per_block);
  reader.read("max_running_sequences", engine.max_running_sequences);
  reader.read("max_waiting_sequences", engine.max_waiting_sequences);
  reader.read("max_prompt_tokens_per_step", engine.max_prompt_tokens_per_step);
  reader.read("block_tokens", engine.block_tokens);
  reader.read("total_blocks", engine.total_blocks);
  reader.read("prefix_cache", engine.prefix_cache);
  reader.read_duration("load_report_lag_ms", engine.load_report_lag);
  reader.read_duration("cache_event_lag_ms", engine.cache_event_lag);
  reader.read("cache_event_loss_probability", engine.cache_event_loss_probability);
  reader.read_duration("model_load_time_ms", engine.model_load_time);
  reader.read_strings("models", engine.models);
  bool swap = engine.preemption == PreemptionMode::kSwap;
  reader.read("preemption_swaps", swap);
  engine.preemption = swap ? PreemptionMode::kSwap : PreemptionMode::kRecompute;
  reader.check_unknown();
}

MachineGroup read_group(TableReader& reader, MachineRole role) {
  MachineGroup group;
  group.role = role;
  reader.read("service", group.service);
  reader.read("id_prefix", group.id_prefix);
  reader.read("count", group.count);
  reader.read_address("first_address", group.first_address);
  reader.read_strings("zones", group.zones);
  reader.read("region", group.region);
  reader.read_duration("latency_ms", group.latency);
  return group;
}

Machine read_node(TableReader& reader) {
  Machine node;
  node.role = MachineRole::kNode;
  reader.read("id", node.id);
  reader.read_address("address", node.address);
  reader.read_address("peer_address", node.peer_address);
  reader.read("zone", node.zone);
  reader.read("region", node.region);
  return node;
}

FleetSettings read_settings(const toml::table& table, std::optional<Error>& error) {
  FleetSettings settings;
  TableReader reader(table, "", error);
  reader.read_address("control", settings.control);
  reader.read("seed", settings.seed);
  reader.read("run_log", settings.run_log);
  reader.read_duration("machine_list_lag_ms", settings.machine_list_lag);
  read_service(reader.table("table"), "table", settings.table, error);
  read_service(reader.table("objects"), "objects", settings.objects, error);
  read_service(reader.table("machine_list"), "machine_list", settings.machine_list, error);
  read_engine(reader.table("engine"), settings.engine, error);
  reader.each("workers", [&](TableReader& group) {
    settings.groups.push_back(read_group(group, MachineRole::kWorker));
  });
  reader.each("backends", [&](TableReader& group) {
    settings.groups.push_back(read_group(group, MachineRole::kBackend));
  });
  reader.each("nodes", [&](TableReader& node) { settings.nodes.push_back(read_node(node)); });
  reader.check_unknown();
  return settings;
}

}  // namespace

Expected<FleetSettings> load_fleet_settings(const std::string& path) {
  std::optional<Error> error;
  try {
    FleetSettings settings = read_settings(toml::parse_file(path), error);
    if (!error) {
      return settings;
    }
  } catch (const toml::parse_error& exception) {
    std::ostringstream message;
    message << "line " << exception.source().begin.line << ": " << exception.description();
    error = not_run(ErrorKind::kInvalidSetting, message.str(), "correct the TOML syntax");
  }
  error->message = path + ": " + error->message;
  return tl::unexpected(*error);
}

}  // namespace chalkshed
