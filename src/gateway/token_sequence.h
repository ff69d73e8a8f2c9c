// The tokens of one answer, assembled from one or more attempts.
#pragma once

#include <string>
#include <vector>

#include "src/engine/engine_client.h"

namespace chalkshed {

class TokenSequence {
 public:
  // @param check_index whether tokens are placed by their index rather than appended as they
  // arrive.
  explicit TokenSequence(bool check_index) : check_index_(check_index) {}

  // Appends the new tokens of the chunk and skips those already present.
  // Errors, Ran::kUnknown: kUpstreamFailed if tokens before the chunk are missing or tokens already
  // present differ; nothing is added then.
  // @return the number of tokens added at the end of tokens().
  Expected<size_t> add(const GenerateChunk& chunk);

  const std::vector<std::string>& tokens() const { return tokens_; }
  std::string text() const;

 private:
  const bool check_index_;
  std::vector<std::string> tokens_;
};

}  // namespace chalkshed
