#include "src/control/progress_bar.h"

#include <algorithm>

namespace chalkshed {
namespace {

constexpr uint64_t kBarWidth = 30;
constexpr size_t kMaxNoteLength = 40;

}  // namespace

ProgressBar::~ProgressBar() {
  if (drawn_length_ > 0) {
    terminal_.messages << "\n";
  }
}

void ProgressBar::show(uint64_t done, uint64_t total, const std::string& note) {
  if (!terminal_.interactive) {
    return;
  }
  const uint64_t filled = total == 0 ? 0 : std::min(done, total) * kBarWidth / total;
  std::string line = label_ + " [" + std::string(filled, '#') +
                     std::string(kBarWidth - filled, '.') + "] " + std::to_string(done) + "/" +
                     std::to_string(total);
  if (!note.empty()) {
    line += " " + note.substr(0, kMaxNoteLength);
  }
  const size_t length = line.size();
  line.append(drawn_length_ > length ? drawn_length_ - length : 0, ' ');
  terminal_.messages << "\r" << line << std::flush;
  drawn_length_ = length;
}

}  // namespace chalkshed
