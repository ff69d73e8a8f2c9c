#include "sim/simulated_engine.h"

#include <utility>

namespace chalkshed {

// Engine side of one request.
struct SimulatedEngine::Stream : public GenerateCallbacks {
  Stream(SimulatedEngine& owner, std::string name,
         std::shared_ptr<SimulatedConnection> stream_connection, Deliver deliver_event)
      : engine(owner),
        attempt(std::move(name)),
        connection(std::move(stream_connection)),
        deliver(std::move(deliver_event)) {}

  void on_chunk(const GenerateChunk& chunk) override {
    const auto event = [chunk](GenerateCallbacks& callbacks) { callbacks.on_chunk(chunk); };
    const bool faulty = engine.chunk_fault_probability_ > 0 &&
                        engine.random_.unit() < engine.chunk_fault_probability_;
    const uint64_t copies = faulty ? 2 * engine.random_.below(2) : 1;
    for (uint64_t copy = 0; copy < copies; ++copy) {
      send(event);
    }
  }
  void on_complete(const GenerateResult& result) override {
    send([result](GenerateCallbacks& callbacks) { callbacks.on_complete(result); });
    engine.end(attempt, RunOutcome::kFinished);
  }
  void on_error(const Error&) override {
    connection->close(ConnectionSide::kServer);
    engine.end(attempt, RunOutcome::kLost);
  }
  void refuse(const Error& error) {
    send([error](GenerateCallbacks& callbacks) { callbacks.on_error(error); });
    engine.end(attempt, RunOutcome::kRefused);
  }
  void send(std::function<void(GenerateCallbacks&)> event) {
    connection->send(ConnectionSide::kServer,
                     [deliver_event = deliver, event = std::move(event)] { deliver_event(event); });
  }

  SimulatedEngine& engine;
  const std::string attempt;
  std::shared_ptr<SimulatedConnection> connection;
  Deliver deliver;
};

SimulatedEngine::SimulatedEngine(SimulatedNetwork& network, SimulatedHost& host,
                                 HistoryRecorder& recorder, RandomGenerator& random,
                                 const EngineSettings& settings, uint64_t incarnation)
    : host_(host),
      recorder_(recorder),
      random_(random),
      model_(settings, network.clock(), *host.dispatcher, random),
      incarnation_(incarnation) {
  model_.set_incarnation(incarnation);
  model_.set_admission_observer([this](const std::string& attempt) {
    recorder_.record(RunAdmitted{host_.name, attempt, model_.load().step_number});
  });
  host.engine = this;
}

SimulatedEngine::~SimulatedEngine() {
  while (!streams_.empty()) {
    end(streams_.begin()->first, exit_outcome_);
  }
}

void SimulatedEngine::accept(GenerateRequest request, const std::string& sender,
                             std::shared_ptr<SimulatedConnection> connection, Deliver deliver) {
  const std::string attempt = request.attempt_id + "#" + host_.name + "-" +
                              std::to_string(incarnation_) + "-" + std::to_string(next_run_++);
  recorder_.record(RunArrived{host_.name, attempt, request.prompt, is_batch_prompt(request.prompt),
                              model_.load().step_number, sender});
  connection->set_on_closed(ConnectionSide::kServer, [this, attempt](CloseReason) {
    model_.cancel(attempt);
    end(attempt, RunOutcome::kCancelled);
  });
  request.attempt_id = attempt;
  auto stream = std::make_unique<Stream>(*this, attempt, std::move(connection), std::move(deliver));
  Stream& accepted = *stream;
  streams_[attempt] = std::move(stream);
  if (const std::optional<Error> error = model_.submit(std::move(request), accepted)) {
    accepted.refuse(*error);
  }
}

void SimulatedEngine::end(const std::string& attempt, RunOutcome outcome) {
  const auto found = streams_.find(attempt);
  if (found == streams_.end()) {
    return;
  }
  recorder_.record(RunEnded{host_.name, attempt, outcome, model_.load().step_number});
  found->second->connection->set_on_closed(ConnectionSide::kServer, nullptr);
  const auto ended = std::move(found->second);
  streams_.erase(found);
}

// Client side of one stream.
class SimulatedEngineClient::Stream : public GenerateStream {
 public:
  Stream(SimulatedEngineClient& client, const Address& worker, GenerateRequest request,
         GenerateCallbacks& callbacks)
      : client_(client),
        worker_(worker),
        request_(std::move(request)),
        idle_timeout_(request_.idle_timeout),
        callbacks_(callbacks),
        self_(std::make_shared<Stream*>(this)),
        timer_(client.host_.dispatcher->create_timer([this] { on_timeout(); })) {
    begin();
  }
  ~Stream() override {
    *self_ = nullptr;
    if (connection_) {
      connection_->close(ConnectionSide::kClient);
    }
  }
  Stream(const Stream&) = delete;
  Stream& operator=(const Stream&) = delete;

