// Writes canonical TOML: equal values always produce equal text.
#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace chalkshed {

// @return the text as a TOML string; uses a multi-line string if TOML can represent the text as
// one.
std::string toml_text(const std::string& text);
// @return the shortest representation that parses as the same number.
std::string toml_number(double number);
// @return the name as a key, quoted if necessary.
std::string toml_key(const std::string& name);

// Fields of one table, in insertion order.
class TomlFields {
 public:
  void add_text(std::string_view key, const std::string& value);
  void add_texts(std::string_view key, const std::vector<std::string>& values);
  void add_number(std::string_view key, double value);
  void add_integer(std::string_view key, uint64_t value);
  void add_flag(std::string_view key, bool value);
  // Adds an inline table.
  void add_fields(std::string_view key, const TomlFields& fields);

  // @return one line per field.
  std::string lines() const;
  bool empty() const { return fields_.empty(); }

 private:
  void add(std::string_view key, const std::string& value);
  std::vector<std::string> fields_;  // "key = value"
};

}  // namespace chalkshed
