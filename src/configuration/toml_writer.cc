#include "src/configuration/toml_writer.h"

#include <charconv>
#include <sstream>

#include <toml++/toml.h>

namespace chalkshed {
namespace {

constexpr size_t kMaxNumberLength = 32;

bool is_bare_key(const std::string& name) {
  return !name.empty() && std::all_of(name.begin(), name.end(), [](unsigned char character) {
    return std::isalnum(character) != 0 || character == '-' || character == '_';
  });
}

// Whether the text has several lines and can be written as a multi-line literal string.
bool fits_multi_line_literal(const std::string& text) {
  const bool plain = std::none_of(text.begin(), text.end(), [](unsigned char character) {
    const bool control = character < 0x20 || character == 0x7f;
    return control && character != '\n' && character != '\t';
  });
  return plain && text.find('\n') != std::string::npos && !text.ends_with('\'') &&
         text.find("'''") == std::string::npos;
}

}  // namespace

std::string toml_text(const std::string& text) {
  if (fits_multi_line_literal(text)) {
    return "'''\n" + text + "'''";
  }
  // Does not let the library choose a multi-line form, because it does not check for ''' in the
  // text.
  const toml::value<std::string> value(text);
  std::ostringstream stream;
  stream << toml::toml_formatter(value, toml::format_flags::none);
  return stream.str();
}

std::string toml_number(double number) {
  std::array<char, kMaxNumberLength> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), number).ptr;
  std::string shortest(text.data(), end);
  // Without a decimal point or an exponent TOML would parse an integer.
  return shortest.find_first_of(".e") == std::string::npos ? shortest + ".0" : shortest;
}

std::string toml_key(const std::string& name) { return is_bare_key(name) ? name : toml_text(name); }

void TomlFields::add(std::string_view key, const std::string& value) {
  fields_.push_back(std::string(key) + " = " + value);
}

void TomlFields::add_text(std::string_view key, const std::string& value) {
  add(key, toml_text(value));
}

void TomlFields::add_texts(std::string_view key, const std::vector<std::string>& values) {
  std::string list;
  for (const std::string& value : values) {
    list += (list.empty() ? "" : ", ") + toml_text(value);
  }
  add(key, "[" + list + "]");
}

void TomlFields::add_number(std::string_view key, double value) { add(key, toml_number(value)); }

void TomlFields::add_integer(std::string_view key, uint64_t value) {
  add(key, std::to_string(value));
}

void TomlFields::add_flag(std::string_view key, bool value) { add(key, value ? "true" : "false"); }

void TomlFields::add_fields(std::string_view key, const TomlFields& fields) {
  std::string list;
  for (const std::string& field : fields.fields_) {
    list += (list.empty() ? " " : ", ") + field;
  }
  add(key, "{" + list + (list.empty() ? "}" : " }"));
}

std::string TomlFields::lines() const {
  std::string text;
  for (const std::string& field : fields_) {
    text += field + "\n";
  }
  return text;
}

}  // namespace chalkshed
