#include "chalkshed/row_handover.h"

#include <algorithm>
#include <charconv>

#include "src/watch/row_page_generated.h"

namespace chalkshed {
namespace {

/** GET /rows/TABLE/VERSION: the changes of the table after the version, or the whole table.
 * POST /rows/TABLE: sends rows to the peer. */
constexpr std::string_view kPath = "/rows/";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string text_of(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

std::string encode_page(const std::string& table, const table_page& page) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::HandedRow>> packed;
  packed.reserve(page.rows.size());
  for (const StoredRow& row : page.rows) {
    const auto partition = builder.CreateString(row.key.partition);
    const auto key = builder.CreateString(row.key.key);
    const auto value = builder.CreateString(row.value);
    packed.push_back(
        wire::CreateHandedRow(builder, partition, key, value, row.version, row.removed));
  }
  const auto name = builder.CreateString(table);
  const auto age_us =
      static_cast<uint64_t>(std::max(page.age / std::chrono::microseconds(1), Duration::rep{0}));
  builder.Finish(wire::CreateRowPage(builder, name, builder.CreateVector(packed), page.since,
                                     page.through, page.whole, age_us),
                 wire::RowPageIdentifier());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<table_page> decode_page(const std::string& table, std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (!wire::VerifyRowPageBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::RowPage* packed = wire::GetRowPage(bytes.data());
  if (packed->table_name()->str() != table) {
    return std::nullopt;
  }
  table_page page;
  page.since = packed->since();
  page.through = packed->through();
  page.whole = packed->whole() && page.through > 0;
  // The age is capped, so that it can be subtracted from any time without overflow.
  constexpr uint64_t kOldest = std::chrono::microseconds(std::chrono::hours(1)).count();
  page.age = std::chrono::microseconds(std::min(packed->age_us(), kOldest));
  if (packed->rows() != nullptr) {
    page.rows.reserve(packed->rows()->size());
    for (const wire::HandedRow* row : *packed->rows()) {
      page.rows.push_back({{table, text_of(row->partition()), row->key()->str()},
                           text_of(row->value()),
                           row->version(),
                           row->removed()});
    }
  }
  return page;
}

std::string encode_rows(const std::string& table, const std::vector<StoredRow>& rows) {
  table_page page;
  page.rows = rows;
  return encode_page(table, page);
}

std::optional<std::vector<StoredRow>> decode_rows(const std::string& table,
                                                  std::string_view bytes) {
  std::optional<table_page> page = decode_page(table, bytes);
  return page ? std::optional(std::move(page->rows)) : std::nullopt;
}

std::string rows_path(const std::string& table) { return std::string(kPath) + table; }

std::string rows_path(const std::string& table, StoreVersion since) {
  return rows_path(table) + "/" + std::to_string(since);
}

void row_handover_server::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.method == "POST") {
    accept_rows(request, *writer);
  } else {
    send_page(request, *writer);
  }
}

// Refuses at once if this node has not listed the table yet or has just sent a large page.
void row_handover_server::send_page(const HttpRequest& request, ResponseWriter& writer) {
  std::string_view path = request.path;
  const size_t slash = path.rfind('/');
  StoreVersion version = 0;
  const auto parsed = std::from_chars(path.data() + slash + 1, path.data() + path.size(), version);
  const bool well_formed = path.starts_with(kPath) && slash > kPath.size() &&
                           parsed.ec == std::errc() && parsed.ptr == path.data() + path.size();
  const auto table =
      well_formed
          ? served_tables_.find(std::string(path.substr(kPath.size(), slash - kPath.size())))
          : served_tables_.end();
  if (table == served_tables_.end()) {
    writer.respond({kNotFound, {}, ""});
    return;
  }
  // A page that will be refused is not built: while 1,000 nodes start, each gets about ten requests
  // a second, and building pages of 10,000 rows took most of a node's time.
  const bool large = table->second->page_rows(version) > knobs_.large_page_rows;
  const MonotonicTime now = time_source_.monotonic_now();
  const bool too_soon =
      last_large_page_ != MonotonicTime{} && now - last_large_page_ < knobs_.large_page_interval;
  const std::optional<table_page> page =
      large && too_soon ? std::nullopt : table->second->page_after(version);
  if (!page) {
    writer.respond({kUnavailable, {}, ""});
    return;
  }
  last_large_page_ = large ? now : last_large_page_;
  writer.respond(
      {kOk, {{"Content-Type", "application/octet-stream"}}, encode_page(table->first, *page)});
}

void row_handover_server::accept_rows(const HttpRequest& request, ResponseWriter& writer) const {
  const std::string_view path = request.path;
  const auto table = path.starts_with(kPath)
                         ? accepted_tables_.find(std::string(path.substr(kPath.size())))
                         : accepted_tables_.end();
  if (table == accepted_tables_.end()) {
    writer.respond({kNotFound, {}, ""});
    return;
  }
  const auto rows = decode_rows(table->first, request.body);
  if (!rows) {
    writer.respond({kBadRequest, {}, ""});
    return;
  }
  for (const StoredRow& row : *rows) {
    table->second(row);
  }
  writer.respond({kOk, {}, ""});
}

row_handover::row_handover(TimeSource& time_source, HttpClient& client, Logger& logger,
                           std::string name, TableWatcher& table, peer_selector select_peer,
                           const row_handover_knobs& knobs)
    : time_source_(time_source),
      client_(client),
      logger_(logger),
      name_(std::move(name)),
      table_(table),
      select_peer_(std::move(select_peer)),
      knobs_(knobs) {}

void row_handover::request(StoreVersion version) {
  const MonotonicTime now = time_source_.monotonic_now();
  if (request_pending_ || now - last_request_ < knobs_.min_request_interval) {
    return;
  }
  const std::optional<Address> peer = select_peer_(version);
  if (!peer) {
    return;
  }
  request_pending_ = true;
  last_request_ = now;
  HttpRequest query;
  query.method = "GET";
  query.path = rows_path(name_, table_.known_through());
  HttpCallOptions options;
  options.pool = "peers";
  options.connect_timeout = knobs_.connect_timeout;
  options.idle_timeout = knobs_.answer_timeout;
  client_.fetch(*peer, query, options,
                lifetime_.guard([this, from = *peer, now](const Expected<HttpResponse>& answer) {
                  request_pending_ = false;
                  handle_answer(from, now, answer);
                }));
}

void row_handover::handle_answer(const Address& peer, MonotonicTime asked,
                                 const Expected<HttpResponse>& answer) {
  const auto page =
      answer && answer->status == kOk ? decode_page(name_, answer->body) : std::nullopt;
  if (!page) {
    logger_.write(
        LogLevel::kInfo, "rows_not_handed",
        {{"table", name_},
         {"peer", to_string(peer)},
         {"reason", answer ? "status " + std::to_string(answer->status) : answer.error().message}});
    return;
  }
  table_.learn(*page, asked);
  logger_.write(LogLevel::kInfo, "rows_handed",
                {{"table", name_},
                 {"peer", to_string(peer)},
                 {"rows", std::to_string(page->rows.size())},
                 {"whole", page->whole ? "yes" : "no"},
                 {"newest", std::to_string(table_.newest_row())}});
}

}  // namespace chalkshed
