// Records the runs of emulated workers and back ends as history events in a JSON Lines file.
#pragma once

#include <fstream>
#include <string>

#include "src/core/time.h"
#include "src/history/event.h"

namespace chalkshed {

class RunLog {
 public:
  // Appends to the file. Throws std::runtime_error if it cannot be opened for writing.
  RunLog(const std::string& path, const TimeSource& time_source);
  void record(EventData data);

 private:
  std::ofstream file_;
  const TimeSource& time_source_;
};

// Writes the events of one worker or back end to the log; without a log it does nothing.
class RunRecorder {
 public:
  RunRecorder() = default;
  RunRecorder(RunLog* log, std::string backend) : log_(log), backend_(std::move(backend)) {}
  void arrived(const std::string& attempt, const std::string& request, bool batch, uint64_t step);
  void admitted(const std::string& attempt, uint64_t step);
  void ended(const std::string& attempt, RunOutcome outcome, uint64_t step);

 private:
  // Makes attempt names unique across workers.
  std::string unique_name(const std::string& attempt) const { return attempt + "#" + backend_; }

  RunLog* log_ = nullptr;
  std::string backend_;
};

}  // namespace chalkshed