 private:
  void begin() {
    SimulatedHost* host = client_.network_.find_host(worker_);
    timer_->enable(request_.connect_timeout);
    if (host == nullptr) {
      return;
    }
    const auto kept = client_.kept_alive_.find(worker_);
    const Duration round_trip = 2 * client_.network_.latency(client_.host_, *host);
    if (request_.fresh_connection || kept == client_.kept_alive_.end()) {
      schedule(round_trip, [this, host] { connect(*host); });
    } else if (kept->second != host->generation) {
      // The kept-alive connection is stale; the client notices when the reset arrives.
      client_.kept_alive_.erase(kept);
      sent_ = true;
      schedule(round_trip, [this] { fail(broken()); });
    } else {
      schedule(Duration::zero(), [this, host] { transmit(*host); });
    }
  }

  void connect(SimulatedHost& host) {
    if (!client_.network_.link_up(client_.host_, host) ||
        !client_.network_.link_up(host, client_.host_)) {
      return;  // the connect timeout ends the attempt
    }
    if (host.engine == nullptr) {
      fail(not_connected());
      return;
    }
    transmit(host);
  }

  void transmit(SimulatedHost& host) {
    sent_ = true;
    timer_->enable(idle_timeout_);
    client_.recorder_.record(RunSent{client_.host_.name, request_.prompt});
    client_.kept_alive_[worker_] = host.generation;
    connection_ = client_.network_.connect(client_.host_, host);
    connection_->set_on_closed(ConnectionSide::kClient, [this](CloseReason) { fail(broken()); });
    auto deliver = [holder = self_](const std::function<void(GenerateCallbacks&)>& event) {
      if (*holder != nullptr) {
        (*holder)->receive(event);
      }
    };
    connection_->send(
        ConnectionSide::kClient, [&host, connection = connection_, deliver, request = request_,
                                  sender = client_.host_.name]() mutable {
          if (host.engine != nullptr) {
            host.engine->accept(std::move(request), sender, std::move(connection), deliver);
          }
        });
  }

  void receive(const std::function<void(GenerateCallbacks&)>& event) {
    timer_->enable(idle_timeout_);
    event(callbacks_);
  }

  void on_timeout() { fail(sent_ ? broken() : not_connected()); }

  Error not_connected() const {
    return not_run(ErrorKind::kUnavailable, "cannot connect to worker " + to_string(worker_),
                   "use another worker");
  }
  Error broken() const {
    return maybe_run(ErrorKind::kUpstreamFailed,
                     "the stream from worker " + to_string(worker_) + " was interrupted",
                     "resume on another worker if the request is repeatable");
  }

  void fail(const Error& error) {
    timer_->disable();
    if (connection_) {
      connection_->close(ConnectionSide::kClient);
    }
    callbacks_.on_error(error);
  }

  void schedule(Duration delay, std::function<void()> callback) {
    client_.host_.dispatcher->schedule(delay, [holder = self_, callback = std::move(callback)] {
      if (*holder != nullptr) {
        callback();
      }
    });
  }

  SimulatedEngineClient& client_;
  const Address worker_;
  const GenerateRequest request_;
  const Duration idle_timeout_;
  GenerateCallbacks& callbacks_;
  std::shared_ptr<Stream*> self_;
  TimerPtr timer_;
  std::shared_ptr<SimulatedConnection> connection_;
  bool sent_ = false;
};

GenerateStreamPtr SimulatedEngineClient::generate(const Address& worker, GenerateRequest request,
                                                  GenerateCallbacks& callbacks) {
  return std::make_unique<Stream>(*this, worker, std::move(request), callbacks);
}

void SimulatedEngineClient::fetch_load(const Address& worker, Callback<EngineLoad> callback) {
  constexpr Duration kTimeout = std::chrono::seconds(1);
  const auto pending = std::make_shared<Callback<EngineLoad>>(std::move(callback));
  const auto answer = [pending](Expected<EngineLoad> result) {
    if (const Callback<EngineLoad> once = std::exchange(*pending, nullptr)) {
      once(std::move(result));
    }
  };
  host_.dispatcher->schedule(kTimeout, [answer, worker] {
    answer(tl::unexpected(not_run(ErrorKind::kUnavailable,
                                  "no load report from " + to_string(worker), "retry later")));
  });
  SimulatedHost* host = network_.find_host(worker);
  if (host == nullptr || host->engine == nullptr) {
    return;
  }
  const auto connection = network_.connect(host_, *host);
  connection->send(ConnectionSide::kClient, [host, connection, answer] {
    if (host->engine != nullptr) {
      const EngineLoad load = host->engine->model().reported_load();
      connection->send(ConnectionSide::kServer, [answer, load] { answer(load); });
    }
  });
}

}  // namespace chalkshed
