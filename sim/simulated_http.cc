#include "sim/simulated_http.h"

#include <utility>

namespace chalkshed {

namespace {

class SimulatedResponseWriter : public ResponseWriter {
 public:
  SimulatedResponseWriter(std::shared_ptr<SimulatedConnection> connection,
                          std::function<void(std::function<void(HttpCallCallbacks&)>)> deliver)
      : connection_(std::move(connection)), deliver_(std::move(deliver)) {}
  ~SimulatedResponseWriter() override {
    if (!ended_) {
      abort();
    }
  }
  SimulatedResponseWriter(const SimulatedResponseWriter&) = delete;
  SimulatedResponseWriter& operator=(const SimulatedResponseWriter&) = delete;

  void start(int status, const HttpHeaders& headers) override {
    send(
        [status, headers](HttpCallCallbacks& callbacks) { callbacks.on_headers(status, headers); });
  }
  void write(std::string_view chunk) override {
    send([text = std::string(chunk)](HttpCallCallbacks& callbacks) { callbacks.on_body(text); });
  }
  void finish() override {
    ended_ = true;
    send([](HttpCallCallbacks& callbacks) { callbacks.on_end(); });
    connection_->set_on_closed(ConnectionSide::kServer, nullptr);
  }
  void respond(const HttpResponse& response) override {
    start(response.status, response.headers);
    write(response.body);
    finish();
  }
  void abort() override {
    ended_ = true;
    connection_->close(ConnectionSide::kServer);
  }
  size_t buffered_bytes() const override { return 0; }
  void set_on_closed(std::function<void()> callback) override {
    connection_->set_on_closed(ConnectionSide::kServer,
                               [callback = std::move(callback)](CloseReason) { callback(); });
  }

 private:
  void send(std::function<void(HttpCallCallbacks&)> event) {
    connection_->send(ConnectionSide::kServer,
                      [deliver = deliver_, event = std::move(event)] { deliver(event); });
  }

  std::shared_ptr<SimulatedConnection> connection_;
  std::function<void(std::function<void(HttpCallCallbacks&)>)> deliver_;
  bool ended_ = false;
};

Error connect_error(const Address& server) {
  return not_run(ErrorKind::kUnavailable, "cannot connect to " + to_string(server),
                 "use another server or try again later");
}

Error broken_error(CloseReason reason) {
  const std::string message = reason == CloseReason::kExited
                                  ? std::string(kServerExitedMessage)
                                  : "the connection was lost before the response was complete";
  return maybe_run(ErrorKind::kUpstreamFailed, message, "resend if the request is repeatable");
}

}  // namespace

class SimulatedHttpClient::Call : public HttpCall, public HttpCallCallbacks {
 public:
  Call(SimulatedHttpClient& client, const Address& server, HttpRequest request,
       HttpCallOptions options, HttpCallCallbacks& callbacks)
      : client_(client),
        server_(server),
        request_(std::move(request)),
        options_(std::move(options)),
        callbacks_(callbacks),
        self_(std::make_shared<Call*>(this)),
        timer_(client.host_.dispatcher->create_timer([this] { on_timeout(); })) {
    begin();
  }
  ~Call() override {
    *self_ = nullptr;
    if (connection_) {
      connection_->close(ConnectionSide::kClient);
    }
  }
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;

 private:
  void begin() {
    SimulatedHost* host = client_.network_.find_host(server_);
    if (host == nullptr) {
      timer_->enable(options_.connect_timeout);
      return;
    }
    const auto kept = client_.kept_alive_.find({options_.pool, server_});
    // A server that stops listening also closes its idle connections.
    const bool idle_closed = host->handler != nullptr && !host->listening;
    if (!options_.fresh_connection && kept != client_.kept_alive_.end() && !idle_closed) {
      kept_generation_ = kept->second;
      post([this, host] { reuse(*host); });
      return;
    }
    timer_->enable(options_.connect_timeout);
    const Duration round_trip = 2 * client_.network_.latency(client_.host_, *host);
    client_.host_.dispatcher->schedule(round_trip, guard([this, host] { connect(*host); }));
  }

  // A kept-alive connection whose server has ended in the meantime looks usable until the reset
  // arrives.
  void reuse(SimulatedHost& host) {
    timer_->enable(options_.idle_timeout);
    if (host.generation != kept_generation_) {
      client_.kept_alive_.erase({options_.pool, server_});
      const Duration round_trip = 2 * client_.network_.latency(client_.host_, host);
      client_.host_.dispatcher->schedule(
          round_trip, guard([this] { fail(broken_error(CloseReason::kReset)); }));
      return;
    }
    transmit(host);
  }

