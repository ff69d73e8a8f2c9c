#include "chalkshed/row_handover.h"

#include <algorithm>
#include <charconv>

#include "src/watch/row_page_generated.h"

namespace chalkshed {
namespace {

/** GET /rows/TABLE/VERSION: the rows of the table that are newer than the version; POST
 * /rows/TABLE: rows that the peer should know. */
constexpr std::string_view kPath = "/rows/";
/** GET /copies/TABLE: the whole table. */
constexpr std::string_view kCopyPath = "/copies/";
constexpr int kOk = 200;
constexpr int kBadRequest = 400;
constexpr int kNotFound = 404;
constexpr int kUnavailable = 503;

std::string text_of(const flatbuffers::String* text) {
  return text == nullptr ? std::string() : text->str();
}

std::string encode_page(const std::string& table, const std::vector<StoredRow>& rows,
                        StoreVersion through, Duration age) {
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
  const auto age_us =
      static_cast<uint64_t>(std::max(age / std::chrono::microseconds(1), Duration::rep{0}));
  builder.Finish(wire::CreateRowPage(builder, name, builder.CreateVector(packed), through, age_us),
                 wire::RowPageIdentifier());
  return {reinterpret_cast<const char*>(builder.GetBufferPointer()), builder.GetSize()};
}

std::optional<table_copy> decode_page(const std::string& table, std::string_view bytes) {
  flatbuffers::Verifier verifier(reinterpret_cast<const uint8_t*>(bytes.data()), bytes.size());
  if (!wire::VerifyRowPageBuffer(verifier)) {
    return std::nullopt;
  }
  const wire::RowPage* page = wire::GetRowPage(bytes.data());
  if (page->table_name()->str() != table) {
    return std::nullopt;
  }
  table_copy copy;
  copy.through = page->through();
  // An age beyond any use is cut, so that it can be taken from any time.
  constexpr uint64_t kOldest = std::chrono::microseconds(std::chrono::hours(1)).count();
  copy.age = std::chrono::microseconds(std::min(page->age_us(), kOldest));
  if (page->rows() != nullptr) {
    copy.rows.reserve(page->rows()->size());
    for (const wire::HandedRow* row : *page->rows()) {
      copy.rows.push_back({{table, text_of(row->partition()), row->key()->str()},
                           text_of(row->value()),
                           row->version(),
                           row->removed()});
    }
  }
  return copy;
}

}  // namespace

std::string encode_rows(const std::string& table, const std::vector<StoredRow>& rows) {
  return encode_page(table, rows, 0, Duration(0));
}

std::optional<std::vector<StoredRow>> decode_rows(const std::string& table,
                                                  std::string_view bytes) {
  std::optional<table_copy> page = decode_page(table, bytes);
  return page ? std::optional(std::move(page->rows)) : std::nullopt;
}

std::string encode_copy(const std::string& table, const table_copy& copy) {
  return encode_page(table, copy.rows, copy.through, copy.age);
}

std::optional<table_copy> decode_copy(const std::string& table, std::string_view bytes) {
  std::optional<table_copy> copy = decode_page(table, bytes);
  return copy && copy->through > 0 ? std::move(copy) : std::nullopt;
}

std::string rows_path(const std::string& table) { return std::string(kPath) + table; }

std::string copy_path(const std::string& table) { return std::string(kCopyPath) + table; }

void row_handover_server::handle(HttpRequest request, ResponseWriterPtr writer) {
  if (request.method == "POST") {
    take(request, *writer);
  } else if (request.path.starts_with(kCopyPath)) {
    give_copy(request, *writer);
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

// Refused at once unless this node has the whole table and has not just given it to another.
void row_handover_server::give_copy(const HttpRequest& request, ResponseWriter& writer) {
  const auto table = given_.find(request.path.substr(kCopyPath.size()));
  if (table == given_.end()) {
    writer.respond({kNotFound, {}, ""});
    return;
  }
  const std::optional<table_copy> copy = table->second->whole_table();
  const MonotonicTime now = time_source_.monotonic_now();
  const bool too_soon = copied_ != MonotonicTime{} && now - copied_ < knobs_.between_copies;
  if (!copy || too_soon) {
    writer.respond({kUnavailable, {}, ""});
    return;
  }
  copied_ = now;
  writer.respond(
      {kOk, {{"Content-Type", "application/octet-stream"}}, encode_copy(table->first, *copy)});
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
