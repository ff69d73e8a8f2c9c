// Deterministic language model of the emulated engines. The answer depends only on the model and
// the prompt, so that a checker can verify a complete answer without a recorded reference.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace chalkshed {

// @return the engine's number of prompt tokens: one per four bytes, rounded up, and at least one.
uint32_t count_prompt_tokens(std::string_view prompt);

// @return hashes of the prompt's full blocks; each covers the whole prefix up to its end.
std::vector<uint64_t> prompt_block_hashes(std::string_view model, std::string_view prompt,
                                          uint32_t block_tokens);

// @return hash that, with an index, determines each answer token.
uint64_t answer_seed(std::string_view model, std::string_view prompt);

// @return number of tokens of the answer if max_tokens does not limit it (16 to 127).
uint32_t natural_answer_length(uint64_t seed);

// @return the answer token at `index`: a word with a leading space, or a full stop.
std::string answer_token(uint64_t seed, uint32_t index);

// @param max_tokens 0: not limited.
// @return all tokens of the answer to `prompt`.
std::vector<std::string> expected_answer_tokens(std::string_view model, std::string_view prompt,
                                                uint32_t max_tokens);

}  // namespace chalkshed
