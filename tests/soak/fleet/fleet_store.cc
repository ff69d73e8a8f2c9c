#include "tests/soak/fleet/fleet_store.h"

#include <nlohmann/json.hpp>

#include "src/core/base64.h"
#include "src/core/call_after.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCommitTime = milliseconds(5);
constexpr Duration kMostWaiting = seconds(1);
constexpr Duration kWakeAfter = milliseconds(4);
constexpr Duration kTidyInterval = milliseconds(100);
/** Longer than any caller waits; afterwards the connection closes. */
constexpr Duration kSilence = seconds(60);
constexpr size_t kMostRows = 500;
constexpr uint64_t kWritesPerSecond = 1500;
constexpr uint64_t kReadsPerSecond = 6000;
/** Marks a follower whose caller has left and who is about to be removed. */
constexpr StoreVersion kLeft = UINT64_MAX;

std::string value_of(std::string_view query, const std::string &name) {
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

StoredRowKey key_of(const nlohmann::json &fields) {
    return {fields.at("table"), fields.value("part", ""), fields.at("tls_key")};
}

StoreTransaction decode_transaction(const std::string &text) {
    const nlohmann::json body = nlohmann::json::parse(text);
    const auto list = [&body](const char *name) {
        return body.contains(name) ? body.at(name) : nlohmann::json::array();
    };
    StoreTransaction transaction;
    for (const nlohmann::json &entry : list("expect_rev")) {
        transaction.conditions.push_back({key_of(entry), entry.at("ver")});
    }
    for (const nlohmann::json &entry : list("put")) {
        const std::string value = entry.at("value");
        transaction.writes.push_back({key_of(entry), decode_base64(value)});
    }
    for (const nlohmann::json &entry : list("delete")) {
        transaction.writes.push_back({key_of(entry), std::nullopt});
    }
    return transaction;
}

std::string partition_of(const StoreTransaction &transaction) {
    if (!transaction.writes.empty()) {
        return transaction.writes.front().key.partition;
    }
    return transaction.conditions.empty() ? "" : transaction.conditions.front().key.partition;
}

} // namespace

fleet_store::fleet_store(EventDispatcher &dispatcher, RandomGenerator &random, Duration answer_time,
                         Duration history)
    : dispatcher_(dispatcher), random_(random), answer_time_(answer_time), history_(history),
      began_(time_source_.monotonic_now()),
      wake_timer_(dispatcher.create_timer([this] { wake(); })),
      tidy_timer_(dispatcher.create_timer([this] { tidy(); })) {
    writes_.most = kWritesPerSecond;
    reads_.most = kReadsPerSecond;
    tidy_timer_->enable(kTidyInterval);
}

fleet_store::~fleet_store() = default;

void fleet_store::handle(HttpRequest request, ResponseWriterPtr writer) {
    ++calls_[request.path.substr(0, request.path.find('/', 1))];
    if (troubled(request, writer)) {
        return;
    }
    if (request.path == "/rows-tx") {
        transact(request, std::move(writer));
    } else if (request.path == "/rows-get") {
        read(request, std::move(writer));
    } else if (request.path == "/rows-feed") {
        follow(request, std::move(writer));
    } else {
        handle_object(request, std::move(writer));
    }
}

bool fleet_store::over_budget(const HttpRequest &request) {
    const bool reads = request.method == "GET";
    call_budget &budget = reads ? reads_ : writes_;
    if (now() - budget.renewed >= seconds(1)) {
        budget.renewed = now();
        budget.left = budget.most;
    }
    if (budget.left == 0) {
        ++calls_["over the limit"];
        return true;
    }
    --budget.left;
    return false;
}

bool fleet_store::troubled(const HttpRequest &request, ResponseWriterPtr &writer) {
    if (troubles_.turned_away.contains(request.peer.ip)) {
        writer->abort();
    } else if (over_budget(request)) {
        answer(std::move(writer), {429, {}, "{}"}, answer_time_);
    } else if (troubles_.silent) {
        keep_silent(std::move(writer));
    } else if (troubles_.status != 0) {
        answer(std::move(writer), {troubles_.status, {}, "{}"}, answer_time_);
    } else {
        return false;
    }
    return true;
}

