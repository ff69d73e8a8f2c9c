#include "src/http/event_http_client.h"

#include <algorithm>
#include <map>
#include <memory>
#include <unordered_map>
#include <utility>
#include <vector>

#include "src/http/client_connection.h"

namespace chalkshed {
namespace {

bool set_by_client(const HttpHeader& header) {
  const HttpHeaders one = {{header.name, ""}};
  return find_header(one, "Host") || find_header(one, "Content-Length") ||
         find_header(one, "Connection") || find_header(one, "Transfer-Encoding") ||
         find_header(one, "Expect");
}

bool is_control(char character) {
  constexpr unsigned char kFirstPrintable = 0x20;
  constexpr char kDelete = 0x7f;
  return static_cast<unsigned char>(character) < kFirstPrintable || character == kDelete;
}

bool is_target(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char character) { return character == ' ' || is_control(character); });
}

bool is_header_value(std::string_view text) {
  return std::none_of(text.begin(), text.end(),
                      [](char character) { return character != '\t' && is_control(character); });
}

// Whether the request is safe from request smuggling. Some servers, for example, accept the name
// "Transfer-Encoding " as that header and would then find the end of the request elsewhere.
bool well_formed(const HttpRequest& request) {
  if (request.path.empty() || !is_target(request.path) || !is_target(request.query) ||
      !is_header_name(request.method)) {
    return false;
  }
  return std::all_of(request.headers.begin(), request.headers.end(), [](const HttpHeader& header) {
    return is_header_name(header.name) && is_header_value(header.value);
  });
}

std::string serialize(const Address& server, const HttpRequest& request, const std::string& host) {
  std::string wire;
  constexpr size_t kUsualHeadBytes = 512;
  wire.reserve(kUsualHeadBytes + request.body.size());
  wire.append(request.method).append(" ").append(request.path);
  if (!request.query.empty() || request.has_empty_query) {
    wire.append("?").append(request.query);
  }
  wire.append(" HTTP/1.1\r\nHost: ").append(host.empty() ? to_string(server) : host).append("\r\n");
  for (const HttpHeader& header : request.headers) {
    if (!set_by_client(header)) {
      wire.append(header.name).append(": ").append(header.value).append("\r\n");
    }
  }
  const bool has_body = !request.body.empty() || request.method == "POST" ||
                        request.method == "PUT" || request.method == "PATCH";
  if (has_body) {
    wire.append("Content-Length: ").append(std::to_string(request.body.size())).append("\r\n");
  }
  wire.append("\r\n").append(request.body);
  return wire;
}

// A call; destroying it closes its connection unless the response has ended.
class Call : public HttpCall {
 public:
  ~Call() override {
    if (abandon_) {
      abandon_();
    }
  }
  Call() = default;
  Call(const Call&) = delete;
  Call& operator=(const Call&) = delete;
  void set_abandon(std::function<void()> abandon) { abandon_ = std::move(abandon); }
  void set_connection(const std::shared_ptr<ClientConnection>& connection) {
    connection_ = connection;
    exchange_ = connection->exchange_number();
  }
  void pause_reading() override {
    if (const auto connection = open_connection()) {
      connection->pause_reading();
    }
  }
  void resume_reading() override {
    if (const auto connection = open_connection()) {
      connection->resume_reading();
    }
  }
  bool skip_answer() override {
    const auto connection = open_connection();
    return connection && connection->skip_answer();
  }
  uint64_t connection_use() const override { return std::max<uint64_t>(exchange_, 1); }

 private:
  // @return the connection if it still carries this call's response.
  std::shared_ptr<ClientConnection> open_connection() const {
    auto connection = connection_.lock();
    return connection && connection->in_exchange(exchange_) ? connection : nullptr;
  }

  std::function<void()> abandon_;
  std::weak_ptr<ClientConnection> connection_;
  uint64_t exchange_ = 0;
};

// Collects a complete response. The client owns it until it has invoked its callback, so that it is
// destroyed with the client: a self-owning collector would outlive a client that closes its
// connections without notification.
class Collector : public HttpCallCallbacks {
 public:
  Collector(size_t max_bytes, Callback<HttpResponse> callback)
      : max_bytes_(max_bytes), callback_(std::move(callback)) {}

