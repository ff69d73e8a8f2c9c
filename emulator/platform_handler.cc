#include "emulator/platform_handler.h"

#include "src/adapters/error_codec.h"
#include "src/adapters/platform_codec.h"

namespace chalkshed {
namespace {

using SharedWriter = std::shared_ptr<ResponseWriter>;

void answer(ResponseWriter& writer, std::string body) {
  HttpResponse response;
  response.body = std::move(body);
  writer.respond(response);
}

void answer_error(ResponseWriter& writer, const Error& error) {
  if (error.ran == Ran::kNo) {
    writer.respond(encode_error(error));
  } else {
    writer.abort();  // emulates a lost response
  }
}

// @return a callback that encodes a result and writes it as the response.
template <typename Value, typename Encoder>
Callback<Value> respond_with(ResponseWriterPtr writer, Encoder encode) {
  return [writer = SharedWriter(std::move(writer)), encode](const Expected<Value>& result) {
    if (result) {
      answer(*writer, encode(*result));
    } else {
      answer_error(*writer, result.error());
    }
  };
}

std::string encode_nothing(std::monostate /*nothing*/) { return "{}"; }

Error no_such_path(const HttpRequest& request) {
  return not_run(ErrorKind::kNotFound, "no such path: " + request.method + " " + request.path,
                 "see docs/operators/emulator.md");
}

}  // namespace

PlatformHandler::PlatformHandler(EmulatedPlatform& platform, Dispatcher& dispatcher)
    : table_(platform, dispatcher),
      objects_(platform, dispatcher),
      machines_(platform, dispatcher) {}

void PlatformHandler::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.path.starts_with("/table/")) {
    handle_table(request, std::move(writer));
  } else if (request.path.starts_with("/objects/")) {
    handle_object(std::move(request), std::move(writer));
  } else if (request.path == "/machines" && request.method == "GET") {
    machines_.fetch(respond_with<MachineListSnapshot>(std::move(writer), encode_machine_list));
  } else {
    answer_error(*writer, no_such_path(request));
  }
}

void PlatformHandler::handle_table(const HttpRequest& request, ResponseWriterPtr writer) {
  if (request.path == "/table/read") {
    const Expected<RowKey> key = decode_row_key(request.body);
    if (!key) {
      answer_error(*writer, key.error());
      return;
    }
    table_.read(*key, respond_with<std::optional<Row>>(std::move(writer), encode_read_result));
  } else if (request.path == "/table/scan") {
    const Expected<ScanRequest> scan = decode_scan_request(request.body);
    if (!scan) {
      answer_error(*writer, scan.error());
      return;
    }
    table_.scan(*scan, respond_with<ScanPage>(std::move(writer), encode_scan_page));
  } else if (request.path == "/table/commit") {
    const Expected<Transaction> transaction = decode_transaction(request.body);
    if (!transaction) {
      answer_error(*writer, transaction.error());
      return;
    }
    table_.commit(*transaction,
                  respond_with<CommitResult>(std::move(writer), encode_commit_result));
  } else {
    answer_error(*writer, no_such_path(request));
  }
}

void PlatformHandler::handle_object(HttpRequest request, ResponseWriterPtr writer) {
  const std::string name = decode_object_path(request.path);
  if (request.method == "PUT") {
    objects_.put(name, std::make_shared<const std::string>(std::move(request.body)),
                 respond_with<std::monostate>(std::move(writer), encode_nothing));
  } else if (request.method == "GET") {
    const auto content = [](const EmulatedPlatform::Object& object) { return *object; };
    objects_.get(name, respond_with<EmulatedPlatform::Object>(std::move(writer), content));
  } else if (request.method == "DELETE") {
    objects_.remove(name, respond_with<std::monostate>(std::move(writer), encode_nothing));
  } else {
    answer_error(*writer, no_such_path(request));
  }
}

}  // namespace chalkshed
