#include <algorithm>
#include <sstream>

#include "src/configuration/configuration_text.h"

namespace chalkshed {
namespace {

constexpr size_t kMaxDifferenceLines = 400;

std::vector<std::string> lines_of(const std::string& text) {
  std::vector<std::string> lines;
  std::istringstream stream(text);
  for (std::string line; std::getline(stream, line);) {
    lines.push_back(line);
  }
  return lines;
}

// Lines of canonical text by section heading; "" contains the lines before the first heading.
using Sections = std::map<std::string, std::vector<std::string>>;

Sections sections_of(const std::string& text) {
  Sections sections;
  std::string heading;
  for (const std::string& line : lines_of(text)) {
    if (line.starts_with('[')) {
      heading = line;
    } else if (!line.empty()) {
      sections[heading].push_back(line);
    }
  }
  return sections;
}

// Lengths of the longest common subsequences of all pairs of suffixes.
std::vector<std::vector<uint32_t>> common_lengths(const std::vector<std::string>& before,
                                                  const std::vector<std::string>& after) {
  std::vector lengths(before.size() + 1, std::vector<uint32_t>(after.size() + 1, 0));
  for (size_t row = before.size(); row-- > 0;) {
    for (size_t column = after.size(); column-- > 0;) {
      lengths[row][column] = before[row] == after[column]
                                 ? lengths[row + 1][column + 1] + 1
                                 : std::max(lengths[row + 1][column], lengths[row][column + 1]);
    }
  }
  return lengths;
}

std::vector<std::string> line_difference(const std::vector<std::string>& before,
                                         const std::vector<std::string>& after) {
  if (before == after) {
    return {};
  }
  const auto lengths = common_lengths(before, after);
  std::vector<std::string> difference;
  size_t row = 0;
  size_t column = 0;
  while (row < before.size() || column < after.size()) {
    if (row < before.size() && column < after.size() && before[row] == after[column]) {
      ++row;
      ++column;
    } else if (column == after.size() ||
               (row < before.size() && lengths[row + 1][column] >= lengths[row][column + 1])) {
      difference.push_back("-" + before[row++]);
    } else {
      difference.push_back("+" + after[column++]);
    }
  }
  return difference;
}

}  // namespace

std::string configuration_difference(const std::string& before, const std::string& after) {
  const Sections old_sections = sections_of(before);
  const Sections new_sections = sections_of(after);
  std::set<std::string> headings;
  for (const auto* sections : {&old_sections, &new_sections}) {
    for (const auto& [heading, lines] : *sections) {
      headings.insert(heading);
    }
  }
  std::string text;
  size_t printed = 0;
  for (const std::string& heading : headings) {
    const auto old_lines = old_sections.find(heading);
    const auto new_lines = new_sections.find(heading);
    const auto difference = line_difference(
        old_lines == old_sections.end() ? std::vector<std::string>() : old_lines->second,
        new_lines == new_sections.end() ? std::vector<std::string>() : new_lines->second);
    if (difference.empty()) {
      continue;
    }
    text += heading.empty() ? "" : heading + "\n";
    for (const std::string& line : difference) {
      if (++printed > kMaxDifferenceLines) {
        return text + "... and more\n";
      }
      text += line + "\n";
    }
  }
  return text;
}

}  // namespace chalkshed