  // @param release transfers ownership of the collector from the client to the caller.
  void begin(HttpCallPtr call, std::function<std::shared_ptr<Collector>()> release) {
    call_ = std::move(call);
    release_ = std::move(release);
  }
  void on_headers(int status, const HttpHeaders& headers) override {
    response_.status = status;
    response_.headers = headers;
  }
  void on_body(std::string_view data) override {
    if (response_.body.size() + data.size() > max_bytes_) {
      on_error(maybe_run(ErrorKind::kUpstreamFailed, "the response exceeds the limit",
                         "request less data at a time"));
      return;
    }
    response_.body.append(data);
  }
  void on_end() override { finish(std::move(response_)); }
  void on_error(const Error& error) override { finish(tl::unexpected(error)); }

 private:
  void finish(Expected<HttpResponse> result) {
    const std::shared_ptr<Collector> self = release_();
    call_.reset();
    callback_(std::move(result));
  }

  size_t max_bytes_;
  Callback<HttpResponse> callback_;
  HttpResponse response_;
  HttpCallPtr call_;
  std::function<std::shared_ptr<Collector>()> release_;
};

}  // namespace

class EventHttpClient::Implementation
    : public ClientConnection::Observer,
      public std::enable_shared_from_this<EventHttpClient::Implementation> {
 public:
  Implementation(EventDispatcher& dispatcher, const EventHttpClientKnobs& knobs)
      : dispatcher_(dispatcher), knobs_(knobs) {}

  HttpCallPtr send(const Address& server, const HttpRequest& request,
                   const HttpCallOptions& options, HttpCallCallbacks& callbacks);
  void fetch(const Address& server, const HttpRequest& request, const HttpCallOptions& options,
             Callback<HttpResponse> callback);
  void close_all();
  size_t open_connections() const { return connections_.size(); }
  void set_on_unsolicited(std::function<void(const Address&)> callback) {
    on_unsolicited_ = std::move(callback);
  }

  void on_reusable(ClientConnection& connection) override;
  void on_finished(ClientConnection& connection) override;
  void on_unsolicited(const ClientConnection& connection) override {
    on_unsolicited_(connection.key().server);
  }

 private:
  using ConnectionPtr = std::shared_ptr<ClientConnection>;

  // @return an idle connection that has not carried a request of that name; null if there is none.
  ConnectionPtr reuse_idle(const ConnectionKey& key, std::string_view name);
  void drop(ClientConnection& connection);
  HttpCallPtr refuse(const Address& server, HttpCallCallbacks& callbacks);
  std::shared_ptr<Collector> release(const Collector* collector);

  EventDispatcher& dispatcher_;
  EventHttpClientKnobs knobs_;
  // All connections in use or idle, by identity.
  std::unordered_map<const ClientConnection*, ConnectionPtr> connections_;
  // The idle ones; the most recently used is reused first.
  std::map<ConnectionKey, std::vector<ClientConnection*>> idle_;
  // Collectors of the fetches in progress, by identity.
  std::unordered_map<const Collector*, std::shared_ptr<Collector>> collectors_;
  std::function<void(const Address&)> on_unsolicited_ = [](const Address&) {};
};

HttpCallPtr EventHttpClient::Implementation::send(const Address& server, const HttpRequest& request,
                                                  const HttpCallOptions& options,
                                                  HttpCallCallbacks& callbacks) {
  if (!well_formed(request) || !is_header_value(options.host)) {
    return refuse(server, callbacks);
  }
  ConnectionKey key{server, options.pool};
  const bool may_reuse = !options.fresh_connection && !options.own_connection;
  ConnectionPtr connection = may_reuse ? reuse_idle(key, options.name) : nullptr;
  if (!connection) {
    connection = std::make_shared<ClientConnection>(dispatcher_, std::move(key),
                                                    knobs_.max_header_bytes, *this);
    connections_.emplace(connection.get(), connection);
  }
  connection->send(serialize(server, request, options.host), request.method == "HEAD", options,
                   callbacks);
  auto call = std::make_unique<Call>();
  call->set_connection(connection);
  call->set_abandon([weak = weak_from_this(), connection = std::weak_ptr(connection),
                     exchange = connection->exchange_number()] {
    const auto client = weak.lock();
    const ConnectionPtr target = connection.lock();
    // Once the response has ended, the connection may already carry another call.
    if (client && target && target->in_exchange(exchange)) {
      client->drop(*target);
    }
  });
  return call;
}

