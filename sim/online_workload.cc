#include "sim/online_workload.h"

#include <nlohmann/json.hpp>

#include "emulator/answer_model.h"
#include "sim/simulated_backend.h"
#include "sim/workload_requests.h"

namespace chalkshed {

namespace {

constexpr uint32_t kSharedPrefixes = 4;
constexpr Duration kResendDelay = std::chrono::milliseconds(300);
constexpr Duration kCallTimeout = std::chrono::seconds(25);
constexpr const char* kShortDeadline = "40";  // milliseconds

std::string joined(const std::vector<std::string>& tokens) {
  std::string text;
  for (const std::string& token : tokens) {
    text += token;
  }
  return text;
}

}  // namespace

struct OnlineWorkload::Request {
  CallBegan began;
  HttpRequest http;
  uint32_t sends = 0;
  bool resends = false;
};

OnlineWorkload::OnlineWorkload(SimulatedCluster& cluster, uint64_t seed,
                               const OnlineWorkloadKnobs& knobs)
    : cluster_(cluster),
      random_(seed),
      knobs_(knobs),
      timer_(cluster.caller().dispatcher().create_timer([this] { send_new(); })) {}

void OnlineWorkload::start() { arm(); }

void OnlineWorkload::arm() {
  const auto bound = static_cast<uint64_t>(2 * knobs_.mean_interval.count());
  timer_->enable(Duration(static_cast<int64_t>(random_.below(bound))));
}

std::string OnlineWorkload::random_node() {
  return cluster_.nodes()[random_.below(cluster_.nodes().size())];
}

// Prompts share a few prefixes, so that the router's prefix affinity is exercised.
std::string OnlineWorkload::make_prompt() {
  std::string prompt = "prefix " + std::to_string(random_.below(kSharedPrefixes));
  const uint64_t words = random_.below(knobs_.max_prompt_words);
  for (uint64_t word = 0; word < words; ++word) {
    prompt += " word" + std::to_string(word);
  }
  return prompt + " request " + std::to_string(next_request_++);
}

OnlineWorkload::RequestPtr OnlineWorkload::make_request() {
  auto request = std::make_shared<Request>();
  CallBegan& began = request->began;
  began.request = make_prompt();
  began.not_repeatable = random_.unit() < knobs_.not_repeatable_share;
  const double kind = random_.unit();
  began.kind = kind < knobs_.service_share                        ? CallKind::kService
               : kind < knobs_.service_share + knobs_.plain_share ? CallKind::kCompletion
                                                                  : CallKind::kStream;
  request->resends = random_.unit() < knobs_.resend_share;
  if (began.kind == CallKind::kService) {
    request->http = service_request(began.request);
    began.expected_text = expected_backend_answer(began.request);
  } else {
    const auto tokens = static_cast<uint32_t>(1 + random_.below(knobs_.max_answer_tokens));
    const bool known = random_.unit() >= knobs_.unknown_model_share;
    request->http = completion_request(known ? kModelName : "unknown-model", began.request, tokens,
                                       began.kind == CallKind::kStream);
    began.expected_text = joined(expected_answer_tokens(kModelName, began.request, tokens));
  }
  if (began.not_repeatable) {
    request->http.headers.push_back({"X-Chalkshed-Not-Repeatable", "true"});
    request->http.headers.push_back({"Idempotency-Key", "once-" + std::to_string(next_request_)});
  }
  if (random_.unit() < knobs_.short_deadline_share) {
    request->http.headers.push_back({"X-Chalkshed-Deadline-Ms", kShortDeadline});
  }
  return request;
}

void OnlineWorkload::send_new() {
  const RequestPtr request = make_request();
  send(request, random_node());
  if (request->began.not_repeatable && random_.unit() < knobs_.duplicate_send_share) {
    send(request, random_node());
  }
  arm();
}

void OnlineWorkload::send_stream(const std::string& node) {
  RequestPtr request = make_request();
  while (request->began.kind != CallKind::kStream || request->began.not_repeatable) {
    request = make_request();
  }
  send(request, node);
}

void OnlineWorkload::send(const RequestPtr& request, const std::string& node) {
  ++operations_;
  ++in_progress_;
  ++request->sends;
  CallerRequest call{request->began, request->http, kCallTimeout};
  call.began.node = node;
  cluster_.caller().send(std::move(call), [this, request](const CallerAnswer& answer) {
    --in_progress_;
    on_answer(request, answer);
  });
}

void OnlineWorkload::on_answer(const RequestPtr& request, const CallerAnswer& answer) {
  const bool done = answer.ended.outcome == CallOutcome::kComplete;
  if (done || !request->resends || request->sends > knobs_.max_resends) {
    return;
  }
  ++in_progress_;
  const std::string node = random_node();
  cluster_.clock().schedule(kResendDelay, [this, request, node] {
    --in_progress_;
    send(request, node);
  });
}

}  // namespace chalkshed
