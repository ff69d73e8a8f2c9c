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
  send(std::make_shared<parcel>(parcel{peer, row, 0, std::move(done)}));
}

void row_delivery::send(const std::shared_ptr<parcel>& sent) {
  ++sent->tries;
  HttpRequest request;
  request.method = "POST";
  request.path = rows_path(sent->row.key.table);
  request.body = encode_rows(sent->row.key.table, {sent->row});
  HttpCallOptions options;
  options.pool = "peers";
  options.connect_timeout = knobs_.connect_timeout;
  options.idle_timeout = knobs_.answer_timeout;
  client_.fetch(sent->peer, request, options,
                lifetime_.guard([this, sent](const Expected<HttpResponse>& answer) {
                  handle_answer(sent, answer);
                }));
}

void row_delivery::handle_answer(const std::shared_ptr<parcel>& sent,
                                 const Expected<HttpResponse>& answer) {
  if (answer && answer->status == kOk) {
    sent->done(true);
    return;
  }
  if (sent->tries < knobs_.most_tries) {
    call_after(dispatcher_, knobs_.pause, lifetime_.guard([this, sent] { send(sent); }));
    return;
  }
  logger_.write(
      LogLevel::kInfo, "row_not_delivered",
      {{"table", sent->row.key.table},
       {"row", sent->row.key.key},
       {"peer", to_string(sent->peer)},
       {"reason", answer ? "status " + std::to_string(answer->status) : answer.error().message}});
  sent->done(false);
}

}  // namespace chalkshed
