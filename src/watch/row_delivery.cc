#include "chalkshed/row_delivery.h"

#include "chalkshed/row_handover.h"
#include "src/core/call_after.h"

namespace chalkshed {
namespace {

constexpr int kOk = 200;

}  // namespace

row_delivery::row_delivery(Dispatcher& dispatcher, HttpClient& client, Logger& logger,
                           const row_delivery_knobs& knobs)
    : dispatcher_(dispatcher), client_(client), logger_(logger), knobs_(knobs) {}

void row_delivery::deliver(const Address& peer, const StoredRow& row,
                           std::function<void(bool)> done) {
  send(std::make_shared<pending_delivery>(pending_delivery{peer, row, 0, std::move(done)}));
}

void row_delivery::send(const std::shared_ptr<pending_delivery>& delivery) {
  ++delivery->attempts;
  HttpRequest request;
  request.method = "POST";
  request.path = rows_path(delivery->row.key.table);
  request.body = encode_rows(delivery->row.key.table, {delivery->row});
  HttpCallOptions options;
  options.pool = "peers";
  options.connect_timeout = knobs_.connect_timeout;
  options.idle_timeout = knobs_.answer_timeout;
  client_.fetch(delivery->peer, request, options,
                lifetime_.guard([this, delivery](const Expected<HttpResponse>& answer) {
                  handle_answer(delivery, answer);
                }));
}

void row_delivery::handle_answer(const std::shared_ptr<pending_delivery>& delivery,
                                 const Expected<HttpResponse>& answer) {
  if (answer && answer->status == kOk) {
    delivery->done(true);
    return;
  }
  if (delivery->attempts < knobs_.max_attempts) {
    call_after(dispatcher_, knobs_.retry_delay,
               lifetime_.guard([this, delivery] { send(delivery); }));
    return;
  }
  logger_.write(
      LogLevel::kInfo, "row_not_delivered",
      {{"table", delivery->row.key.table},
       {"row", delivery->row.key.key},
       {"peer", to_string(delivery->peer)},
       {"reason", answer ? "status " + std::to_string(answer->status) : answer.error().message}});
  delivery->done(false);
}

}  // namespace chalkshed
