#include "src/membership/membership_view.h"

namespace chalkshed {

std::string_view member_state_name(MemberState state) {
  switch (state) {
    case MemberState::kAlive:
      return "alive";
    case MemberState::kSuspect:
      return "suspect";
    case MemberState::kLeaving:
      return "leaving";
    case MemberState::kDead:
      return "dead";
  }
  return "dead";
}

}  // namespace chalkshed
