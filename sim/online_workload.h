// Online clients: streamed and non-streamed completions, non-idempotent requests and requests to
// plain services. Failed requests are resent through other nodes.
#pragma once

#include <memory>
#include <string>

#include "sim/simulated_cluster.h"

namespace chalkshed {

struct OnlineWorkloadKnobs {
  Duration mean_interval = std::chrono::milliseconds(120);  // between new requests
  uint32_t max_prompt_words = 120;
  uint32_t max_answer_tokens = 60;
  // Shares of the request kinds; the rest are streamed completions.
  double plain_share = 0.2;
  double not_repeatable_share = 0.2;
  double service_share = 0.25;
  double unknown_model_share = 0.02;
  double short_deadline_share = 0.03;
  double resend_share = 0.8;  // of the requests, those that are resent after a failure
  uint32_t max_resends = 4;
  // Sends the same request a second time immediately, through a random node.
  double duplicate_send_share = 0.3;  // of the non-idempotent requests
};

class OnlineWorkload {
 public:
  OnlineWorkload(SimulatedCluster& cluster, uint64_t seed, const OnlineWorkloadKnobs& knobs = {});
  void start();
  void stop() { timer_->disable(); }
  bool settled() const { return in_progress_ == 0; }
  uint64_t operations() const { return operations_; }
  // Sends one additional streamed completion to a given node.
  void send_stream(const std::string& node);

 private:
  struct Request;
  using RequestPtr = std::shared_ptr<Request>;

  void arm();
  void send_new();
  RequestPtr make_request();
  void send(const RequestPtr& request, const std::string& node);
  void on_answer(const RequestPtr& request, const CallerAnswer& answer);
  std::string random_node();
  std::string make_prompt();

  SimulatedCluster& cluster_;
  SeededRandomGenerator random_;
  const OnlineWorkloadKnobs knobs_;
  TimerPtr timer_;
  uint64_t next_request_ = 0;
  uint64_t in_progress_ = 0;
  uint64_t operations_ = 0;
};

}  // namespace chalkshed
