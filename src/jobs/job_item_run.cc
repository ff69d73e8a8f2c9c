#include "src/jobs/job_item_run.h"

#include "src/core/number_text.h"

namespace chalkshed {
namespace {

constexpr int kOk = 200;
constexpr int kUnprocessable = 422;
constexpr int kInternalServerError = 500;
constexpr size_t kMaxBytesWithoutProgress = size_t{1024} * 1024;

JobItemRunEnd judge(const AttemptEnd& end) {
  if (end.result != AttemptResult::kWhole) {
    return JobItemRunEnd::kBroken;
  }
  switch (end.status) {
    case kOk:
      return JobItemRunEnd::kCompleted;
    case kUnprocessable:
      return JobItemRunEnd::kImpossible;
    case kInternalServerError:
      return JobItemRunEnd::kFailed;
    default:
      return JobItemRunEnd::kBroken;
  }
}

std::string reason_of(const AttemptEnd& end) {
  return end.result == AttemptResult::kWhole ? "status " + std::to_string(end.status) : end.reason;
}

}  // namespace

const char* job_item_run_end_name(JobItemRunEnd end) {
  switch (end) {
    case JobItemRunEnd::kCompleted:
      return "completed";
    case JobItemRunEnd::kImpossible:
      return "impossible";
    case JobItemRunEnd::kFailed:
      return "failed";
    case JobItemRunEnd::kBroken:
      return "broken";
  }
  return "broken";
}

JobItemRun::JobItemRun(JobEnvironment& environment, const ServingRequest& item, WorkerSlotPtr slot,
                       ItemProgress& progress, OnEnd on_end)
    : time_source_(environment.serving.time_source),
      progress_(progress),
      on_end_(std::move(on_end)),
      worker_(slot->worker().record.incarnation),
      software_(slot->worker().software),
      last_progress_(time_source_.monotonic_now()) {
  WorkerSend send;
  send.request = &item;
  send.incarnation = worker_;
  send.resume_after = progress.last_event;
  AttemptOptions options;
  options.pool = "batch";
  options.connect_timeout = environment.serving.knobs.connect_timeout;
  options.silence_timeout = environment.knobs.item_silence_timeout;
  options.streaming = true;
  options.repeatable = true;
  options.may_return = true;
  attempt_ =
      std::make_unique<WorkerAttempt>(environment.serving, std::move(slot), send, options, *this);
}

void JobItemRun::on_events(std::string_view events) {
  while (const std::optional<StreamEvent> event = take_event(events)) {
    bytes_since_progress_ += event->bytes.size();
    if (take(*event)) {
      last_progress_ = time_source_.monotonic_now();
      bytes_since_progress_ = 0;
    }
    if (bytes_since_progress_ > kMaxBytesWithoutProgress) {
      attempt_->give_up("the worker sends no further events");
      return;
    }
  }
}

bool JobItemRun::take(const StreamEvent& event) {
  if (event.id && progress_.last_event && *event.id <= *progress_.last_event) {
    return false;
  }
  if (event.id) {
    progress_.last_event = event.id;
  }
  if (std::exchange(progress_.has_text, true)) {
    progress_.text += '\n';
  }
  progress_.text += event.data;
  progress_.software = software_;
  return event.id.has_value();
}

void JobItemRun::end_if_stalled(Duration longest) {
  const Duration stalled = time_source_.monotonic_now() - last_progress_;
  if (attempt_->held_back()) {
    return;
  }
  if (stalled > longest && on_end_) {
    attempt_->give_up("the worker has sent no further event for " + milliseconds_text(stalled) +
                      " ms");
  }
}

void JobItemRun::on_attempt_ended(AttemptEnd end) {
  const OnEnd on_end = std::move(on_end_);
  proof_ = end.proof;
  on_end(judge(end), reason_of(end));
}

}  // namespace chalkshed
