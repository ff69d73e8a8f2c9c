#include "emulator/answer_model.h"

#include "src/core/digest.h"

namespace chalkshed {
namespace {

constexpr uint32_t kBytesPerToken = 4;
constexpr uint32_t kShortestAnswer = 16;
constexpr uint32_t kAnswerLengthSpread = 112;

constexpr std::array<std::string_view, 64> kWords = {
    " the",      " next",  " service", " begins",  " from",    " village", " two",    " at",
    " noon",     " and",   " your",    " letter",  " is",      " kept",    " for",    " you",
    " please",   " wait",  " near",    " entry",   " where",   " friends", " will",   " help",
    " with",     " a",     " table",   " all",     " records", " are",     " within", " limits",
    " one",      " paper", " shows",   " higher",  " values",  " after",   " six",    " but",
    " it",       " came",  " back",    " before",  " the",     " morning", " load",   " check",
    " again",    " later", " no",      " action",  " needed",  " now",     " this",   " note",
    " replaces", " an",    " earlier", " message", " thank",   " to",      " of",     " in"};

}  // namespace

uint32_t count_prompt_tokens(std::string_view prompt) {
  const size_t tokens = (prompt.size() + kBytesPerToken - 1) / kBytesPerToken;
  return std::max<uint32_t>(1, static_cast<uint32_t>(tokens));
}

std::vector<uint64_t> prompt_block_hashes(std::string_view model, std::string_view prompt,
                                          uint32_t block_tokens) {
  const size_t block_bytes = size_t{block_tokens} * kBytesPerToken;
  std::vector<uint64_t> hashes;
  uint64_t prefix = content_hash(model);
  for (size_t end = block_bytes; end <= prompt.size(); end += block_bytes) {
    prefix = content_hash(prompt.substr(end - block_bytes, block_bytes), prefix);
    hashes.push_back(prefix);
  }
  return hashes;
}

uint64_t answer_seed(std::string_view model, std::string_view prompt) {
  return content_hash(prompt, content_hash(model));
}

uint32_t natural_answer_length(uint64_t seed) {
  return kShortestAnswer + static_cast<uint32_t>((seed >> 32U) % kAnswerLengthSpread);
}

std::string answer_token(uint64_t seed, uint32_t index) {
  uint64_t mixed = seed + (index + 1) * 0x9E3779B97F4A7C15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94D049BB133111EBULL;
  mixed ^= mixed >> 31U;
  constexpr uint64_t kSentenceLength = 12;
  if (mixed % kSentenceLength == 0) {
    return ".";
  }
  return std::string(kWords.at((mixed >> 8U) % kWords.size()));
}

std::vector<std::string> expected_answer_tokens(std::string_view model, std::string_view prompt,
                                                uint32_t max_tokens) {
  const uint64_t seed = answer_seed(model, prompt);
  uint32_t length = natural_answer_length(seed);
  if (max_tokens != 0) {
    length = std::min(length, max_tokens);
  }
  std::vector<std::string> tokens;
  for (uint32_t index = 0; index < length; ++index) {
    tokens.push_back(answer_token(seed, index));
  }
  return tokens;
}

}  // namespace chalkshed
