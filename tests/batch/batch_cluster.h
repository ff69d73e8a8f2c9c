// Several batch services on one emulated platform with simulated workers in virtual time.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "emulator/emulated_platform.h"
#include "sim/virtual_time.h"
#include "src/batch/batch_service.h"

namespace chalkshed {

// Records the activity of the workers of all nodes.
struct WorkerLog {
  std::map<std::string, uint32_t> completions;        // by prompt
  std::map<std::string, MonotonicTime> last_token;    // by prompt
  std::vector<std::string> started;                   // prompts, in order
  std::map<std::string, uint32_t> injected_failures;  // by prompt: number of streams to break
  uint32_t active = 0;
};

// Text that a worker generates for a prompt.
std::string expected_answer(const std::string& prompt, uint32_t tokens);

// A response as received by a caller.
struct RecordedAnswer {
  int status = 0;  // 0: none yet
  HttpHeaders headers;
  std::string body;
  bool finished = false;
  bool aborted = false;
};

class BatchCluster {
 public:
  struct Options {
    size_t nodes = 3;
    uint32_t slots = 8;  // concurrent batch sequences per node
    Duration token_time = std::chrono::milliseconds(5);
    BatchKnobs knobs;
    uint64_t seed = 1;
  };

  explicit BatchCluster(const Options& options);
  ~BatchCluster();

  // Sends a request to a node. A stopped node never responds.
  std::shared_ptr<RecordedAnswer> send(size_t node, const std::string& method,
                                       const std::string& path, const std::string& body = "",
                                       HttpHeaders headers = {});
  void run_for(Duration duration) { clock_.run_for(duration); }
  // Runs until the response has arrived, at most for `limit`.
  void wait(const RecordedAnswer& answer, Duration limit = std::chrono::seconds(30));

  // Submits a job and waits for the response. @return the job id; fails the test when it is
  // rejected.
  std::string submit(size_t node, const std::string& lines, HttpHeaders headers = {});
  // @return the status reported by the node, or the error kind.
  std::string status(size_t node, const std::string& job);
  std::vector<std::string> output(size_t node, const std::string& job);
  // Runs until the job has this status, at most for `limit`. @return whether it was reached.
  bool run_until(size_t node, const std::string& job, const std::string& status, Duration limit);

  void kill(size_t node);
  void restart(size_t node);
  bool up(size_t node) const;
  void freeze(size_t node);
  void thaw(size_t node);
  // Drops calls from peers to the node.
  void disconnect_from_peers(size_t node);
  void set_store_unreachable(size_t node, bool unreachable);
  void set_slots(size_t node, uint32_t slots);
  void revoke_slots(size_t node);
  void add_tenant(const std::string& name, double weight);

  EmulatedPlatform& platform() { return *platform_; }
  WorkerLog& worker_log() { return worker_log_; }
  VirtualClock& clock() { return clock_; }
  BatchService& service(size_t node);
  uint64_t posts(size_t node) const;

 private:
  struct Node;
  class Membership;
  class Slots;
  class Engines;
  class Configurations;
  class Network;

  std::unique_ptr<Node> make_node(size_t index, uint64_t incarnation);
  void update_members();

  Options options_;
  VirtualClock clock_;
  SeededRandomGenerator random_;
  VirtualDispatcher platform_loop_;
  std::unique_ptr<EmulatedPlatform> platform_;
  WorkerLog worker_log_;
  std::shared_ptr<Configuration> configuration_;
  std::vector<Member> members_;
  std::unique_ptr<Network> network_;
  std::vector<std::unique_ptr<Node>> nodes_;
  uint64_t next_incarnation_ = 1;
};

// Input lines "<prefix><n>" with prompts of the same name.
std::string job_lines(const std::string& prefix, uint32_t items, uint32_t max_tokens = 4);

// Checks that the output contains each item of job_lines() exactly once, with its complete text.
void expect_complete(const std::vector<std::string>& output, const std::string& prefix,
                     uint32_t items, uint32_t max_tokens = 4);

}  // namespace chalkshed
