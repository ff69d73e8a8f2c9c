// An in-memory fake of the platform's store over HTTP, for tests of the adapter. It implements the
// documented interface and can refuse calls, throttle, truncate or drop answers and lose its
// history.
#pragma once

#include <list>
#include <nlohmann/json.hpp>
#include <string>

#include "emulator/memory_watched_store.h"
#include "src/core/base64.h"
#include "src/core/call_after.h"
#include "src/event/event_dispatcher.h"
#include "src/event/system_time_source.h"
#include "src/http/http_server.h"

namespace chalkshed::platform {

class StoreStandIn : public HttpHandler {
 public:
  explicit StoreStandIn(EventDispatcher& dispatcher)
      : dispatcher_(dispatcher), server_(dispatcher, {"127.0.0.1", 0}, *this) {}

  const Address& local() const { return server_.local(); }
  void handle(HttpRequest request, ResponseWriterPtr writer) override {
    ++calls[request.path.substr(0, request.path.find('/', 1))];
    if (status != 0) {
      writer->respond({status, {}, "{}"});
    } else if (request.path == "/rows-tx") {
      transact(request, std::move(writer));
    } else if (request.path == "/rows-get") {
      read(request, *writer);
    } else if (request.path == "/rows-feed") {
      follow(request, std::move(writer));
    } else {
      handle_object(request, *writer);
    }
  }
  // Writes a row as operators and workers do.
  void put(const std::string& table, const std::string& key, const std::string& value) {
    StoreTransaction transaction;
    transaction.writes.push_back({{table, "", key}, value});
    rows.commit(transaction);
    wake();
  }

  VersionedRows rows;
  std::map<std::string, std::string> objects;
  std::map<std::string, int> calls;  // by path
  int status = 0;                    // status of all answers, unless 0
  bool lose_commits = false;         // applies commits but closes the connection
  std::map<std::string, std::string> answer_replacements;  // replacements in the text of answers
  bool truncate_answers = false;  // truncates answers to half, with matching framing

 private:
  struct Follower {
    std::string table;
    StoreVersion since = 0;
    ResponseWriterPtr writer;
  };

  static std::string value_of(std::string_view query, const std::string& name) {
    const std::string wanted = name + "=";
    size_t at = query.starts_with(wanted) ? 0 : query.find("&" + wanted);
    if (at == std::string_view::npos) {
      return {};
    }
    at += wanted.size() + (query[at] == '&' ? 1 : 0);
    std::string decoded;
    for (size_t index = at; index < query.size() && query[index] != '&'; ++index) {
      if (query[index] == '%') {
        decoded +=
            static_cast<char>(std::stoi(std::string(query.substr(index + 1, 2)), nullptr, 16));
        index += 2;
      } else {
        decoded += query[index];
      }
    }
    return decoded;
  }
  static nlohmann::json encode(const StoredRow& row) {
    nlohmann::json fields = {{"table", row.key.table},
                             {"part", row.key.partition},
                             {"tls_key", row.key.key},
                             {"ver", row.version}};
    if (row.removed) {
      fields["is_gone"] = true;
    } else if (row.version > 0) {
      fields["value"] = encode_base64(row.value);
    }
    return fields;
  }
  static StoredRowKey key_of(const nlohmann::json& fields) {
    return {fields.at("table"), fields.value("part", ""), fields.at("tls_key")};
  }
  void answer(ResponseWriter& writer, int code, nlohmann::json body) const {
    body["ver"] = rows.version();
    body["now_ms"] = std::chrono::duration_cast<std::chrono::milliseconds>(
                         clock_.monotonic_now().time_since_epoch())
                         .count();
    std::string text = body.dump();
    for (const auto& [original, replacement] : answer_replacements) {
      const size_t at = text.find(original);
      if (at != std::string::npos) {
        text.replace(at, original.size(), replacement);
      }
    }
    writer.respond({code,
                    {{"Content-Type", "application/json"}},
                    truncate_answers ? text.substr(0, text.size() / 2) : text});
  }
  static nlohmann::json encode_all(const std::vector<StoredRow>& all) {
    nlohmann::json encoded = nlohmann::json::array();
    for (const StoredRow& row : all) {
      encoded.push_back(encode(row));
    }
    return {{"rows", encoded}};
  }
  void transact(const HttpRequest& request, ResponseWriterPtr writer) {
    const nlohmann::json body = nlohmann::json::parse(request.body);
    StoreTransaction transaction;
    for (const nlohmann::json& entry : body.at("expect_rev")) {
      transaction.conditions.push_back({key_of(entry), entry.at("ver")});
    }
    for (const nlohmann::json& entry : body.at("put")) {
      transaction.writes.push_back(
          {key_of(entry), decode_base64(entry.at("value").get<std::string>())});
    }
    for (const nlohmann::json& entry : body.at("delete")) {
      transaction.writes.push_back({key_of(entry), std::nullopt});
    }
    const StoreCommit commit = rows.commit(transaction);
    wake();
    if (lose_commits) {
      writer->abort();
      return;
    }
    answer(*writer, commit.committed ? 200 : 412,
           commit.committed ? nlohmann::json::object() : encode_all(commit.current));
  }
  void read(const HttpRequest& request, ResponseWriter& writer) const {
    RangeRead range;
    range.table = value_of(request.query, "table");
    range.partition = value_of(request.query, "part");
    range.first_key = value_of(request.query, "from");
    range.end_key = value_of(request.query, "target_version");
    range.limit = static_cast<uint32_t>(std::stoul(value_of(request.query, "limit")));
    const RangePage page = rows.read(range);
    nlohmann::json body = encode_all(page.rows);
    body["has_more"] = page.more;
    answer(writer, 200, std::move(body));
  }
  void follow(const HttpRequest& request, ResponseWriterPtr writer) {
    const StoreVersion since = std::stoull(value_of(request.query, "since_rev"));
    followers_.push_back({value_of(request.query, "table"), since, std::move(writer)});
    const ResponseWriter* waiting = followers_.back().writer.get();
    const Duration wait = std::chrono::milliseconds(std::stoi(value_of(request.query, "wait_ms")));
    call_after(dispatcher_, wait, lifetime_.guard([this, waiting] {
      for (auto follower = followers_.begin(); follower != followers_.end(); ++follower) {
        if (follower->writer.get() == waiting) {
          answer(*follower->writer, 200, encode_all({}));
          followers_.erase(follower);
          return;
        }
      }
    }));
    wake();
  }
  void wake() {
    for (auto follower = followers_.begin(); follower != followers_.end();) {
      const auto changes = rows.changes(follower->table, follower->since);
      if (!changes) {
        follower->writer->respond({410, {}, "{}"});
      } else if (!changes->empty()) {
        answer(*follower->writer, 200, encode_all(*changes));
      } else {
        ++follower;
        continue;
      }
      follower = followers_.erase(follower);
    }
  }
  void handle_object(const HttpRequest& request, ResponseWriter& writer) {
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    if (request.method == "PUT") {
      objects[name] = request.body;
      writer.respond({200, {}, "{}"});
    } else if (request.method == "DELETE") {
      writer.respond({objects.erase(name) > 0 ? 200 : 404, {}, "{}"});
    } else {
      const auto found = objects.find(name);
      writer.respond(
          {found == objects.end() ? 404 : 200, {}, found == objects.end() ? "{}" : found->second});
    }
  }

  SystemTimeSource clock_;
  EventDispatcher& dispatcher_;
  std::list<Follower> followers_;
  Lifetime lifetime_;
  HttpServer server_;
};

}  // namespace chalkshed::platform