HttpCallPtr EventHttpClient::Implementation::refuse(const Address& server,
                                                    HttpCallCallbacks& callbacks) {
  auto call = std::make_unique<Call>();
  auto alive = std::make_shared<bool>(true);
  call->set_abandon([alive] { *alive = false; });
  dispatcher_.post([alive, server, &callbacks, weak = weak_from_this()] {
    if (*alive && !weak.expired()) {
      callbacks.on_error(not_run(ErrorKind::kInvalidRequest,
                                 to_string(server) +
                                     ": the request's path or headers contain spaces "
                                     "or control characters",
                                 "encode the path and headers"));
    }
  });
  return call;
}

EventHttpClient::Implementation::ConnectionPtr EventHttpClient::Implementation::reuse_idle(
    const ConnectionKey& key, std::string_view name) {
  const auto found = idle_.find(key);
  if (found == idle_.end()) {
    return nullptr;
  }
  std::vector<ClientConnection*> idle = std::move(found->second);
  idle_.erase(found);
  ConnectionPtr reused;
  for (size_t index = idle.size(); !reused && index-- > 0;) {
    const ConnectionPtr connection = connections_.at(idle[index]);
    if (connection->has_carried(name)) {
      continue;
    }
    idle.erase(idle.begin() + static_cast<ptrdiff_t>(index));
    if (connection->is_silent()) {
      reused = connection;
    } else {
      drop(*connection);
    }
  }
  if (!idle.empty()) {
    idle_.emplace(key, std::move(idle));
  }
  return reused;
}

void EventHttpClient::Implementation::drop(ClientConnection& connection) {
  const ConnectionPtr keep = connection.shared_from_this();
  connection.close();
  on_finished(connection);
}

void EventHttpClient::Implementation::on_reusable(ClientConnection& connection) {
  std::vector<ClientConnection*>& idle = idle_[connection.key()];
  if (idle.size() >= knobs_.max_idle_connections) {
    drop(connection);
    return;
  }
  connection.set_idle(knobs_.idle_connection_lifetime);
  idle.push_back(&connection);
}

void EventHttpClient::Implementation::on_finished(ClientConnection& connection) {
  const auto found = idle_.find(connection.key());
  if (found != idle_.end()) {
    std::erase(found->second, &connection);
    if (found->second.empty()) {
      idle_.erase(found);
    }
  }
  connections_.erase(&connection);
}

void EventHttpClient::Implementation::fetch(const Address& server, const HttpRequest& request,
                                            const HttpCallOptions& options,
                                            Callback<HttpResponse> callback) {
  auto collector = std::make_shared<Collector>(knobs_.max_fetched_bytes, std::move(callback));
  collectors_.emplace(collector.get(), collector);
  collector->begin(send(server, request, options, *collector),
                   [this, key = collector.get()] { return release(key); });
}

std::shared_ptr<Collector> EventHttpClient::Implementation::release(const Collector* collector) {
  const auto found = collectors_.find(collector);
  std::shared_ptr<Collector> released = std::move(found->second);
  collectors_.erase(found);
  return released;
}

void EventHttpClient::Implementation::close_all() {
  // Cleared via a local map, because destroying a collector also destroys its connection and
  // whatever its callback owns.
  std::exchange(collectors_, {}).clear();
  idle_.clear();
  for (auto& [key, connection] : connections_) {
    connection->close();
  }
  connections_.clear();
}

EventHttpClient::EventHttpClient(EventDispatcher& dispatcher, const EventHttpClientKnobs& knobs)
    : implementation_(std::make_shared<Implementation>(dispatcher, knobs)) {}

EventHttpClient::~EventHttpClient() { implementation_->close_all(); }

HttpCallPtr EventHttpClient::send(const Address& server, const HttpRequest& request,
                                  const HttpCallOptions& options, HttpCallCallbacks& callbacks) {
  return implementation_->send(server, request, options, callbacks);
}

void EventHttpClient::fetch(const Address& server, const HttpRequest& request,
                            const HttpCallOptions& options, Callback<HttpResponse> callback) {
  implementation_->fetch(server, request, options, std::move(callback));
}

void EventHttpClient::set_on_unsolicited(std::function<void(const Address& server)> callback) {
  implementation_->set_on_unsolicited(std::move(callback));
}

size_t EventHttpClient::open_connections() const { return implementation_->open_connections(); }

}  // namespace chalkshed
