// Batch clients: submit jobs, resend submissions, poll, cancel and read outputs.
#pragma once

#include <memory>
#include <string>
#include <vector>

#include "sim/simulated_cluster.h"
#include "sim/workload_requests.h"

namespace chalkshed {

struct BatchWorkloadKnobs {
  Duration mean_interval = std::chrono::seconds(5);  // between new jobs
  uint32_t min_items = 5;
  uint32_t max_items = 40;
  uint32_t max_answer_tokens = 60;
  double cancel_share = 0.35;
  Duration max_delay_before_cancel = std::chrono::seconds(8);
  double resend_after_acceptance_share = 0.4;
  Duration poll_interval = std::chrono::milliseconds(1500);
};

class BatchWorkload {
 public:
  BatchWorkload(SimulatedCluster& cluster, uint64_t seed, const BatchWorkloadKnobs& knobs = {});
  void start();
  void stop() { timer_->disable(); }
  // @return whether every submission was accepted and every accepted job has ended.
  bool settled() const;
  bool all_accepted() const;
  // Reads the outputs of all accepted jobs, for the final check.
  void read_all_outputs();
  bool all_outputs_read() const { return pending_final_reads_ == 0; }
  uint64_t operations() const { return operations_; }
  void submit_new(uint32_t item_count);
  void cancel_all();

 private:
  struct Job {
    std::string key;
    HttpRequest submission;
    std::string id;  // once accepted
    bool cancels = false;
    bool ended = false;
    bool read = false;  // its complete output, at the end
  };
  using JobPtr = std::shared_ptr<Job>;

  void arm();
  void submit(const JobPtr& job);
  void on_submitted(const JobPtr& job, const CallerAnswer& answer);
  void poll(const JobPtr& job);
  void on_status(const JobPtr& job, const CallerAnswer& answer);
  void cancel(const JobPtr& job);
  void read_output(const JobPtr& job, bool final);
  void record_status(const JobPtr& job, const std::string& body);
  void after(Duration delay, std::function<void()> callback);
  void send(CallKind kind, const JobPtr& job, HttpRequest http, SimulatedCaller::Done done);

  SimulatedCluster& cluster_;
  SeededRandomGenerator random_;
  const BatchWorkloadKnobs knobs_;
  TimerPtr timer_;
  std::vector<JobPtr> jobs_;
  uint64_t pending_final_reads_ = 0;
  uint64_t operations_ = 0;
};

}  // namespace chalkshed
