// The rate limits of a store and the count of its calls. Independent of the store: every time is
// passed in.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "src/core/time.h"

namespace chalkshed {

// Limits of the store for all of its clients together; 0: unlimited. Calls beyond them are refused
// with status 429.
struct StoreLimits {
  double reads_per_second = 0;
  double writes_per_second = 0;
  double partition_writes_per_second = 0;
  // Answers are sent one after the other at this rate.
  double bytes_per_second = 0;
  // Calls of this much time at the allowed rate are accepted at the same moment.
  Duration burst = std::chrono::milliseconds(100);
};

// Allows a number of calls per second, with a bounded burst.
class CallRate {
 public:
  // @return whether a call at that time is within the limit.
  bool admit(MonotonicTime now, double per_second, Duration burst);

 private:
  double available_ = 0;
  MonotonicTime refilled_{};
};

// Answered and refused calls of one kind.
struct CallCount {
  uint64_t answered = 0;
  uint64_t refused = 0;
};

class LimitedCalls {
 public:
  StoreLimits limits;

  // @param kind of the call, for counting. @return whether the call is within the limits.
  bool admit_read(const std::string& kind, MonotonicTime now);
  // @param partition the table and partition that the call writes.
  bool admit_write(const std::string& kind, const std::string& partition, MonotonicTime now);
  // @return the time until an answer of that size has been sent.
  Duration send(uint64_t bytes, MonotonicTime now);

  const std::map<std::string, CallCount>& counts() const { return counts_; }
  uint64_t bytes_sent() const { return bytes_sent_; }
  void reset_counts();

 private:
  bool count(const std::string& kind, bool admitted);

  CallRate reads_;
  CallRate writes_;
  std::map<std::string, CallRate> partition_writes_;
  std::map<std::string, CallCount> counts_;
  uint64_t bytes_sent_ = 0;
  MonotonicTime sent_until_{};
};

}  // namespace chalkshed
