#include "src/membership/traffic.h"

namespace chalkshed {

KindTraffic MembershipTraffic::total() const {
  KindTraffic sum;
  for (const KindTraffic& kind : kinds) {
    sum.messages_sent += kind.messages_sent;
    sum.bytes_sent += kind.bytes_sent;
    sum.messages_received += kind.messages_received;
    sum.bytes_received += kind.bytes_received;
  }
  return sum;
}

TrafficRecorder::TrafficRecorder(MetricsRegistry& metrics) {
  const std::string messages = "chalkshed_membership_messages_total";
  const std::string bytes = "chalkshed_membership_bytes_total";
  const std::string messages_help = "Membership datagrams by kind and direction";
  const std::string bytes_help = "Payload bytes of membership datagrams by kind and direction";
  for (size_t index = 0; index < kDatagramKinds; ++index) {
    const std::string kind(datagram_kind_name(static_cast<DatagramKind>(index)));
    const MetricLabels sent{{"kind", kind}, {"direction", "sent"}};
    const MetricLabels received{{"kind", kind}, {"direction", "received"}};
    counters_[index] = {&metrics.counter(messages, messages_help, sent),
                        &metrics.counter(bytes, bytes_help, sent),
                        &metrics.counter(messages, messages_help, received),
                        &metrics.counter(bytes, bytes_help, received)};
  }
  dropped_ = &metrics.counter("chalkshed_membership_dropped_datagrams_total",
                              "Membership datagrams that were malformed or damaged", {});
  refused_ = &metrics.counter("chalkshed_gossip_refused_entries_total",
                              "Gossip entries refused for their size or a full store", {});
}

void TrafficRecorder::sent(DatagramKind kind, size_t bytes) {
  const auto index = static_cast<size_t>(kind);
  traffic_.kinds[index].messages_sent += 1;
  traffic_.kinds[index].bytes_sent += bytes;
  counters_[index].messages_sent->add(1);
  counters_[index].bytes_sent->add(static_cast<double>(bytes));
}

void TrafficRecorder::received(DatagramKind kind, size_t bytes) {
  const auto index = static_cast<size_t>(kind);
  traffic_.kinds[index].messages_received += 1;
  traffic_.kinds[index].bytes_received += bytes;
  counters_[index].messages_received->add(1);
  counters_[index].bytes_received->add(static_cast<double>(bytes));
}

void TrafficRecorder::dropped() {
  traffic_.datagrams_dropped += 1;
  dropped_->add(1);
}

void TrafficRecorder::entry_refused() {
  traffic_.entries_refused += 1;
  refused_->add(1);
}

}  // namespace chalkshed