void fleet_store::put(const std::string &table, const std::string &key,
                      const std::optional<std::string> &value) {
    StoreTransaction transaction;
    transaction.writes.push_back({{table, "", key}, value});
    rows_.commit(transaction, now());
    wake_soon();
}

void fleet_store::set_troubles(store_troubles troubles) {
    troubles_ = std::move(troubles);
    for (auto each = followers_.begin(); each != followers_.end();) {
        // A store that goes down takes the calls that wait with it.
        const bool ends = troubles_.status != 0 && each->since != kLeft;
        if (ends) {
            each->writer->set_on_closed({});
            each->writer->abort();
        }
        each = ends ? followers_.erase(each) : std::next(each);
    }
    wake_soon();
}

void fleet_store::drop_history() {
    rows_.forget_before(now());
    wake_soon();
}

std::optional<Duration> fleet_store::turn_of(const std::string &partition) {
    MonotonicTime &busy_until = busy_until_[partition];
    if (busy_until - now() > kMostWaiting) {
        return std::nullopt;
    }
    busy_until = std::max(busy_until, now()) + kCommitTime;
    return busy_until - now();
}

void fleet_store::transact(const HttpRequest &request, ResponseWriterPtr writer) {
    StoreTransaction transaction = decode_transaction(request.body);
    const std::optional<Duration> turn = turn_of(partition_of(transaction));
    if (!turn) {
        ++calls_["over the limit of a partition"];
        answer(std::move(writer), {429, {}, "{}"}, answer_time_);
        return;
    }
    if (lost()) {
        commit_unanswered(std::move(transaction), std::move(writer));
        return;
    }
    waiting_.push_back({std::move(writer), {}});
    const auto entry = std::prev(waiting_.end());
    call_after(dispatcher_, *turn + troubles_.delay,
               lifetime_.guard([this, entry, transaction = std::move(transaction)] {
                   ResponseWriterPtr held = std::move(entry->writer);
                   waiting_.erase(entry);
                   commit(transaction, std::move(held));
               }));
}

void fleet_store::commit(const StoreTransaction &transaction, ResponseWriterPtr writer) {
    const row_commit result = rows_.commit(transaction, now());
    if (result.committed) {
        wake_soon();
        writer->respond({200, {}, encode({})});
    } else {
        writer->respond({412, {}, encode(result.current)});
    }
}

void fleet_store::commit_unanswered(StoreTransaction transaction, ResponseWriterPtr writer) {
    keep_silent(std::move(writer));
    call_after(dispatcher_, kCommitTime + troubles_.late,
               lifetime_.guard([this, transaction = std::move(transaction)] {
                   rows_.commit(transaction, now());
                   wake_soon();
               }));
}

void fleet_store::read(const HttpRequest &request, ResponseWriterPtr writer) {
    RangeRead range;
    range.table = value_of(request.query, "table");
    range.partition = value_of(request.query, "part");
    range.first_key = value_of(request.query, "from");
    range.end_key = value_of(request.query, "target_version");
    const std::string limit = value_of(request.query, "limit");
    range.limit = static_cast<uint32_t>(limit.empty() ? kMostRows : std::stoul(limit));
    const row_range_page page = rows_.read(range);
    const std::string more = std::string(",\"has_more\":") + (page.more ? "true" : "false");
    answer(std::move(writer), {200, {}, encode(page.rows, more)}, answer_time_);
}

void fleet_store::follow(const HttpRequest &request, ResponseWriterPtr writer) {
    follower added;
    added.table = value_of(request.query, "table");
    added.since = std::stoull(value_of(request.query, "since_rev"));
    added.until = now() + milliseconds(std::stoi(value_of(request.query, "wait_ms")));
    added.writer = std::move(writer);
    followers_.push_back(std::move(added));
    const auto place = std::prev(followers_.end());
    place->writer->set_on_closed(lifetime_.guard([this, place] {
        dispatcher_.post(lifetime_.guard([this, place] { followers_.erase(place); }));
        place->until = MonotonicTime::max();
        place->since = kLeft;
    }));
    wake_soon();
}

