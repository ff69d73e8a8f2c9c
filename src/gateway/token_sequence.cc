#include "src/gateway/token_sequence.h"

#include <algorithm>

namespace chalkshed {
namespace {

tl::unexpected<Error> stream_error(std::string message) {
  return tl::unexpected(
      maybe_run(ErrorKind::kUpstreamFailed, std::move(message), "retry the request"));
}

}  // namespace

Expected<size_t> TokenSequence::add(const GenerateChunk& chunk) {
  size_t known = 0;  // leading tokens of the chunk that are already present
  if (check_index_) {
    if (chunk.first_index > tokens_.size()) {
      return stream_error("the worker's stream is missing tokens from index " +
                          std::to_string(tokens_.size()) + " to " +
                          std::to_string(chunk.first_index));
    }
    known = std::min(tokens_.size() - chunk.first_index, chunk.tokens.size());
    const auto first = chunk.tokens.begin();
    const auto end = first + static_cast<std::ptrdiff_t>(known);
    if (!std::equal(first, end, tokens_.begin() + chunk.first_index)) {
      return stream_error("the worker's stream repeats earlier tokens with different text");
    }
  }
  tokens_.insert(tokens_.end(), chunk.tokens.begin() + static_cast<std::ptrdiff_t>(known),
                 chunk.tokens.end());
  return chunk.tokens.size() - known;
}

std::string TokenSequence::text() const {
  std::string text;
  for (const std::string& token : tokens_) {
    text += token;
  }
  return text;
}

}  // namespace chalkshed
