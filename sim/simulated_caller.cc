#include "sim/simulated_caller.h"

#include <utility>

#include "sim/answer_reader.h"

namespace chalkshed {

class SimulatedCaller::Call : public HttpCallCallbacks {
 public:
  Call(SimulatedCaller& caller, CallerRequest request, Done done)
      : caller_(caller),
        name_(request.began.call),
        reader_(request.began.kind),
        done_(std::move(done)),
        timeout_timer_(caller.dispatcher().create_timer([this] { on_timeout(); })) {
    timeout_timer_->enable(request.timeout);
    caller.recorder_.record(request.began);
    const SimulatedHost* node = caller.network_.find_host(request.began.node);
    HttpCallOptions options;
    options.connect_timeout = std::chrono::seconds(3);
    options.idle_timeout = request.timeout + std::chrono::seconds(1);
    call_ = caller.client_.send(node->http_address, request.http, options, *this);
  }

  void on_headers(int status, const HttpHeaders&) override { reader_.on_headers(status); }
  void on_body(std::string_view data) override { reader_.on_body(data); }
  void on_end() override { finish(reader_.on_end()); }
  void on_error(const Error& error) override {
    CallEnded ended;
    ended.outcome = error.ran == Ran::kNo                   ? CallOutcome::kNotConnected
                    : error.message == kServerExitedMessage ? CallOutcome::kCutOffByExit
                                                            : CallOutcome::kBroken;
    ended.text = reader_.partial_text();
    finish(std::move(ended));
  }

 private:
  void on_timeout() {
    CallEnded ended;
    ended.outcome = CallOutcome::kGaveUp;
    ended.text = reader_.partial_text();
    finish(std::move(ended));
  }

  void finish(CallEnded ended) {
    timeout_timer_->disable();
    ended.call = name_;
    caller_.recorder_.record(ended);
    const CallerAnswer answer{std::move(ended), reader_.status(), reader_.body()};
    const Done done = std::move(done_);
    caller_.end(name_);  // destroys this
    done(answer);
  }

  SimulatedCaller& caller_;
  const std::string name_;
  AnswerReader reader_;
  Done done_;
  TimerPtr timeout_timer_;
  HttpCallPtr call_;
};

SimulatedCaller::SimulatedCaller(SimulatedNetwork& network, SimulatedHost& host,
                                 HistoryRecorder& recorder)
    : network_(network), host_(host), recorder_(recorder), client_(network, host) {}

SimulatedCaller::~SimulatedCaller() = default;

void SimulatedCaller::send(CallerRequest request, Done done) {
  request.began.call = "call-" + std::to_string(next_call_++);
  request.http.headers.push_back({"X-Request-Id", request.began.call});
  const std::string name = request.began.call;
  calls_[name] = std::make_unique<Call>(*this, std::move(request), std::move(done));
}

void SimulatedCaller::end(const std::string& name) { calls_.erase(name); }

}  // namespace chalkshed
