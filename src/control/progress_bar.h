// A progress bar that is redrawn in place.
#pragma once

#include <cstdint>
#include <string>

#include "src/control/terminal.h"

namespace chalkshed {

// Draws nothing unless the terminal is interactive, so that the output of scripts stays clean.
class ProgressBar {
 public:
  ProgressBar(Terminal& terminal, std::string label)
      : terminal_(terminal), label_(std::move(label)) {}
  // Ends the line.
  ~ProgressBar();
  ProgressBar(const ProgressBar&) = delete;
  ProgressBar& operator=(const ProgressBar&) = delete;

  // @param note shown after the bar, e.g. a lagging node.
  void show(uint64_t done, uint64_t total, const std::string& note);

 private:
  Terminal& terminal_;
  const std::string label_;
  size_t drawn_length_ = 0;  // length of the line as currently drawn
};

}  // namespace chalkshed
