// Validating reader of TOML tables. Includes the TOML library, so it must only be included by .cc
// files.
#pragma once

#include <toml++/toml.h>
#include <cmath>
#include <limits>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "src/core/error.h"

namespace chalkshed {

// Reads the fields of one table and records the first error. Absent fields leave their target
// unchanged.
class TomlReader {
 public:
  // @param document name for error messages.
  // @param path dotted path of the table within the document; empty for the root.
  // @param error receives the first error of all readers that share it.
  TomlReader(const toml::table& table, std::string document, std::string path,
             std::optional<Error>& error)
      : table_(table), document_(std::move(document)), path_(std::move(path)), error_(error) {}

  void read(std::string_view key, std::string& target) {
    if (const toml::node* node = find(key)) {
      if (const auto value = node->value_exact<std::string>()) {
        target = *value;
      } else {
        fail(*node, key, "must be a string", "write it in quotes");
      }
    }
  }

  void read(std::string_view key, bool& target) {
    if (const toml::node* node = find(key)) {
      if (const auto value = node->value_exact<bool>()) {
        target = *value;
      } else {
        fail(*node, key, "must be true or false", "write true or false without quotes");
      }
    }
  }

  // Numbers must be in [minimum, maximum].
  void read(std::string_view key, double& target, double minimum, double maximum) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      return;
    }
    const auto value = node->is_number() ? node->value<double>() : std::nullopt;
    if (!value || !std::isfinite(*value) || *value < minimum || *value > maximum) {
      fail(*node, key, "must be a number from " + shorten(minimum) + " to " + shorten(maximum),
           "choose a number in this range");
      return;
    }
    target = *value;
  }

  template <typename Integer>
  void read_integer(std::string_view key, Integer& target, int64_t minimum, int64_t maximum) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      return;
    }
    const auto value = node->value_exact<int64_t>();
    if (!value || *value < minimum || *value > maximum) {
      fail(*node, key,
           "must be an integer from " + std::to_string(minimum) + " to " + std::to_string(maximum),
           "choose an integer in this range");
      return;
    }
    target = static_cast<Integer>(*value);
  }

  // Reads a number of seconds as a Duration.
  template <typename Target>
  void read_seconds(std::string_view key, Target& target, double minimum, double maximum) {
    double seconds = std::numeric_limits<double>::quiet_NaN();
    read(key, seconds, minimum, maximum);
    if (!std::isnan(seconds)) {
      target = Duration(static_cast<int64_t>(std::llround(seconds * 1e6)));
    }
  }

  void read(std::string_view key, std::vector<std::string>& target) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      return;
    }
    const toml::array* array = node->as_array();
    if (array == nullptr) {
      fail(*node, key, "must be a list of strings", "write it as [\"first\", \"second\"]");
      return;
    }
    target.clear();
    for (const toml::node& element : *array) {
      const auto value = element.value_exact<std::string>();
      if (!value) {
        fail(element, key, "must contain only strings", "write each element in quotes");
        return;
      }
      target.push_back(*value);
    }
  }

  // @return the table at `key`, if there is one.
  const toml::table* table(std::string_view key) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      return nullptr;
    }
    if (!node->is_table()) {
      fail(*node, key, "must be a table", "write it as [" + path_of(key) + "]");
    }
    return node->as_table();
  }

  // @return the array at `key`, if there is one.
  const toml::array* array(std::string_view key) {
    const toml::node* node = find(key);
    if (node == nullptr) {
      return nullptr;
    }
    if (!node->is_array()) {
      fail(*node, key, "must be a list", "write it as [[" + path_of(key) + "]]");
    }
    return node->as_array();
  }

  bool has(std::string_view key) const { return table_.contains(key); }

  // Reports the first key that has not been read.
  void reject_unknown_keys() {
    for (const auto& [key, node] : table_) {
      if (!known_.contains(std::string(key.str()))) {
        std::string names;
        for (const std::string& name : known_) {
          names += (names.empty() ? "" : ", ") + name;
        }
        fail(node, key.str(), "is not a known field", "use one of: " + names);
        return;
      }
    }
  }

  void fail(const toml::node& node, std::string_view key, const std::string& problem,
            std::string remedy) {
    if (!error_) {
      const std::string where = document_ + ":" + std::to_string(node.source().begin.line) + ": ";
      error_ = not_run(ErrorKind::kInvalidRequest, where + path_of(key) + " " + problem,
                       std::move(remedy));
    }
  }

  std::string path_of(std::string_view key) const {
    if (key.empty()) {
      return path_;
    }
    return path_.empty() ? std::string(key) : path_ + "." + std::string(key);
  }

 private:
  const toml::node* find(std::string_view key) {
    known_.insert(std::string(key));
    return table_.get(key);
  }

  static std::string shorten(double value) {
    std::string text = std::to_string(value);
    text.erase(text.find_last_not_of('0') + 1);
    if (text.ends_with('.')) {
      text.pop_back();
    }
    return text;
  }

  const toml::table& table_;
  std::string document_;
  std::string path_;
  std::optional<Error>& error_;
  std::set<std::string> known_;
};

}  // namespace chalkshed
