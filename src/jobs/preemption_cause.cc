#include "chalkshed/preemption_cause.h"

namespace chalkshed {

const char* preemption_cause_name(preemption_cause cause) {
  switch (cause) {
    case preemption_cause::kHeadroom:
      return "headroom";
    case preemption_cause::kNoSlot:
      return "no_slot";
    case preemption_cause::kQueue:
      return "queue";
  }
  return "";
}

}  // namespace chalkshed
