#include "src/control/text_table.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr size_t kColumnGap = 2;

// Counts characters, not bytes: UTF-8 continuation bytes have no width.
size_t display_width(const std::string& text) {
  return static_cast<size_t>(std::count_if(text.begin(), text.end(), [](char character) {
    return (static_cast<unsigned char>(character) & 0xC0U) != 0x80U;
  }));
}

std::string format_row(const TableRow& row, const std::vector<size_t>& widths) {
  std::string line;
  for (size_t column = 0; column < row.size(); ++column) {
    line += row[column];
    if (column + 1 < row.size()) {
      line.append(widths[column] - display_width(row[column]) + kColumnGap, ' ');
    }
  }
  return line + "\n";
}

}  // namespace

std::string format_table(const TableRow& headings, const std::vector<TableRow>& rows) {
  std::vector<size_t> widths;
  for (size_t column = 0; column < headings.size(); ++column) {
    size_t width = display_width(headings[column]);
    for (const TableRow& row : rows) {
      width = std::max(width, display_width(row[column]));
    }
    widths.push_back(width);
  }
  std::string text = format_row(headings, widths);
  for (const TableRow& row : rows) {
    text += format_row(row, widths);
  }
  return text;
}

}  // namespace chalkshed
