// A fleet in virtual time, all of whose nodes are killed at the same moment and start again within
// the next two seconds, while callers keep sending and jobs are open. The store has rate limits.
#pragma once

#include <list>
#include <optional>
#include <vector>

#include "src/jobs/job_rows.h"
#include "tests/recovery/slot_workers.h"

namespace chalkshed {

struct FleetSize {
  size_t nodes = 30;
  size_t zones = 3;
  size_t workers = 60;
  size_t jobs = 60;  // open when the nodes are lost
  double streams_per_second = 220;
  size_t finished_jobs = 300;
};

// A stream of a caller, and when its first event arrived.
struct TimedStream {
  MonotonicTime sent{};
  std::string node;
  std::optional<Duration> first_event;
  bool refused = false;
  bool loads_known = false;  // whether the node knew the loads of the others when it arrived
  SeenAnswerPtr seen = std::make_shared<SeenAnswer>();
};

class TimedWriter : public FakeWriter {
 public:
  TimedWriter(VirtualClock& clock, std::shared_ptr<TimedStream> stream)
      : FakeWriter(stream->seen), clock_(clock), stream_(std::move(stream)) {}
  void write(std::string_view chunk) override {
    if (!stream_->first_event && stream_->seen->status == 200) {
      stream_->first_event = clock_.monotonic_now() - stream_->sent;
    }
    FakeWriter::write(chunk);
  }

 private:
  VirtualClock& clock_;
  std::shared_ptr<TimedStream> stream_;
};

class LostFleet {
 public:
  explicit LostFleet(const FleetSize& size, uint64_t seed = 1)
      : size_(size), random_(seed), cluster_(0, 0), workers_(cluster_) {
    for (size_t index = 0; index < size.workers; ++index) {
      write_worker(index);
    }
    write_finished_jobs();
    for (size_t index = 0; index < size.nodes; ++index) {
      start_node(index);
    }
    cluster_.clock.run_for(seconds(4));
    limit_store();
    schedule_stream();
  }
  LostFleet(const LostFleet&) = delete;
  LostFleet& operator=(const LostFleet&) = delete;

  void run_for(Duration duration) {
    const MonotonicTime end = cluster_.clock.monotonic_now() + duration;
    while (cluster_.clock.monotonic_now() < end) {
      cluster_.clock.run_for(milliseconds(5));
      note_ready_nodes();
      note_reads();
    }
  }
  void submit_jobs(size_t items = 10) {
    for (size_t index = 0; index < size_.jobs; ++index) {
      const std::string node = name_of(random_.below(size_.nodes));
      cluster_.node(node).jobs().submit(
          cluster_.job("j" + std::to_string(index), items),
          [this](const Expected<std::monostate>& accepted) { accepted_jobs += accepted ? 1 : 0; });
    }
  }
  // Kills all nodes. They start again `first_start` later, spread over another second.
  void lose_all_nodes() {
    std::set<std::string> sessions;
    for (size_t index = 0; index < size_.nodes; ++index) {
      sessions.insert(cluster_.nodes.at(name_of(index))->session);
    }
    workers_.lose_sessions(sessions);
    ready_.clear();
    started_.clear();
    for (size_t index = 0; index < size_.nodes; ++index) {
      cluster_.kill_node(name_of(index));
    }
    streams.clear();
    reset_store_calls();
    workers_.most_queued = 0;
    lost_at = cluster_.clock.monotonic_now();
    for (size_t index = 0; index < size_.nodes; ++index) {
      const Duration later =
          first_start + std::chrono::duration_cast<Duration>(start_spread * random_.unit());
      call_after(cluster_.loop, later, [this, index] { start_node(index); });
    }
  }

  void reset_store_calls() {
    cluster_.shared.limited.reset_counts();
    reads_.clear();
    most_reads_ = 0;
  }

  // What was recorded after the last loss, by node: the time from its start to each step.
  struct NodeStart {
    std::array<std::optional<Duration>, kStartSteps> steps;
    std::optional<Duration> first_answer;  // first event of its first stream, from its start
  };
  std::vector<NodeStart> node_starts() {
    std::vector<NodeStart> starts;
    for (size_t index = 0; index < size_.nodes; ++index) {
      const std::string name = name_of(index);
      NodeStart start;
      for (size_t step = 0; step < kStartSteps; ++step) {
        start.steps[step] = cluster_.node(name).start_steps().at(static_cast<start_step>(step));
      }
      for (const auto& stream : streams) {
        if (stream->node == name && stream->first_event) {
          const Duration answered = stream->sent + *stream->first_event - started_.at(name);
          start.first_answer = std::min(start.first_answer.value_or(answered), answered);
        }
      }
      starts.push_back(start);
    }
    return starts;
  }
  // The streams sent to a node within `window` of the time when it became ready.
  std::vector<TimedStream> first_streams(Duration window) const {
    std::vector<TimedStream> first;
    for (const auto& stream : streams) {
      const auto ready = ready_.find(stream->node);
      if (ready != ready_.end() && stream->sent - ready->second <= window) {
        first.push_back(*stream);
      }
    }
    return first;
  }
  // Time from the loss until the last node became ready; nothing if one is not.
  std::optional<Duration> all_ready() const {
    if (ready_.size() < size_.nodes) {
      return std::nullopt;
    }
    Duration last{0};
    for (const auto& [node, at] : ready_) {
      last = std::max(last, at - lost_at);
    }
    return last;
  }
  // The streams sent between two times after the loss.
  std::vector<TimedStream> streams_between(Duration from, Duration until) const {
    std::vector<TimedStream> found;
    for (const auto& stream : streams) {
      if (stream->sent >= lost_at + from && stream->sent < lost_at + until) {
        found.push_back(*stream);
      }
    }
    return found;
  }
  // The most calls that the nodes sent to read from the store within a second, including refused
  // ones.
  uint64_t most_reads_per_second() const { return most_reads_; }
  MonotonicTime now() const { return cluster_.clock.monotonic_now(); }
  LimitedCalls& store_calls() { return cluster_.shared.limited; }
  SlotWorkers& workers() { return workers_; }
  ServingCluster& cluster() { return cluster_; }