  void connect(SimulatedHost& host) {
    const bool reachable = client_.network_.link_up(client_.host_, host) &&
                           client_.network_.link_up(host, client_.host_);
    if (!reachable || (host.dispatcher && host.dispatcher->frozen() && host.handler == nullptr)) {
      return;  // the connect timeout ends the call
    }
    if (!host.dispatcher || !host.listening) {
      fail(connect_error(server_));
      return;
    }
    transmit(host);
  }

  void transmit(SimulatedHost& host) {
    sent_ = true;
    timer_->enable(options_.idle_timeout);
    connection_ = client_.network_.connect(client_.host_, host);
    connection_->set_on_closed(ConnectionSide::kClient,
                               [this](CloseReason reason) { fail(broken_error(reason)); });
    auto deliver = [holder = self_](const std::function<void(HttpCallCallbacks&)>& event) {
      if (*holder != nullptr) {
        event(**holder);
      }
    };
    request_.peer = client_.host_.http_address;
    connection_->send(ConnectionSide::kClient, [&host, connection = connection_, deliver,
                                                request = std::move(request_)]() mutable {
      if (host.handler != nullptr) {
        host.handler->handle(std::move(request), std::make_unique<SimulatedResponseWriter>(
                                                     std::move(connection), deliver));
      }
    });
    server_generation_ = host.generation;
  }

  void on_headers(int status, const HttpHeaders& headers) override {
    timer_->enable(options_.idle_timeout);
    callbacks_.on_headers(status, headers);
  }
  void on_body(std::string_view data) override {
    timer_->enable(options_.idle_timeout);
    callbacks_.on_body(data);
  }
  void on_end() override {
    timer_->disable();
    connection_->set_on_closed(ConnectionSide::kClient, nullptr);
    client_.kept_alive_[{options_.pool, server_}] = server_generation_;
    callbacks_.on_end();
  }
  void on_error(const Error& error) override { callbacks_.on_error(error); }

  void on_timeout() {
    fail(sent_ || kept_generation_ ? broken_error(CloseReason::kLost) : connect_error(server_));
  }

  void fail(const Error& error) {
    timer_->disable();
    if (connection_) {
      connection_->close(ConnectionSide::kClient);
    }
    callbacks_.on_error(error);
  }

  void post(std::function<void()> callback) {
    client_.host_.dispatcher->post(guard(std::move(callback)));
  }
  std::function<void()> guard(std::function<void()> callback) {
    return [holder = self_, callback = std::move(callback)] {
      if (*holder != nullptr) {
        callback();
      }
    };
  }

  SimulatedHttpClient& client_;
  const Address server_;
  HttpRequest request_;
  const HttpCallOptions options_;
  HttpCallCallbacks& callbacks_;
  std::shared_ptr<Call*> self_;
  TimerPtr timer_;
  std::shared_ptr<SimulatedConnection> connection_;
  std::optional<uint64_t> kept_generation_;
  uint64_t server_generation_ = 0;
  bool sent_ = false;
};

// Collects a complete response.
class SimulatedHttpClient::Fetch : public HttpCallCallbacks {
 public:
  Fetch(SimulatedHttpClient& client, uint64_t id, Callback<HttpResponse> callback)
      : client_(client), id_(id), callback_(std::move(callback)) {}
  void start(const Address& server, const HttpRequest& request, const HttpCallOptions& options) {
    call_ = client_.send(server, request, options, *this);
  }
  void on_headers(int status, const HttpHeaders& headers) override {
    response_.status = status;
    response_.headers = headers;
  }
  void on_body(std::string_view data) override { response_.body += data; }
  void on_end() override { end(std::move(response_)); }
  void on_error(const Error& error) override { end(tl::unexpected(error)); }

 private:
  void end(Expected<HttpResponse> result) {
    const Callback<HttpResponse> callback = std::move(callback_);
    const auto self = std::move(client_.fetches_.extract(id_).mapped());
    callback(std::move(result));
  }

  SimulatedHttpClient& client_;
  const uint64_t id_;
  Callback<HttpResponse> callback_;
  HttpResponse response_;
  HttpCallPtr call_;
};

SimulatedHttpClient::SimulatedHttpClient(SimulatedNetwork& network, SimulatedHost& host)
    : network_(network), host_(host) {}

SimulatedHttpClient::~SimulatedHttpClient() = default;

HttpCallPtr SimulatedHttpClient::send(const Address& server, const HttpRequest& request,
                                      const HttpCallOptions& options,
                                      HttpCallCallbacks& callbacks) {
  return std::make_unique<Call>(*this, server, request, options, callbacks);
}

void SimulatedHttpClient::fetch(const Address& server, const HttpRequest& request,
                                const HttpCallOptions& options, Callback<HttpResponse> callback) {
  const uint64_t id = next_fetch_++;
  auto fetch = std::make_unique<Fetch>(*this, id, std::move(callback));
  Fetch& started = *fetch;
  fetches_[id] = std::move(fetch);
  started.start(server, request, options);
}

}  // namespace chalkshed
