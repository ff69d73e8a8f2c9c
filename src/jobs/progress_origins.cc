#include "src/jobs/progress_origins.h"

#include <charconv>
#include <map>
#include <optional>

#include "src/core/digest.h"
#include "src/jobs/job_rows.h"

namespace chalkshed {
namespace {

// Older builds read the value as the progress of an item: no event, so no text.
constexpr std::string_view kHead = "0\n";

std::string_view take(std::string_view& rest, char separator) {
  const size_t end = rest.find(separator);
  const std::string_view field = rest.substr(0, end);
  rest.remove_prefix(end == std::string_view::npos ? rest.size() : end + 1);
  return field;
}

std::optional<uint32_t> number(std::string_view text) {
  uint32_t value = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), value);
  const bool whole = parsed.ec == std::errc() && parsed.ptr == text.data() + text.size();
  return whole ? std::optional(value) : std::nullopt;
}

}  // namespace

StoredRowKey progress_origins_key(const std::string& job) { return job_progress_key(job, ""); }

uint32_t progress_text_hash(std::string_view text) {
  return static_cast<uint32_t>(content_hash(text));
}

// One line for each version: its id, then ITEM:HASH of each text.
std::string encode_progress_origins(const std::vector<ProgressOrigin>& origins) {
  std::map<software_id, std::string> lines;
  for (const ProgressOrigin& origin : origins) {
    std::string& line = lines[origin.software];
    line += ' ' + std::to_string(origin.item) + ':' + std::to_string(origin.text_hash);
  }
  std::string value(kHead);
  for (const auto& [software, line] : lines) {
    value += software_text(software) + line + '\n';
  }
  return value;
}

std::vector<ProgressOrigin> decode_progress_origins(std::string_view value) {
  std::vector<ProgressOrigin> origins;
  if (!value.starts_with(kHead)) {
    return origins;
  }
  value.remove_prefix(kHead.size());
  while (!value.empty()) {
    std::string_view line = take(value, '\n');
    const software_id software = parse_software(take(line, ' '));
    while (!line.empty() && software != software_id::kUnknown) {
      std::string_view entry = take(line, ' ');
      const std::optional<uint32_t> item = number(take(entry, ':'));
      const std::optional<uint32_t> hash = number(entry);
      if (item && hash) {
        origins.push_back({*item, software, *hash});
      }
    }
  }
  return origins;
}

}  // namespace chalkshed