  Duration first_start = seconds(1);
  Duration start_spread = seconds(1);
  MonotonicTime lost_at{};
  std::list<std::shared_ptr<TimedStream>> streams;
  uint64_t unsent = 0;  // streams for which no node was ready
  uint64_t accepted_jobs = 0;

 private:
  static std::string name_of(size_t index) { return "n" + std::to_string(index); }

  void limit_store() {
    StoreLimits& limits = cluster_.shared.limited.limits;
    limits.reads_per_second = 6000;
    limits.writes_per_second = 1500;
    limits.partition_writes_per_second = 200;
    limits.bytes_per_second = 4e9 / 8;
    cluster_.shared.limited.reset_counts();
  }
  void write_worker(size_t index) {
    const nlohmann::json worker = {{"service", "engines"},
                                   {"address", "10.1.0." + std::to_string(index) + ":80"},
                                   {"zone", "zone-" + std::to_string(index % size_.zones)},
                                   {"slots", SlotWorkers::kSlots},
                                   {"version", "1"},
                                   {"state", "ready"}};
    cluster_.put("servers", "i-" + std::to_string(index), worker.dump());
  }
  void start_node(size_t index) {
    const std::string name = name_of(index);
    started_[name] = cluster_.clock.monotonic_now();
    cluster_.start_node(name, "zone-" + std::to_string(index % size_.zones));
  }
  void note_ready_nodes() {
    for (const auto& [name, node] : cluster_.nodes) {
      if (node && node->node.not_ready_reason() == nullptr) {
        ready_.try_emplace(name, cluster_.clock.monotonic_now());
      }
    }
  }
  void note_reads() {
    uint64_t total = 0;
    for (const auto& [kind, count] : cluster_.shared.limited.counts()) {
      total += kind.starts_with("commit") ? 0 : count.answered + count.refused;
    }
    const MonotonicTime now = cluster_.clock.monotonic_now();
    reads_.emplace_back(now, total);
    while (now - reads_.front().first > seconds(1)) {
      reads_.pop_front();
    }
    most_reads_ = std::max(most_reads_, total - reads_.front().second);
  }
  // Jobs that ended before the loss, whose records are kept for minutes.
  void write_finished_jobs() {
    for (size_t index = 0; index < size_.finished_jobs; ++index) {
      StoredJob record;
      record.id = "f" + std::to_string(index);
      record.host = "a.example";
      record.path = "/batch/j";
      record.items = 10;
      record.owner = name_of(index % size_.nodes) + "#0";
      record.epoch = 1;
      record.finished = true;
      StoreTransaction transaction;
      transaction.writes.push_back({stored_job_key(record.id), encode_job_record(record)});
      cluster_.shared.rows.commit(transaction);
    }
  }
  // Streams arrive at random times; each goes to a node that is ready.
  void schedule_stream() {
    const std::chrono::duration<double> pause(-std::log(1.0 - random_.unit()) /
                                              size_.streams_per_second);
    call_after(cluster_.loop, std::chrono::duration_cast<Duration>(pause), [this] {
      send_stream();
      schedule_stream();
    });
  }
  void send_stream() {
    if (ready_.empty()) {
      ++unsent;
      return;
    }
    auto chosen = ready_.begin();
    std::advance(chosen, static_cast<ptrdiff_t>(random_.below(ready_.size())));
    auto stream = std::make_shared<TimedStream>();
    stream->sent = cluster_.clock.monotonic_now();
    stream->node = chosen->first;
    streams.push_back(stream);
    ServingNode& node = cluster_.node(chosen->first);
    stream->loads_known = node.start_steps().at(start_step::kLoads).has_value();
    const std::string id = "s" + std::to_string(++sent_);
    if (node.refuse(id)) {
      stream->refused = true;
      return;
    }
    HttpRequest message;
    message.method = "POST";
    message.path = "/fixed/x";
    message.body = "body of " + id;
    message.headers = {{platform::kRequestId, id}, {platform::kDeadline, "5000"}};
    const RouteTablePtr table = node.routes();
    const Route* route = table->find("a.example", message.path);
    node.gateway().handle(table, *route, platform::read_request("a.example", std::move(message)),
                          std::make_unique<TimedWriter>(cluster_.clock, stream));
  }

  const FleetSize size_;
  SeededRandomGenerator random_;
  ServingCluster cluster_;
  SlotWorkers workers_;
  std::map<std::string, MonotonicTime> ready_;
  std::map<std::string, MonotonicTime> started_;
  uint64_t sent_ = 0;
  std::list<std::pair<MonotonicTime, uint64_t>> reads_;  // total calls to read, of the last second
  uint64_t most_reads_ = 0;
};

}  // namespace chalkshed
