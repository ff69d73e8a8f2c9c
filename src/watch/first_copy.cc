#include "chalkshed/first_copy.h"

#include "chalkshed/row_handover.h"
#include "src/core/number_text.h"

namespace chalkshed {
namespace {

constexpr int kOk = 200;

}  // namespace

first_copy::first_copy(const environment& around, std::string table, TableWatcher& watcher,
                       std::function<copy_source()> source,
                       std::function<std::vector<Address>()> peers, const first_copy_knobs& knobs)
    : environment_(around),
      table_(std::move(table)),
      watcher_(watcher),
      source_(std::move(source)),
      peers_(std::move(peers)),
      knobs_(knobs),
      timer_(around.dispatcher.create_timer([this] { choose_source(); })) {}

void first_copy::start() {
  started_ = environment_.time_source.monotonic_now();
  peer_copy_timeout_ =
      knobs_.peer_copy_timeout +
      std::chrono::duration_cast<Duration>(knobs_.peer_copy_timeout * environment_.random.unit());
  watcher_.start_unless_large(lifetime_.guard([this] { choose_source(); }));
}

void first_copy::choose_source() {
  const Duration elapsed = environment_.time_source.monotonic_now() - started_;
  const copy_source source = source_();
  if (source == copy_source::kUnknown && elapsed >= knobs_.node_list_timeout) {
    read_store("the other nodes could not be listed");
    return;
  }
  if (source == copy_source::kStore) {
    read_store("it is this node's part");
    return;
  }
  if (source == copy_source::kPeers && elapsed >= peer_copy_timeout_) {
    read_store("no peer has sent a copy");
    return;
  }
  if (source == copy_source::kPeers) {
    ask_peer();
    return;
  }
  timer_->enable(knobs_.retry_delay);
}

void first_copy::read_store(const char* reason) {
  environment_.logger.write(
      LogLevel::kInfo, "table_read_from_store",
      {{"table", table_},
       {"reason", reason},
       {"peers_asked", std::to_string(peers_asked_)},
       {"elapsed_ms", milliseconds_text(environment_.time_source.monotonic_now() - started_)}});
  watcher_.start();
}

void first_copy::ask_peer() {
  const std::vector<Address> peers = peers_();
  if (peers.empty()) {
    timer_->enable(knobs_.retry_delay);
    return;
  }
  ++peers_asked_;
  const Address& peer = peers[environment_.random.next() % peers.size()];
  HttpRequest query;
  query.method = "GET";
  query.path = rows_path(table_, 0);
  HttpCallOptions options;
  options.pool = "peers";
  options.connect_timeout = knobs_.connect_timeout;
  options.idle_timeout = knobs_.answer_timeout;
  const MonotonicTime asked = environment_.time_source.monotonic_now();
  environment_.client.fetch(
      peer, query, options,
      lifetime_.guard([this, peer, asked](const Expected<HttpResponse>& answer) {
        handle_answer(peer, asked, answer);
      }));
}

void first_copy::handle_answer(const Address& peer, MonotonicTime asked,
                               const Expected<HttpResponse>& answer) {
  const auto copy =
      answer && answer->status == kOk ? decode_page(table_, answer->body) : std::nullopt;
  if (!copy || !copy->whole) {
    if (answer && answer->status == kOk) {
      environment_.logger.write(LogLevel::kWarning, "copy_rejected",
                                {{"table", table_},
                                 {"peer", to_string(peer)},
                                 {"reason", "malformed copy of the table"}});
    }
    timer_->enable(knobs_.retry_delay);
    return;
  }
  watcher_.learn(*copy, asked);
}

}  // namespace chalkshed