void fleet_store::handle_object(const HttpRequest &request, ResponseWriterPtr writer) {
    const std::string name = request.path.substr(request.path.rfind('/') + 1);
    HttpResponse response{200, {}, "{}"};
    if (request.method == "PUT") {
        const auto condition = find_header(request.headers, "If-None-Match");
        const bool there = objects_.contains(name);
        if (condition && there) {
            response.status = 412;
        } else {
            objects_[name] = request.body;
        }
    } else if (request.method == "DELETE") {
        response.status = objects_.erase(name) > 0 ? 200 : 404;
    } else if (const auto found = objects_.find(name); found != objects_.end()) {
        response.body = found->second;
    } else {
        response.status = 404;
    }
    answer(std::move(writer), std::move(response), answer_time_);
}

std::string fleet_store::encode(const std::vector<encoded_row_ptr> &rows,
                                const std::string &more) const {
    std::string text = "{\"rows\":[";
    for (const encoded_row_ptr &row : rows) {
        text.append(text.back() == '[' ? "" : ",").append(row->json);
    }
    const auto clock = std::chrono::duration_cast<milliseconds>(now() - began_);
    text.append("],\"ver\":").append(std::to_string(rows_.version()));
    text.append(",\"now_ms\":").append(std::to_string(clock.count()));
    return text.append(more).append("}");
}

bool fleet_store::lost() {
    return random_.below(100) < troubles_.lost_percent;
}

void fleet_store::answer(ResponseWriterPtr writer, HttpResponse response, Duration takes) {
    if (lost()) {
        keep_silent(std::move(writer));
        return;
    }
    response.headers = {{"Content-Type", "application/json"}};
    waiting_.push_back({std::move(writer), std::move(response)});
    const auto entry = std::prev(waiting_.end());
    call_after(dispatcher_, takes + troubles_.delay, lifetime_.guard([this, entry] {
        entry->writer->respond(entry->response);
        waiting_.erase(entry);
    }));
}

void fleet_store::keep_silent(ResponseWriterPtr writer) {
    waiting_.push_back({std::move(writer), {}});
    const auto entry = std::prev(waiting_.end());
    call_after(dispatcher_, kSilence, lifetime_.guard([this, entry] { waiting_.erase(entry); }));
}

void fleet_store::wake_soon() {
    if (!wake_timer_->enabled()) {
        wake_timer_->enable(kWakeAfter + troubles_.delay);
    }
}

void fleet_store::wake() {
    if (troubles_.silent || troubles_.status != 0) {
        return;
    }
    // Most followers of a table ask behind the same version.
    std::map<std::pair<std::string, StoreVersion>, std::string> encoded;
    for (auto each = followers_.begin(); each != followers_.end();) {
        const auto place = each++;
        if (place->since == kLeft) {
            continue; // its caller has left
        }
        if (!rows_.remembers(place->table, place->since)) {
            place->writer->set_on_closed({});
            place->writer->respond({410, {}, "{}"});
            followers_.erase(place);
            continue;
        }
        if (rows_.newest(place->table) <= place->since && place->until > now()) {
            continue;
        }
        if (lost()) {
            place->writer->set_on_closed({});
            keep_silent(std::move(place->writer));
            followers_.erase(place);
            continue;
        }
        std::string &text = encoded[{place->table, place->since}];
        if (text.empty()) {
            text = encode(rows_.changes(place->table, place->since));
        }
        place->writer->set_on_closed({});
        place->writer->respond({200, {{"Content-Type", "application/json"}}, text});
        followers_.erase(place);
    }
}

void fleet_store::tidy() {
    rows_.forget_before(now() - history_);
    wake_soon();
    tidy_timer_->enable(kTidyInterval);
}

} // namespace chalkshed::soak
