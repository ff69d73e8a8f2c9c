#include "tests/soak/fleet/fleet_store.h"

#include <nlohmann/json.hpp>

#include "src/core/base64.h"
#include "src/core/call_after.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kCommitTime = milliseconds(5);
constexpr Duration kMaxCommitBacklog = seconds(1);
constexpr Duration kNotifyDelay = milliseconds(4);
constexpr Duration kTrimInterval = milliseconds(100);
/** Longer than any caller waits; the connection closes afterwards. */
constexpr Duration kWithheldTimeout = seconds(60);
constexpr size_t kMaxRows = 500;
constexpr uint64_t kWritesPerSecond = 1500;
constexpr uint64_t kReadsPerSecond = 6000;
/** Marks a watcher whose connection has closed and that is about to be removed. */
constexpr StoreVersion kClosedWatcher = UINT64_MAX;

std::string query_parameter(std::string_view query, const std::string &name) {
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

StoredRowKey decode_key(const nlohmann::json &fields) {
    return {fields.at("table"), fields.value("part", ""), fields.at("tls_key")};
}

StoreTransaction decode_transaction(const std::string &text) {
    const nlohmann::json body = nlohmann::json::parse(text);
    const auto list = [&body](const char *name) {
        return body.contains(name) ? body.at(name) : nlohmann::json::array();
    };
    StoreTransaction transaction;
    for (const nlohmann::json &entry : list("expect_rev")) {
        transaction.conditions.push_back({decode_key(entry), entry.at("ver")});
    }
    for (const nlohmann::json &entry : list("put")) {
        const std::string value = entry.at("value");
        transaction.writes.push_back({decode_key(entry), decode_base64(value)});
    }
    for (const nlohmann::json &entry : list("delete")) {
        transaction.writes.push_back({decode_key(entry), std::nullopt});
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
      started_at_(time_source_.monotonic_now()),
      notify_timer_(dispatcher.create_timer([this] { notify_watchers(); })),
      trim_timer_(dispatcher.create_timer([this] { trim_history(); })) {
    writes_.limit = kWritesPerSecond;
    reads_.limit = kReadsPerSecond;
    trim_timer_->enable(kTrimInterval);
}

fleet_store::~fleet_store() = default;

void fleet_store::handle(HttpRequest request, ResponseWriterPtr writer) {
    ++calls_[request.path.substr(0, request.path.find('/', 1))];
    if (answer_with_fault(request, writer)) {
        return;
    }
    if (request.path == "/rows-tx") {
        transact(request, std::move(writer));
    } else if (request.path == "/rows-get") {
        read(request, std::move(writer));
    } else if (request.path == "/rows-feed") {
        watch(request, std::move(writer));
    } else {
        handle_object(request, std::move(writer));
    }
}

bool fleet_store::over_budget(const HttpRequest &request) {
    const bool reads = request.method == "GET";
    call_budget &budget = reads ? reads_ : writes_;
    if (now() - budget.window_start >= seconds(1)) {
        budget.window_start = now();
        budget.remaining = budget.limit;
    }
    if (budget.remaining == 0) {
        ++calls_["over the limit"];
        return true;
    }
    --budget.remaining;
    return false;
}

bool fleet_store::answer_with_fault(const HttpRequest &request, ResponseWriterPtr &writer) {
    if (faults_.blocked_ips.contains(request.peer.ip)) {
        writer->abort();
    } else if (over_budget(request)) {
        answer(std::move(writer), {429, {}, "{}"}, answer_time_);
    } else if (faults_.silent) {
        withhold_answer(std::move(writer));
    } else if (faults_.status != 0) {
        answer(std::move(writer), {faults_.status, {}, "{}"}, answer_time_);
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
    schedule_notify();
}

void fleet_store::set_faults(store_faults faults) {
    faults_ = std::move(faults);
    for (auto each = watchers_.begin(); each != watchers_.end();) {
        // An outage of the store also ends the pending watch calls.
        const bool ends = faults_.status != 0 && each->since != kClosedWatcher;
        if (ends) {
            each->writer->set_on_closed({});
            each->writer->abort();
        }
        each = ends ? watchers_.erase(each) : std::next(each);
    }
    schedule_notify();
}

void fleet_store::drop_history() {
    rows_.trim_history_before(now());
    schedule_notify();
}

std::optional<Duration> fleet_store::reserve_commit(const std::string &partition) {
    MonotonicTime &busy_until = busy_until_[partition];
    if (busy_until - now() > kMaxCommitBacklog) {
        return std::nullopt;
    }
    busy_until = std::max(busy_until, now()) + kCommitTime;
    return busy_until - now();
}

void fleet_store::transact(const HttpRequest &request, ResponseWriterPtr writer) {
    StoreTransaction transaction = decode_transaction(request.body);
    const std::optional<Duration> delay_until_commit = reserve_commit(partition_of(transaction));
    if (!delay_until_commit) {
        ++calls_["over the limit of a partition"];
        answer(std::move(writer), {429, {}, "{}"}, answer_time_);
        return;
    }
    if (loses_answer()) {
        commit_without_answer(std::move(transaction), std::move(writer));
        return;
    }
    pending_answers_.push_back({std::move(writer), {}});
    const auto entry = std::prev(pending_answers_.end());
    call_after(dispatcher_, *delay_until_commit + faults_.delay,
               lifetime_.guard([this, entry, transaction = std::move(transaction)] {
                   ResponseWriterPtr held = std::move(entry->writer);
                   pending_answers_.erase(entry);
                   commit(transaction, std::move(held));
               }));
}

void fleet_store::commit(const StoreTransaction &transaction, ResponseWriterPtr writer) {
    const row_commit result = rows_.commit(transaction, now());
    if (result.committed) {
        schedule_notify();
        writer->respond({200, {}, encode({})});
    } else {
        writer->respond({412, {}, encode(result.current)});
    }
}

void fleet_store::commit_without_answer(StoreTransaction transaction, ResponseWriterPtr writer) {
    withhold_answer(std::move(writer));
    call_after(dispatcher_, kCommitTime + faults_.late,
               lifetime_.guard([this, transaction = std::move(transaction)] {
                   rows_.commit(transaction, now());
                   schedule_notify();
               }));
}

void fleet_store::read(const HttpRequest &request, ResponseWriterPtr writer) {
    RangeRead range;
    range.table = query_parameter(request.query, "table");
    range.partition = query_parameter(request.query, "part");
    range.first_key = query_parameter(request.query, "from");
    range.end_key = query_parameter(request.query, "target_version");
    const std::string limit = query_parameter(request.query, "limit");
    range.limit = static_cast<uint32_t>(limit.empty() ? kMaxRows : std::stoul(limit));
    const row_range_page page = rows_.read(range);
    const std::string more = std::string(",\"has_more\":") + (page.more ? "true" : "false");
    answer(std::move(writer), {200, {}, encode(page.rows, more)}, answer_time_);
}

void fleet_store::watch(const HttpRequest &request, ResponseWriterPtr writer) {
    watcher added;
    added.table = query_parameter(request.query, "table");
    added.since = std::stoull(query_parameter(request.query, "since_rev"));
    added.until = now() + milliseconds(std::stoi(query_parameter(request.query, "wait_ms")));
    added.writer = std::move(writer);
    watchers_.push_back(std::move(added));
    const auto place = std::prev(watchers_.end());
    place->writer->set_on_closed(lifetime_.guard([this, place] {
        dispatcher_.post(lifetime_.guard([this, place] { watchers_.erase(place); }));
        place->until = MonotonicTime::max();
        place->since = kClosedWatcher;
    }));
    schedule_notify();
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
    const auto clock = std::chrono::duration_cast<milliseconds>(now() - started_at_);
    text.append("],\"ver\":").append(std::to_string(rows_.version()));
    text.append(",\"now_ms\":").append(std::to_string(clock.count()));
    return text.append(more).append("}");
}

bool fleet_store::loses_answer() {
    return random_.below(100) < faults_.lost_percent;
}

void fleet_store::answer(ResponseWriterPtr writer, HttpResponse response, Duration takes) {
    if (loses_answer()) {
        withhold_answer(std::move(writer));
        return;
    }
    response.headers = {{"Content-Type", "application/json"}};
    pending_answers_.push_back({std::move(writer), std::move(response)});
    const auto entry = std::prev(pending_answers_.end());
    call_after(dispatcher_, takes + faults_.delay, lifetime_.guard([this, entry] {
        entry->writer->respond(entry->response);
        pending_answers_.erase(entry);
    }));
}

void fleet_store::withhold_answer(ResponseWriterPtr writer) {
    pending_answers_.push_back({std::move(writer), {}});
    const auto entry = std::prev(pending_answers_.end());
    call_after(dispatcher_, kWithheldTimeout,
               lifetime_.guard([this, entry] { pending_answers_.erase(entry); }));
}

void fleet_store::schedule_notify() {
    if (!notify_timer_->enabled()) {
        notify_timer_->enable(kNotifyDelay + faults_.delay);
    }
}

void fleet_store::notify_watchers() {
    if (faults_.silent || faults_.status != 0) {
        return;
    }
    // Most watchers of a table wait for changes after the same version.
    std::map<std::pair<std::string, StoreVersion>, std::string> encoded;
    for (auto each = watchers_.begin(); each != watchers_.end();) {
        const auto place = each++;
        if (place->since == kClosedWatcher) {
            continue; // its connection has closed
        }
        if (!rows_.has_history_since(place->table, place->since)) {
            place->writer->set_on_closed({});
            place->writer->respond({410, {}, "{}"});
            watchers_.erase(place);
            continue;
        }
        if (rows_.newest_version(place->table) <= place->since && place->until > now()) {
            continue;
        }
        if (loses_answer()) {
            place->writer->set_on_closed({});
            withhold_answer(std::move(place->writer));
            watchers_.erase(place);
            continue;
        }
        std::string &text = encoded[{place->table, place->since}];
        if (text.empty()) {
            text = encode(rows_.changes(place->table, place->since));
        }
        place->writer->set_on_closed({});
        place->writer->respond({200, {{"Content-Type", "application/json"}}, text});
        watchers_.erase(place);
    }
}

void fleet_store::trim_history() {
    rows_.trim_history_before(now() - history_);
    schedule_notify();
    trim_timer_->enable(kTrimInterval);
}

} // namespace chalkshed::soak
