#include "scale/metered_transport.h"

#include <utility>

#include "src/membership/traffic.h"

namespace chalkshed {
namespace {

// Status line and the headers that the HTTP library adds.
constexpr uint64_t kResponseHeadBytes = 100;
constexpr uint64_t kHeaderSeparatorBytes = 4;  // ": " and CRLF

uint64_t header_bytes(const HttpHeaders& headers) {
  uint64_t bytes = 0;
  for (const HttpHeader& header : headers) {
    bytes += header.name.size() + header.value.size() + kHeaderSeparatorBytes;
  }
  return bytes;
}

uint64_t request_bytes(const HttpRequest& request) {
  constexpr uint64_t kHeadBytes = 80;  // version, Host, Content-Length, Connection
  return kHeadBytes + request.method.size() + request.path.size() + request.query.size() +
         header_bytes(request.headers) + request.body.size() + kCallPacketBytes;
}

uint64_t response_bytes(const HttpResponse& response) {
  return kResponseHeadBytes + response.body.size() + kCallPacketBytes;
}

// Object names differ in every call, so all object paths are one kind.
std::string kind_of_path(const std::string& prefix, const std::string& path) {
  const std::string objects = "/objects/";
  const std::string short_path = path.starts_with(objects) ? "/objects" : path;
  return prefix + short_path;
}

std::string datagram_kind(std::string_view bytes) {
  const std::optional<DatagramKind> kind = peek_datagram_kind(bytes);
  return "membership/" + std::string(kind ? datagram_kind_name(*kind) : "malformed");
}

// Counts the bytes of a response as they are written.
class MeteredWriter : public ResponseWriter {
 public:
  MeteredWriter(ResponseWriterPtr inner, MessageTally& tally)
      : inner_(std::move(inner)), tally_(tally) {}
  void start(int status, const HttpHeaders& headers) override { inner_->start(status, headers); }
  void write(std::string_view chunk) override {
    tally_.bytes_sent += chunk.size();
    inner_->write(chunk);
  }
  void finish() override { inner_->finish(); }
  void respond(const HttpResponse& response) override {
    tally_.bytes_sent += response_bytes(response);
    inner_->respond(response);
  }
  void abort() override { inner_->abort(); }
  size_t buffered_bytes() const override { return inner_->buffered_bytes(); }
  void set_on_closed(std::function<void()> callback) override {
    inner_->set_on_closed(std::move(callback));
  }

 private:
  ResponseWriterPtr inner_;
  MessageTally& tally_;
};

}  // namespace

void MeteredDatagramTransport::send(const Address& to, std::string_view datagram) {
  MessageTally& tally = meter_.tally(datagram_kind(datagram));
  tally.messages += 1;
  tally.bytes_sent += datagram.size() + kDatagramOverheadBytes;
  inner_.send(to, datagram);
}

void MeteredDatagramTransport::set_receiver(Receiver receiver) {
  if (!receiver) {
    inner_.set_receiver(nullptr);
    return;
  }
  inner_.set_receiver(
      [this, receiver = std::move(receiver)](const Address& from, std::string_view datagram) {
        MessageTally& tally = meter_.tally(datagram_kind(datagram));
        tally.bytes_received += datagram.size() + kDatagramOverheadBytes;
        const CpuScope scope(tally);
        receiver(from, datagram);
      });
}

HttpCallPtr MeteredHttpClient::send(const Address& server, const HttpRequest& request,
                                    const HttpCallOptions& options, HttpCallCallbacks& callbacks) {
  return inner_.send(server, request, options, callbacks);
}

void MeteredHttpClient::fetch(const Address& server, const HttpRequest& request,
                              const HttpCallOptions& options, Callback<HttpResponse> callback) {
  MessageTally& tally = meter_.tally(kind_of_path(prefix_, request.path));
  tally.messages += 1;
  tally.bytes_sent += request_bytes(request);
  inner_.fetch(server, request, options,
               [&tally, callback = std::move(callback)](Expected<HttpResponse> response) {
                 if (response) {
                   tally.bytes_received += response_bytes(*response);
                 }
                 const CpuScope scope(tally);
                 callback(std::move(response));
               });
}

void MeteredPeerHandler::handle(HttpRequest request, ResponseWriterPtr writer) {
  MessageTally& tally = meter_.tally("served" + request.path);
  tally.messages += 1;
  tally.bytes_received += request_bytes(request);
  const CpuScope scope(tally);
  inner_.handle(std::move(request), std::make_unique<MeteredWriter>(std::move(writer), tally));
}

}  // namespace chalkshed
