#include "bench/live_calls.h"

namespace chalkshed::bench {
namespace {

constexpr int kStatusOk = 200;
constexpr size_t kTailBytes = 1024;

}  // namespace

class LiveCalls::Call : public HttpCallCallbacks {
 public:
  Call(LiveCalls& calls, uint64_t number, MonotonicTime intended, Done done)
      : calls_(calls), number_(number), intended_(intended), done_(std::move(done)) {}

  void start(const Address& server, const HttpRequest& request) {
    HttpCallOptions options;
    options.idle_timeout = std::chrono::seconds(30);
    call_ = calls_.client_.send(server, request, options, *this);
  }

  void on_headers(int status, const HttpHeaders& /*headers*/) override { status_ = status; }
  void on_body(std::string_view data) override {
    if (outcome_.first_byte == Duration(0)) {
      outcome_.first_byte = calls_.now() - intended_;
    }
    outcome_.tail.append(data);
    if (outcome_.tail.size() > 2 * kTailBytes) {
      outcome_.tail.erase(0, outcome_.tail.size() - kTailBytes);
    }
  }
  void on_end() override { finish(status_ == kStatusOk); }
  void on_error(const Error& error) override {
    outcome_.tail = error.message;
    finish(false);
  }

 private:
  void finish(bool succeeded) {
    outcome_.succeeded = succeeded;
    outcome_.total = calls_.now() - intended_;
    // The call is inside its own callback, so it is destroyed in a later iteration of the event
    // loop.
    calls_.dispatcher_.post([&calls = calls_, number = number_] { calls.end(number); });
    done_(outcome_);
  }

  LiveCalls& calls_;
  uint64_t number_;
  MonotonicTime intended_;
  Done done_;
  int status_ = 0;
  CallOutcome outcome_;
  HttpCallPtr call_;
};

LiveCalls::LiveCalls(EventDispatcher& dispatcher, const TimeSource& time_source)
    : dispatcher_(dispatcher), time_source_(time_source), client_(dispatcher) {}

LiveCalls::~LiveCalls() = default;

void LiveCalls::send(const Address& server, const HttpRequest& request, MonotonicTime intended,
                     Done done) {
  const uint64_t number = next_++;
  auto call = std::make_unique<Call>(*this, number, intended, std::move(done));
  Call& started = *call;
  calls_.emplace(number, std::move(call));
  started.start(server, request);
}

void LiveCalls::end(uint64_t number) { calls_.erase(number); }

void LiveCalls::run_until(const std::function<bool()>& condition) {
  while (!condition()) {
    dispatcher_.run_once(true);
  }
}

CallOutcome LiveCalls::send_and_wait(const Address& server, const HttpRequest& request) {
  std::optional<CallOutcome> outcome;
  send(server, request, now(), [&outcome](const CallOutcome& ended) { outcome = ended; });
  run_until([&outcome] { return outcome.has_value(); });
  return *outcome;
}

}  // namespace chalkshed::bench
