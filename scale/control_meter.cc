#include "scale/control_meter.h"

#include <ctime>

namespace chalkshed {
namespace {

uint64_t thread_cpu_nanoseconds() {
  timespec time{};
  clock_gettime(CLOCK_THREAD_CPUTIME_ID, &time);
  return static_cast<uint64_t>(time.tv_sec) * 1'000'000'000U + static_cast<uint64_t>(time.tv_nsec);
}

}  // namespace

CpuScope::CpuScope(MessageTally& tally) : tally_(tally), started_(thread_cpu_nanoseconds()) {}

CpuScope::~CpuScope() { tally_.cpu_nanoseconds += thread_cpu_nanoseconds() - started_; }

}  // namespace chalkshed
