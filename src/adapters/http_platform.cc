#include "src/adapters/http_platform.h"

#include "src/adapters/error_codec.h"
#include "src/adapters/platform_codec.h"

namespace chalkshed {
namespace {

constexpr int kStatusOk = 200;

// Whether a call without a response may have changed something.
enum class Effect { kReads, kChanges };

Error no_response_error(Effect effect, const Error& cause) {
  if (cause.kind == ErrorKind::kUnavailable && cause.ran == Ran::kNo) {
    return not_run(ErrorKind::kStoreUnavailable, "cannot reach the store: " + cause.message,
                   "check the store's address and that it is running");
  }
  if (effect == Effect::kReads) {
    return maybe_run(ErrorKind::kStoreUnavailable, "the store did not respond: " + cause.message,
                     "retry later");
  }
  return maybe_run(ErrorKind::kOutcomeUnknown,
                   "the response of the store was lost: " + cause.message,
                   "read the rows to find out whether the change was made");
}

// The error for an error status. If the status does not mean a rejection, the outcome is unknown.
Error status_error(Effect effect, const HttpResponse& response) {
  Error error = decode_error(response.status, response.body);
  if (error.kind == ErrorKind::kUpstreamFailed) {
    return no_response_error(effect, error);
  }
  return error;
}

// Sends a request and passes the body of a 200 response to `decode`.
template <typename Value, typename Decoder>
void call(HttpClient& client, const Address& server, const HttpPlatformKnobs& knobs, Effect effect,
          const HttpRequest& request, Decoder decode, Callback<Value> callback) {
  HttpCallOptions options;
  options.pool = "platform";
  options.connect_timeout = knobs.connect_timeout;
  options.idle_timeout = knobs.answer_timeout;
  // Nodes act on what is concluded from the answer to a change.
  options.own_connection = effect == Effect::kChanges;
  client.fetch(server, request, options,
               [effect, decode, callback = std::move(callback)](Expected<HttpResponse> response) {
                 if (!response) {
                   callback(tl::unexpected(no_response_error(effect, response.error())));
                 } else if (response->status != kStatusOk) {
                   callback(tl::unexpected(status_error(effect, *response)));
                 } else {
                   Expected<Value> value = decode(std::move(response->body));
                   if (!value) {
                     value = tl::unexpected(no_response_error(
                         effect, maybe_run(ErrorKind::kUpstreamFailed, value.error().message, "")));
                   }
                   callback(std::move(value));
                 }
               });
}

HttpRequest make_request(std::string method, std::string path, std::string body) {
  HttpRequest request;
  request.method = std::move(method);
  request.path = std::move(path);
  request.body = std::move(body);
  return request;
}

Expected<std::monostate> ignore_body(const std::string& /*body*/) { return std::monostate(); }

}  // namespace

void HttpTableStore::read(RowKey key, Callback<std::optional<Row>> callback) {
  const HttpRequest request = make_request("POST", "/table/read", encode_row_key(key));
  call<std::optional<Row>>(client_, server_, knobs_, Effect::kReads, request, decode_read_result,
                           std::move(callback));
}

void HttpTableStore::scan(ScanRequest request, Callback<ScanPage> callback) {
  const HttpRequest http_request =
      make_request("POST", "/table/scan", encode_scan_request(request));
  call<ScanPage>(client_, server_, knobs_, Effect::kReads, http_request, decode_scan_page,
                 std::move(callback));
}

void HttpTableStore::commit(Transaction transaction, Callback<CommitResult> callback) {
  const HttpRequest request =
      make_request("POST", "/table/commit", encode_transaction(transaction));
  call<CommitResult>(client_, server_, knobs_, Effect::kChanges, request, decode_commit_result,
                     std::move(callback));
}

void HttpObjectStore::put(std::string name, std::shared_ptr<const std::string> content,
                          Callback<std::monostate> callback) {
  const HttpRequest request = make_request("PUT", encode_object_path(name), *content);
  call<std::monostate>(client_, server_, knobs_, Effect::kChanges, request, ignore_body,
                       std::move(callback));
}

void HttpObjectStore::get(std::string name, Callback<std::shared_ptr<const std::string>> callback) {
  using Object = std::shared_ptr<const std::string>;
  const HttpRequest request = make_request("GET", encode_object_path(name), "");
  const auto take_body = [](std::string body) -> Expected<Object> {
    return std::make_shared<const std::string>(std::move(body));
  };
  call<Object>(client_, server_, knobs_, Effect::kReads, request, take_body, std::move(callback));
}

void HttpObjectStore::remove(std::string name, Callback<std::monostate> callback) {
  const HttpRequest request = make_request("DELETE", encode_object_path(name), "");
  call<std::monostate>(client_, server_, knobs_, Effect::kChanges, request, ignore_body,
                       std::move(callback));
}

void HttpMachineList::fetch(Callback<MachineListSnapshot> callback) {
  const HttpRequest request = make_request("GET", "/machines", "");
  call<MachineListSnapshot>(client_, server_, knobs_, Effect::kReads, request, decode_machine_list,
                            std::move(callback));
}

}  // namespace chalkshed
