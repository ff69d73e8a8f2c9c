#include "src/batch/job_parser.h"

#include <algorithm>
#include <cstdio>

#include "src/core/digest.h"

namespace chalkshed {

JobParser::JobParser(std::string body, const BatchKnobs& knobs)
    : body_(std::move(body)), knobs_(knobs) {}

Expected<bool> JobParser::read(uint32_t lines) {
  if (body_.size() > knobs_.max_job_bytes) {
    return tl::unexpected(not_run(ErrorKind::kTooLarge,
                                  "the job has " + std::to_string(body_.size()) + " bytes; " +
                                      std::to_string(knobs_.max_job_bytes) + " are allowed",
                                  "split it into several jobs"));
  }
  for (uint32_t count = 0; count < lines && position_ < body_.size(); ++count) {
    const size_t end = std::min(body_.find('\n', position_), body_.size());
    std::string_view line = std::string_view(body_).substr(position_, end - position_);
    position_ = end + 1;
    ++line_number_;
    if (!line.empty() && line.back() == '\r') {
      line.remove_suffix(1);
    }
    if (line.find_first_not_of(" \t") == std::string_view::npos) {
      continue;
    }
    if (auto error = read_line(line)) {
      return tl::unexpected(with_line_number(std::move(*error)));
    }
  }
  if (position_ < body_.size()) {
    return false;
  }
  if (lines_.empty()) {
    return tl::unexpected(not_run(ErrorKind::kInvalidRequest, "the job has no items",
                                  "send one JSON object per line"));
  }
  return true;
}

std::optional<Error> JobParser::read_line(std::string_view line) {
  if (lines_.size() >= knobs_.max_job_items) {
    return not_run(ErrorKind::kTooLarge,
                   "a job has at most " + std::to_string(knobs_.max_job_items) + " items",
                   "split it into several jobs");
  }
  if (line.size() > knobs_.max_line_bytes) {
    return not_run(ErrorKind::kTooLarge,
                   "a line has at most " + std::to_string(knobs_.max_line_bytes) + " bytes",
                   "shorten the item");
  }
  auto item = parse_batch_item(line);
  if (!item) {
    return item.error();
  }
  if (!custom_ids_.insert(item->custom_id)) {
    return not_run(ErrorKind::kInvalidRequest,
                   "custom_id \"" + item->custom_id + "\" occurs twice in the job",
                   "give each item a unique custom_id");
  }
  if (std::find(models_.begin(), models_.end(), item->request.model) == models_.end()) {
    models_.push_back(item->request.model);
  }
  if (endpoint_.empty()) {
    endpoint_ = item->url;
  }
  first_hash_ = content_hash(line, first_hash_);
  second_hash_ = content_hash(line, second_hash_);
  lines_.push_back(line);
  return std::nullopt;
}

Error JobParser::with_line_number(Error error) const {
  error.message = "line " + std::to_string(line_number_) + ": " + error.message;
  error.remedy += "; no item of the job was accepted";
  return error;
}

std::string JobParser::digest() const {
  std::array<char, 33> digits{};
  std::snprintf(digits.data(), digits.size(), "%016llx%016llx",
                static_cast<unsigned long long>(first_hash_),
                static_cast<unsigned long long>(second_hash_));
  return digits.data();
}

std::string JobParser::chunk(uint32_t number, uint32_t chunk_items) const {
  const size_t first = size_t{number} * chunk_items;
  const size_t last = std::min(first + chunk_items, lines_.size());
  std::string content;
  for (size_t index = first; index < last; ++index) {
    content += lines_[index];
    content += '\n';
  }
  return content;
}

}  // namespace chalkshed
