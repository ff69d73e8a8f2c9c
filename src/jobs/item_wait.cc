#include "chalkshed/item_wait.h"

namespace chalkshed {
namespace {

// Shorter waits are too many to be logged.
constexpr Duration kLoggedAfter = std::chrono::seconds(1);
// Items wait for slots whenever the services are in full use.
constexpr Duration kRoomLoggedAfter = std::chrono::seconds(5);

}  // namespace

const char* item_wait_name(item_wait wait) {
  switch (wait) {
    case item_wait::kRoom:
      return "room";
    case item_wait::kRetry:
      return "retry";
    case item_wait::kRoute:
      return "route";
    case item_wait::kCrashes:
      return "crashes";
    case item_wait::kTurn:
      return "turn";
    case item_wait::kPart:
      return "part";
    case item_wait::kSoftware:
      return "software";
    case item_wait::kStaleView:
      return "stale_view";
    case item_wait::kRecording:
      return "recording";
    case item_wait::kCommit:
      return "commit";
  }
  return "room";
}

void item_wait_state::enter(item_wait wait, MonotonicTime now, std::optional<MonotonicTime> until) {
  if (wait != wait_ || since_ == MonotonicTime{}) {
    since_ = now;
    logged_ = false;
  }
  wait_ = wait;
  until_ = until;
}

void item_wait_state::advance(MonotonicTime now) {
  if (wait_ == item_wait::kRetry && until_ && now >= *until_) {
    enter(item_wait::kRoom, *until_);
  }
}

bool item_wait_state::log_now(MonotonicTime now) {
  const Duration least = wait_ == item_wait::kRoom ? kRoomLoggedAfter : kLoggedAfter;
  if (logged_ || now - since_ < least) {
    return false;
  }
  logged_ = true;
  return true;
}

}  // namespace chalkshed
