// Counts of datagrams and bytes by kind, for metrics and for the scale tests.
#pragma once

#include <array>
#include <cstdint>

#include "src/membership/datagram.h"
#include "src/metrics/metrics.h"

namespace chalkshed {

// Bytes that IPv4 and UDP headers add to each datagram.
constexpr uint64_t kDatagramOverheadBytes = 28;

struct KindTraffic {
  uint64_t messages_sent = 0;
  uint64_t bytes_sent = 0;  // payload; add kDatagramOverheadBytes per message for the wire
  uint64_t messages_received = 0;
  uint64_t bytes_received = 0;
};

struct MembershipTraffic {
  std::array<KindTraffic, kDatagramKinds> kinds;
  uint64_t datagrams_dropped = 0;  // malformed or corrupt
  uint64_t entries_refused = 0;    // too large, or the store was full

  const KindTraffic& of(DatagramKind kind) const { return kinds[static_cast<size_t>(kind)]; }
  KindTraffic total() const;
};

// Counts the traffic and exports the counts to the metrics registry.
class TrafficRecorder {
 public:
  explicit TrafficRecorder(MetricsRegistry& metrics);

  void sent(DatagramKind kind, size_t bytes);
  void received(DatagramKind kind, size_t bytes);
  void dropped();
  void entry_refused();
  const MembershipTraffic& traffic() const { return traffic_; }

 private:
  struct KindCounters {
    Counter* messages_sent = nullptr;
    Counter* bytes_sent = nullptr;
    Counter* messages_received = nullptr;
    Counter* bytes_received = nullptr;
  };

  MembershipTraffic traffic_;
  std::array<KindCounters, kDatagramKinds> counters_;
  Counter* dropped_ = nullptr;
  Counter* refused_ = nullptr;
};

}  // namespace chalkshed
