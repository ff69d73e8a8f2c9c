// Counts the control-plane messages, bytes and CPU time of a node by kind of message.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chalkshed {

struct MessageTally {
  uint64_t messages = 0;
  uint64_t bytes_sent = 0;  // protocol headers included, partly estimated (see kCallPacketBytes)
  uint64_t bytes_received = 0;
  uint64_t cpu_nanoseconds = 0;  // spent in the handler of the message or of its response

  void add(const MessageTally& other) {
    messages += other.messages;
    bytes_sent += other.bytes_sent;
    bytes_received += other.bytes_received;
    cpu_nanoseconds += other.cpu_nanoseconds;
  }
};

// IP and TCP headers of an HTTP call on a keep-alive connection, in each direction: one segment and
// one acknowledgement with 52 bytes of headers each. An estimate; all other bytes are counted.
constexpr uint64_t kCallPacketBytes = 104;

class ControlMeter {
 public:
  MessageTally& tally(const std::string& kind) { return tallies_[kind]; }
  const std::map<std::string, MessageTally>& tallies() const { return tallies_; }

 private:
  std::map<std::string, MessageTally> tallies_;
};

// Adds the thread's CPU time between construction and destruction to a tally.
class CpuScope {
 public:
  explicit CpuScope(MessageTally& tally);
  ~CpuScope();
  CpuScope(const CpuScope&) = delete;
  CpuScope& operator=(const CpuScope&) = delete;

 private:
  MessageTally& tally_;
  uint64_t started_;
};

}  // namespace chalkshed
