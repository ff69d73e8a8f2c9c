#include "src/core/utf8.h"

#include <array>
#include <cstdint>

namespace chalkshed {
namespace {

// A class of UTF-8 sequences: ranges of the first and second byte, and the length (RFC 3629).
struct SequenceForm {
  uint8_t first_from;
  uint8_t first_to;
  uint8_t second_from;
  uint8_t second_to;
  size_t length;
};

constexpr std::array<SequenceForm, 9> kForms = {{{0x00, 0x7f, 0, 0, 1},
                                                 {0xc2, 0xdf, 0x80, 0xbf, 2},
                                                 {0xe0, 0xe0, 0xa0, 0xbf, 3},
                                                 {0xe1, 0xec, 0x80, 0xbf, 3},
                                                 {0xed, 0xed, 0x80, 0x9f, 3},
                                                 {0xee, 0xef, 0x80, 0xbf, 3},
                                                 {0xf0, 0xf0, 0x90, 0xbf, 4},
                                                 {0xf1, 0xf3, 0x80, 0xbf, 4},
                                                 {0xf4, 0xf4, 0x80, 0x8f, 4}}};

bool within(char byte, uint8_t from, uint8_t to) {
  const auto value = static_cast<uint8_t>(byte);
  return value >= from && value <= to;
}

bool matches(const SequenceForm& form, std::string_view text) {
  if (!within(text[0], form.first_from, form.first_to) || text.size() < form.length) {
    return false;
  }
  if (form.length > 1 && !within(text[1], form.second_from, form.second_to)) {
    return false;
  }
  for (size_t index = 2; index < form.length; ++index) {
    if (!within(text[index], 0x80, 0xbf)) {
      return false;
    }
  }
  return true;
}

// @return the length of the well-formed sequence at the start of the text, or 0.
size_t sequence_length(std::string_view text) {
  for (const SequenceForm& form : kForms) {
    if (matches(form, text)) {
      return form.length;
    }
  }
  return 0;
}

}  // namespace

std::string with_valid_utf8(std::string_view text) {
  constexpr std::string_view kReplacement = "\xef\xbf\xbd";
  std::string valid;
  valid.reserve(text.size());
  while (!text.empty()) {
    const size_t length = sequence_length(text);
    valid += length == 0 ? kReplacement : text.substr(0, length);
    text.remove_prefix(length == 0 ? 1 : length);
  }
  return valid;
}

}  // namespace chalkshed
