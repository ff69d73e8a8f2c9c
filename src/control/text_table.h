// Plain text tables.
#pragma once

#include <string>
#include <vector>

namespace chalkshed {

using TableRow = std::vector<std::string>;

// @return headings and rows in aligned columns, two spaces apart, each line terminated by a
// newline.
std::string format_table(const TableRow& headings, const std::vector<TableRow>& rows);

}  // namespace chalkshed
