// Resource limits of policy programs.
#pragma once

#include <cstddef>
#include <cstdint>

namespace chalkshed {

struct PolicyKnobs {
  // Lua VM instructions per decision, including the program's top level. A typical policy needs
  // fewer than a hundred.
  uint32_t decision_instructions = 10'000;
  // Memory in use by one policy's interpreter, including libraries.
  size_t memory_bytes = 256 * 1024;
  // Total memory allocated during one decision; bounds the time spent on copying strings.
  size_t decision_allocated_bytes = 1024 * 1024;
  // Maximum size of the program text.
  size_t source_bytes = 64 * 1024;
};

}  // namespace chalkshed
