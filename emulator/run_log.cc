#include "emulator/run_log.h"

#include <stdexcept>

#include "src/history/json_lines.h"

namespace chalkshed {

RunLog::RunLog(const std::string& path, const TimeSource& time_source)
    : file_(path, std::ios::app), time_source_(time_source) {
  if (!file_) {
    throw std::runtime_error("cannot write the run log " + path + "; choose a writable file");
  }
}

void RunLog::record(EventData data) {
  file_ << format_event({time_source_.monotonic_now(), std::move(data)}) << std::endl;
}

void RunRecorder::arrived(const std::string& attempt, const std::string& request, bool batch,
                          uint64_t step) {
  if (log_ != nullptr) {
    log_->record(RunArrived{backend_, unique_name(attempt), request, batch, step, ""});
  }
}

void RunRecorder::admitted(const std::string& attempt, uint64_t step) {
  if (log_ != nullptr) {
    log_->record(RunAdmitted{backend_, unique_name(attempt), step});
  }
}

void RunRecorder::ended(const std::string& attempt, RunOutcome outcome, uint64_t step) {
  if (log_ != nullptr) {
    log_->record(RunEnded{backend_, unique_name(attempt), outcome, step});
  }
}

}  // namespace chalkshed
