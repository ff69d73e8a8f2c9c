#include "bench/live_bench.h"

#include <unistd.h>

#include <fstream>
#include <nlohmann/json.hpp>
#include <stdexcept>

#include "bench/live_calls.h"
#include "bench/run_record.h"
#include "src/adapters/engine_codec.h"
#include "src/event/system_time_source.h"

namespace chalkshed::bench {
namespace {

using nlohmann::json;

constexpr uint32_t kHopAnswerTokens = 4;
constexpr uint32_t kStreamAnswerTokens = 256;
constexpr uint32_t kHopWarmUp = 20;
constexpr Duration kPingInterval = std::chrono::milliseconds(10);
constexpr Duration kStartTimeout = std::chrono::seconds(20);
constexpr Duration kStartRetryDelay = std::chrono::milliseconds(200);
constexpr Duration kStreamWarmUp = std::chrono::seconds(1);

double milliseconds(Duration duration) { return static_cast<double>(duration.count()) / 1000; }

// CPU time that a process has used, in seconds.
double cpu_seconds(int process) {
  std::ifstream file("/proc/" + std::to_string(process) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), {});
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  constexpr int kFieldsBeforeUserTime = 11;
  std::string skipped;
  for (int field = 0; field < kFieldsBeforeUserTime; ++field) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

class LiveBench {
 public:
  explicit LiveBench(const LiveSettings& settings)
      : settings_(settings), calls_(dispatcher_, time_source_) {}

  json run() {
    wait_until_served();
    json result = measure_hop();
    const std::vector<double> idle = ping();
    result["ping_p50_ms"] = percentile(idle, 0.5);
    result["ping_p99_ms"] = percentile(idle, 0.99);
    result.update(measure_streams());
    result.update(measure_pings_beside_batch(idle));
    return result;
  }

 private:
  HttpRequest node_request(const std::string& prompt, uint32_t max_tokens) const {
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/completions";
    request.headers = {{"Authorization", "Bearer " + settings_.online_key},
                       {"Content-Type", "application/json"}};
    request.body = json{{"model", settings_.model},
                        {"prompt", prompt},
                        {"max_tokens", max_tokens},
                        {"stream", true},
                        {"stream_options", {{"include_usage", true}}}}
                       .dump();
    return request;
  }

  HttpRequest direct_request(const std::string& prompt, uint32_t max_tokens) {
    GenerateRequest generate;
    generate.attempt_id = "bench-" + std::to_string(next_attempt_++);
    generate.model = settings_.model;
    generate.prompt = prompt;
    generate.max_tokens = max_tokens;
    HttpRequest request;
    request.method = "POST";
    request.path = "/generate";
    request.body = encode_generate_request(generate);
    return request;
  }

  static void check(const CallOutcome& outcome) {
    if (!outcome.succeeded) {
      throw std::runtime_error("a request failed: " + outcome.tail);
    }
  }

  // A node that has just started refuses requests until it knows the drain marks of the workers.
  void wait_until_served() {
    const MonotonicTime deadline = calls_.now() + kStartTimeout;
    TimerPtr wake = dispatcher_.create_timer([] {});
    while (!calls_.send_and_wait(settings_.node, node_request("Are you ready?", 1)).succeeded) {
      if (calls_.now() > deadline) {
        throw std::runtime_error("the node does not serve requests");
      }
      wake->enable(kStartRetryDelay);
      calls_.run_until([&] { return !wake->enabled(); });
    }
  }

  // Alternates direct requests and requests through the node, one at a time, so that both are
  // measured under the same machine load.
  json measure_hop() {
    std::vector<double> hop_total;
    std::vector<double> hop_first;
    std::vector<double> direct_total;
    std::vector<double> direct_first;
    for (uint32_t number = 0; number < settings_.hop_requests + kHopWarmUp; ++number) {
      const std::string prompt = "Hop question number " + std::to_string(number);
      const CallOutcome direct =
          calls_.send_and_wait(settings_.worker, direct_request(prompt, kHopAnswerTokens));
      const CallOutcome hop =
          calls_.send_and_wait(settings_.node, node_request(prompt, kHopAnswerTokens));
      check(direct);
      check(hop);
      if (number >= kHopWarmUp) {
        hop_total.push_back(milliseconds(hop.total));
        hop_first.push_back(milliseconds(hop.first_byte));
        direct_total.push_back(milliseconds(direct.total));
        direct_first.push_back(milliseconds(direct.first_byte));
      }
    }
    const auto ratio = [](const std::vector<double>& over, const std::vector<double>& under,
                          double fraction) {
      return percentile(over, fraction) / percentile(under, fraction);
    };
    return {{"hop_p50_ratio", ratio(hop_total, direct_total, 0.5)},
            {"hop_p99_ratio", ratio(hop_total, direct_total, 0.99)},
            {"hop_first_token_p50_ratio", ratio(hop_first, direct_first, 0.5)},
            {"hop_first_token_p99_ratio", ratio(hop_first, direct_first, 0.99)},
            {"straight_p50_ms", percentile(direct_total, 0.5)},
            {"straight_p99_ms", percentile(direct_total, 0.99)},
            {"hop_p50_ms", percentile(hop_total, 0.5)},
            {"hop_p99_ms", percentile(hop_total, 0.99)}};
  }

  HttpRequest ping_request() const {
    HttpRequest request;
    request.method = "GET";
    request.path = "/services/" + settings_.plain_service + "/status";
    request.headers = {{"Authorization", "Bearer " + settings_.online_key}};
    return request;
  }

