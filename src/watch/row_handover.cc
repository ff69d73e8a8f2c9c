#include "chalkshed/row_handover.h"

#include <charconv>

#include "src/watch/row_page_generated.h"

namespace chalkshed {
namespace {

/** GET /rows/TABLE/VERSION: the rows of the table that are newer than the version; POST
 * /rows/TABLE: rows that the peer should know. */
constexpr std::string_view kPath = "/rows/";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;

std::string text_of(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

}  // namespace

std::string encode_rows(const std::string& table, const std::vector<StoredRow>& rows) {
  flatbuffers::FlatBufferBuilder builder;
  std::vector<flatbuffers::Offset<wire::HandedRow>> packed;
  packed.reserve(rows.size());
  for (const StoredRow& row : rows) {
    const auto partition = builder.CreateString(row.key.partition);
    const auto key = builder.CreateString(row.key.key);
    const auto value = builder.CreateString(row.value);
    packed.push_back(
        wire::CreateHandedRow(builder, partition, key, value, row.version, row.removed));
  }
  const auto name = builder.CreateString(table);
  builder.Finish(wire::CreateRowPage(builder, name, builder.CreateVector(packed)),
                 wire::RowPageIdentifier());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<std::vector<StoredRow>> decode_rows(const std::string& table,
                                                  std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (!wire::VerifyRowPageBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::RowPage* page = wire::GetRowPage(bytes.data());
  if (page->table_name()->str() != table) {
    return std::nullopt;
  }
  std::vector<StoredRow> rows;
  if (page->rows() != nullptr) {
    for (const wire::HandedRow* row : *page->rows()) {
      rows.push_back({{table, text_of(row->partition()), row->key()->str()},
                      text_of(row->value()),
                      row->version(),
                      row->removed()});
    }
  }
  return rows;
}

std::string rows_path(const std::string& table) { return std::string(kPath) + table; }

void row_handover_server::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.method == "POST") {
    take(request, *writer);
  } else {
    give(request, *writer);
  }
}

void row_handover_server::give(const HttpRequest& request, ResponseWriter& writer) const {
  std::string_view path = request.path;
  const size_t slash = path.rfind('/');
  StoreVersion version = 0;
  const auto parsed = std::from_chars(path.data() + slash + 1, path.data() + path.size(), version);
  const bool well_formed = path.starts_with(kPath) && slash > kPath.size() &&
                           parsed.ec == std::errc() && parsed.ptr == path.data() + path.size();
  const auto table = well_formed
                         ? given_.find(std::string(path.substr(kPath.size(), slash - kPath.size())))
                         : given_.end();
  if (table == given_.end()) {
    writer.respond({kNotFound, {}, ""});
    return;
  }
  writer.respond({kOk,
                  {{"Content-Type", "application/octet-stream"}},
                  encode_rows(table->first, table->second->rows_after(version))});
}

void row_handover_server::take(const HttpRequest& request, ResponseWriter& writer) const {
  const std::string_view path = request.path;
  const auto table =
      path.starts_with(kPath) ? taken_.find(std::string(path.substr(kPath.size()))) : taken_.end();
  if (table == taken_.end()) {
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
                           std::string name, TableWatcher& table, choose_peer choose,
                           const row_handover_knobs& knobs)
    : time_source_(time_source),
      client_(client),
      logger_(logger),
      name_(std::move(name)),
      table_(table),
      choose_(std::move(choose)),
      knobs_(knobs) {}

void row_handover::request(StoreVersion version) {
  const MonotonicTime now = time_source_.monotonic_now();
  if (asking_ || now - asked_ < knobs_.pause) {
    return;
  }
  const std::optional<Address> peer = choose_(version);
  if (!peer) {
    return;
  }
  asking_ = true;
  asked_ = now;
  HttpRequest question;
  question.method = "GET";
  question.path = std::string(kPath) + name_ + "/" + std::to_string(table_.newest_row());
  HttpCallOptions options;
  options.pool = "peers";
  options.connect_timeout = knobs_.connect_timeout;
  options.idle_timeout = knobs_.answer_timeout;
  client_.fetch(*peer, question, options,
                lifetime_.guard([this, from = *peer](const Expected<HttpResponse>& answer) {
                  asking_ = false;
                  handle_answer(from, answer);
                }));
}

void row_handover::handle_answer(const Address& peer, const Expected<HttpResponse>& answer) {
  const auto rows =
      answer && answer->status == kOk ? decode_rows(name_, answer->body) : std::nullopt;
  if (!rows) {
    logger_.write(
        LogLevel::kInfo, "rows_not_handed",
        {{"table", name_},
         {"peer", to_string(peer)},
         {"reason", answer ? "status " + std::to_string(answer->status) : answer.error().message}});
    return;
  }
  for (const StoredRow& row : *rows) {
    table_.learn(row);
  }
  logger_.write(LogLevel::kInfo, "rows_handed",
                {{"table", name_},
                 {"peer", to_string(peer)},
                 {"rows", std::to_string(rows->size())},
                 {"newest", std::to_string(table_.newest_row())}});
}

}  // namespace chalkshed
