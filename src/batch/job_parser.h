// Incremental parser of a job's JSON Lines body.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/batch/batch_item.h"
#include "src/batch/batch_knobs.h"
#include "src/batch/id_set.h"

namespace chalkshed {

// Validates every line and records its position. An invalid line rejects the whole job with an
// error that contains the line number, so that a job is never accepted in part.
class JobParser {
 public:
  JobParser(std::string body, const BatchKnobs& knobs);
  JobParser(const JobParser&) = delete;
  JobParser& operator=(const JobParser&) = delete;

  // Parses at most `lines` lines. @return whether the end of the body has been reached.
  // Errors, all Ran::kNo: kInvalidRequest, kTooLarge.
  Expected<bool> read(uint32_t lines);

  uint32_t items() const { return static_cast<uint32_t>(lines_.size()); }
  const std::vector<std::string>& models() const { return models_; }
  const std::string& endpoint() const { return endpoint_; }
  // Digest of all lines, ignoring blank lines and the final newline.
  std::string digest() const;
  // @return the lines of one chunk, each terminated by a newline.
  std::string chunk(uint32_t number, uint32_t chunk_items) const;

 private:
  std::optional<Error> read_line(std::string_view line);
  Error with_line_number(Error error) const;

  std::string body_;
  const BatchKnobs& knobs_;
  size_t position_ = 0;
  uint32_t line_number_ = 0;
  std::vector<std::string_view> lines_;
  IdSet custom_ids_;
  std::vector<std::string> models_;
  std::string endpoint_;
  uint64_t first_hash_ = 1;
  uint64_t second_hash_ = 2;
};

}  // namespace chalkshed