  // Open loop: sends a ping every interval without waiting for earlier ones.
  std::vector<double> ping() {
    std::vector<double> latencies;
    uint32_t sent = 0;
    uint32_t failed = 0;
    const MonotonicTime begin = calls_.now();
    const HttpRequest request = ping_request();
    TimerPtr timer = dispatcher_.create_timer([&] {
      while (sent < settings_.pings && begin + kPingInterval * sent <= calls_.now()) {
        calls_.send(settings_.node, request, begin + kPingInterval * sent,
                    [&](const CallOutcome& outcome) {
                      failed += outcome.succeeded ? 0 : 1;
                      latencies.push_back(milliseconds(outcome.total));
                    });
        ++sent;
      }
      if (sent < settings_.pings) {
        timer->enable(begin + kPingInterval * sent - calls_.now());
      }
    });
    timer->enable(Duration(0));
    calls_.run_until([&] { return latencies.size() == settings_.pings; });
    if (failed > 0) {
      throw std::runtime_error(std::to_string(failed) + " pings failed");
    }
    return latencies;
  }

  static uint64_t tokens_of(const CallOutcome& outcome) {
    constexpr std::string_view kField = "\"completion_tokens\":";
    const size_t found = outcome.tail.rfind(kField);
    if (found == std::string::npos) {
      throw std::runtime_error("a stream ended without a usage event");
    }
    return std::strtoull(outcome.tail.c_str() + found + kField.size(), nullptr, 10);
  }

  void start_stream() {
    const std::string prompt = "Stream question number " + std::to_string(next_attempt_++);
    calls_.send(settings_.node, node_request(prompt, kStreamAnswerTokens), calls_.now(),
                [this](const CallOutcome& outcome) {
                  check(outcome);
                  streamed_tokens_ += tokens_of(outcome);
                  if (!stop_streams_) {
                    start_stream();
                  }
                });
  }

  json measure_streams() {
    stop_streams_ = false;
    for (uint32_t number = 0; number < settings_.streams; ++number) {
      start_stream();
    }
    const MonotonicTime warm = calls_.now() + kStreamWarmUp;
    TimerPtr wake = dispatcher_.create_timer([] {});
    wake->enable(kStreamWarmUp);
    calls_.run_until([&] { return calls_.now() >= warm; });
    const MonotonicTime begin = calls_.now();
    const uint64_t tokens_before = streamed_tokens_;
    const double cpu_before = settings_.node_process > 0 ? cpu_seconds(settings_.node_process) : 0;
    wake->enable(std::chrono::seconds(settings_.stream_seconds));
    const MonotonicTime end = begin + std::chrono::seconds(settings_.stream_seconds);
    calls_.run_until([&] { return calls_.now() >= end; });
    const double seconds = std::chrono::duration<double>(calls_.now() - begin).count();
    const auto tokens = static_cast<double>(streamed_tokens_ - tokens_before);
    json result = {{"streams", settings_.streams},
                   {"streamed_tokens_per_second", tokens / seconds}};
    if (settings_.node_process > 0) {
      const double cpu = cpu_seconds(settings_.node_process) - cpu_before;
      result["node_cpu_cores"] = cpu / seconds;
      result["node_cpu_us_per_token"] = 1e6 * cpu / tokens;
    }
    const std::vector<double> pings = ping();
    result["ping_beside_streams_p50_ms"] = percentile(pings, 0.5);
    result["ping_beside_streams_p99_ms"] = percentile(pings, 0.99);
    stop_streams_ = true;
    calls_.run_until([&] { return calls_.in_progress() == 0; });
    return result;
  }

  std::string start_batch() {
    std::string lines;
    for (uint32_t number = 0; number < settings_.batch_items; ++number) {
      const json body = {{"model", settings_.model},
                         {"prompt", "Batch item number " + std::to_string(number)},
                         {"max_tokens", 100}};
      lines += json{{"custom_id", "item-" + std::to_string(number)},
                    {"method", "POST"},
                    {"url", "/v1/completions"},
                    {"body", body}}
                   .dump() +
               "\n";
    }
    HttpRequest request;
    request.method = "POST";
    request.path = "/v1/batches";
    request.headers = {
        {"Authorization", "Bearer " + settings_.batch_key},
        {"Idempotency-Key", "bench-" + std::to_string(calls_.now().time_since_epoch().count())}};
    request.body = std::move(lines);
    const CallOutcome outcome = calls_.send_and_wait(settings_.node, request);
    check(outcome);
    return json::parse(outcome.tail).at("id").get<std::string>();
  }

  uint64_t completed_items(const std::string& job) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/v1/batches/" + job;
    request.headers = {{"Authorization", "Bearer " + settings_.batch_key}};
    const CallOutcome outcome = calls_.send_and_wait(settings_.node, request);
    check(outcome);
    return json::parse(outcome.tail).at("request_counts").at("completed").get<uint64_t>();
  }

  json measure_pings_beside_batch(const std::vector<double>& idle) {
    const std::string job = start_batch();
    const uint64_t before = completed_items(job);
    const std::vector<double> pings = ping();
    const uint64_t after = completed_items(job);
    return {{"ping_beside_batch_p50_ms", percentile(pings, 0.5)},
            {"ping_beside_batch_p99_ms", percentile(pings, 0.99)},
            {"ping_p50_ratio", percentile(pings, 0.5) / percentile(idle, 0.5)},
            {"ping_p99_ratio", percentile(pings, 0.99) / percentile(idle, 0.99)},
            {"batch_items_during_pings", after - before}};
  }

  const LiveSettings& settings_;
  SystemTimeSource time_source_;
  EventDispatcher dispatcher_;
  LiveCalls calls_;
  uint64_t next_attempt_ = 0;
  uint64_t streamed_tokens_ = 0;
  bool stop_streams_ = false;
};

}  // namespace

std::string run_live(const LiveSettings& settings) { return LiveBench(settings).run().dump(); }

}  // namespace chalkshed::bench
