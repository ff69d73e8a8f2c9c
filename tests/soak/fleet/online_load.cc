#include "tests/soak/fleet/online_load.h"

#include <algorithm>
#include <charconv>
#include <cmath>
#include <optional>

#include "platform/header_names.h"
#include "src/serving/event_stream.h"
#include "tests/soak/fleet/expected_answers.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *kHost = "fleet.example";
constexpr int kMaxTries = 2;
constexpr uint64_t kPipelinedPercent = 2;
/** Callers wait this much longer than the deadline that they sent. */
constexpr Duration kExtraWait = milliseconds(500);

/** The load alternates in steps around its mean, because a fleet that is stable under even load may
 * not be when the load jumps: 3.8 s of 0.377 and 2.8 s of 1.84 times the mean. */
constexpr Duration kLoadPeriod = milliseconds(6600);
constexpr Duration kLowDuration = milliseconds(3800);
constexpr double kLowFactor = 0.377;
constexpr double kHighFactor = 1.84;

Duration exponential(RandomGenerator &random, double per_second) {
    const double wait = -std::log(1 - random.unit()) / per_second;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
}

bool is_not_run_status(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

constexpr uint64_t kSharedPrompts = 16;

std::string random_prompt(RandomGenerator &random) {
    constexpr uint64_t kOtherPrompts = 1655;
    return "a" + std::to_string(random.below(kSharedPrompts)) + ":100,b" +
           std::to_string(random.below(kOtherPrompts)) + ":100,c" +
           std::to_string(random.below(kOtherPrompts)) + ":250";
}

} // namespace

struct online_load::call {
    std::string id;
    const route_options *route = nullptr;
    uint64_t node = 0;
    int tries = 0;
    bool kept = false;
    bool ended = false;
    HttpRequest request;
    /** The body, for the caller to take the stream up; empty unless its route allows that. */
    std::string body;
    /** The attempt that began the stream that this one takes up, and the last event that its caller
     * has; empty and 0 if it begins one. */
    std::string first_attempt;
    uint64_t resume_after = 0;
    /** Its caller closes the connection and takes the stream up at another node. */
    bool moves = false;
    wire_client_ptr connection;
};

/** \return The id of the last event that arrived whole, or `before` if none did. */
uint64_t last_event_of(const std::string &body, uint64_t before) {
    EventSplitter splitter;
    std::string_view events = splitter.add(body);
    while (const std::optional<StreamEvent> event = take_event(events)) {
        before = event->id.value_or(before);
    }
    return before;
}

uint64_t draw_length(RandomGenerator &random, const range &lengths) {
    constexpr double kSteepness = 6;
    const double share = std::pow(random.unit(), kSteepness);
    const auto fewest = static_cast<double>(std::max<uint64_t>(lengths.fewest, 1));
    const auto most = static_cast<double>(std::max<uint64_t>(lengths.most, 1));
    const double drawn = fewest * std::pow(most / fewest, share);
    return std::clamp(static_cast<uint64_t>(drawn), lengths.fewest, lengths.most);
}

online_load::online_load(role_process &process, ready_nodes &nodes)
    : process_(process), nodes_(nodes) {}

void online_load::begin() {
    started_at_ = process_.now();
    for (const route_options &route : process_.options.plan.routes) {
        if (route.kind != route_kind::kBatch && route.per_second > 0) {
            schedule_arrival(route);
        }
    }
    for (uint64_t number = 0; number < process_.options.plan.callers.fatal_contents; ++number) {
        schedule_fatal(number);
    }
    begin_fatal_parts();
}

void online_load::begin_fatal_parts() {
    const uint64_t parts = process_.options.plan.callers.fatal_parts;
    std::vector<const route_options *> routes;
    for (const route_options &route : process_.options.plan.routes) {
        if (route.kind == route_kind::kStreaming) {
            routes.push_back(&route);
        }
    }
    for (uint64_t number = 0; !routes.empty() && number < parts; ++number) {
        // The first begins when a third of the time has passed, to compare with the time before.
        const Duration begin = process_.options.plan.length / 3 + process_.options.plan.length / 3 *
                                                                      static_cast<int64_t>(number) /
                                                                      static_cast<int64_t>(parts);
        process_.run_after(begin, [this, number, route = routes[number % routes.size()]] {
            schedule_fatal_part(*route, number);
        });
    }
}

void online_load::schedule_fatal_part(const route_options &route, uint64_t number) {
    const caller_options &callers = process_.options.plan.callers;
    const double rate = callers.fatal_parts_per_second / static_cast<double>(callers.processes);
    if (ended_ || rate <= 0) {
        return;
    }
    process_.run_after(exponential(process_.random, rate), [this, &route, number] {
        send_fatal_part(route, number);
        schedule_fatal_part(route, number);
    });
}

void online_load::send_fatal_part(const route_options &route, uint64_t number) {
    const uint64_t node = nodes_.pick();
    const call_ptr fatal = prepare(route, node, kMaxTries);
    fatal->moves = false;
    for (HttpHeader &header : fatal->request.headers) {
        if (header.name == platform::kPromptPrefix) {
            header.value = "a" + std::to_string(number % kSharedPrompts) + ":100," +
                           fatal_part(number) + ":100,c" + std::to_string(next_id_) + ":250";
        }
    }
    send(fatal, connection_to(node, false));
}

void online_load::schedule_fatal(uint64_t number) {
    constexpr double kSecondsPerMinute = 60;
    const double rate = process_.options.plan.callers.fatal_per_minute / kSecondsPerMinute;
    std::vector<const route_options *> routes;
    for (const route_options &route : process_.options.plan.routes) {
        if (route.kind == route_kind::kStreaming) {
            routes.push_back(&route);
        }
    }
    if (ended_ || routes.empty() || rate <= 0) {
        return;
    }
    process_.run_after(exponential(process_.random, rate),
                       [this, number, route = routes[number % routes.size()]] {
                           send_fatal(*route, number);
                           schedule_fatal(number);
                       });
}

void online_load::send_fatal(const route_options &route, uint64_t number) {
    const uint64_t node = nodes_.pick();
    const call_ptr fatal = prepare(route, node, kMaxTries);
    fatal->request.path = "/" + route.name + "/fatal-" + std::to_string(number);
    fatal->request.query.clear();
    fatal->request.body = fatal_body(process_.options.number, number);
    send(fatal, connection_to(node, false));
}

double online_load::load_factor() const {
    const Duration within = (process_.now() - started_at_) % kLoadPeriod;
    return within < kLowDuration ? kLowFactor : kHighFactor;
}

void online_load::schedule_arrival(const route_options &route) {
    if (ended_) {
        return;
    }
    const auto processes = static_cast<double>(process_.options.plan.callers.processes);
    const double rate = load_factor() * route.per_second / processes;
    process_.run_after(exponential(process_.random, rate), [this, &route] {
        submit(route, nodes_.pick(), 0);
        schedule_arrival(route);
    });
}

online_load::call_ptr online_load::prepare(const route_options &route, uint64_t node, int tries) {
    auto added = std::make_shared<call>();
    added->id = "r" + std::to_string(process_.options.number) + "x" + std::to_string(++next_id_);
    added->route = &route;
    added->node = node;
    added->tries = tries;
    HttpRequest &request = added->request;
    request.method = "POST";
    request.path = "/" + route.name + "/x" + std::to_string(next_id_ % 97);
    request.query = next_id_ % 3 == 0 ? "q=" + added->id + "&empty=" : "";
    request.body = request_body(added->id, draw_length(process_.random, route.body));
    request.headers = {
        {platform::kRequestId, added->id},
        {platform::kDeadline,
         std::to_string(std::chrono::duration_cast<milliseconds>(route.timeout).count())},
        {"Content-Type", "application/octet-stream"},
        {"X-Soak-Note", added->id}};
    added->moves =
        route.resumable && process_.chance(process_.options.plan.callers.take_up_percent);
    if (route.kind == route_kind::kStreaming) {
        request.headers.push_back({"Chalkshed-Model", "m"});
        request.headers.push_back({platform::kTokenUsage, "450,200"});
        request.headers.push_back({platform::kPromptPrefix, random_prompt(process_.random)});
    }
    return added;
}

wire_client_ptr online_load::connection_to(uint64_t node, bool kept) {
    std::deque<wire_client_ptr> &idle = idle_connections_[node];
    while (kept && !idle.empty()) {
        wire_client_ptr connection = idle.front();
        idle.pop_front();
        if (connection->open()) {
            return connection;
        }
    }
    return std::make_shared<wire_client>(process_.dispatcher, process_.options.layout.node(node));
}

void online_load::submit(const route_options &route, uint64_t node, int tries) {
    const bool kept = process_.chance(process_.options.plan.callers.kept_percent);
    const wire_client_ptr connection = connection_to(node, kept);
    const call_ptr first = prepare(route, node, tries);
    first->kept = kept;
    send(first, connection);
    if (kept && process_.chance(kPipelinedPercent)) {
        // Sent before the answer to the first has arrived.
        const call_ptr pipelined = prepare(route, node, kMaxTries);
        send(pipelined, connection);
    }
}

void online_load::send(const call_ptr &sent, const wire_client_ptr &connection) {
    const caller_options &callers = process_.options.plan.callers;
    online_send entry;
    entry.at = process_.now();
    entry.id = sent->id;
    entry.node = "node-" + std::to_string(sent->node);
    entry.message = describe(sent->request);
    entry.once = sent->route->kind == route_kind::kNonIdempotent ||
                 (sent->route->kind == route_kind::kStreaming && !sent->route->resumable);
    entry.kept = connection->exchanges() > 0 || !connection->idle();
    entry.first_attempt = sent->first_attempt;
    entry.resumable = sent->route->resumable;
    process_.add_record(entry);
    ++open_calls_;
    const size_t chunk =
        process_.chance(callers.chunked_percent) ? 1 + process_.random.below(20000) : 0;
    sent->connection = connection;
    connection->send(encode_request(sent->request, kHost, chunk),
                     [this, sent](const call_result &result) { handle_answer(sent, result); });
    if (sent->route->resumable) {
        sent->body = std::move(sent->request.body);
    }
    sent->request.body.clear();
    schedule_disconnect(sent);
}

void online_load::schedule_disconnect(const call_ptr &sent) {
    const bool early = sent->moves || process_.chance(process_.options.plan.callers.leave_percent);
    const Duration longest = sent->route->timeout + kExtraWait;
    const Duration wait = early ? process_.random_duration(milliseconds(0), seconds(1)) : longest;
    process_.run_after(wait, [weak = std::weak_ptr<call>(sent)] {
        const call_ptr disconnecting = weak.lock();
        if (disconnecting && !disconnecting->ended) {
            // Requests pipelined behind it on the connection end too.
            const wire_client_ptr connection = disconnecting->connection;
            connection->disconnect();
        }
    });
}

void online_load::record_disconnect(const call &sent, const call_result &result) {
    caller_left entry;
    entry.at = process_.now();
    entry.id = sent.id;
    entry.versions = without_marks(result.body).versions;
    process_.add_record(entry);
}

bool online_load::matches(const call &sent, const call_result &result) const {
    const auto id = find_header(result.headers, platform::kRequestId);
    const auto signature = find_header(result.headers, platform::kSignature);
    if (result.status == 0 || result.status / 100 != 2) {
        return result.status == 0 || !id || *id == sent.id;
    }
    if (!id || *id != sent.id || !signature || !signature->ends_with("." + sent.id)) {
        return false;
    }
    std::string expected = plain_body(sent.id);
    std::string received = result.body;
    if (sent.route->kind == route_kind::kStreaming) {
        expected.clear();
        received = without_marks(result.body).text;
        const uint64_t events = events_of(process_.options.plan, *sent.route);
        for (uint64_t event = sent.resume_after + 1; event <= events; ++event) {
            expected += event_bytes(sent.id, event);
        }
    }
    return result.whole ? received == expected : expected.starts_with(received);
}

void online_load::handle_answer(const call_ptr &sent, const call_result &result) {
    if (std::exchange(sent->ended, true)) {
        return;
    }
    --open_calls_;
    const wire_client_ptr connection = std::move(sent->connection);
    if (result.disconnected) {
        record_disconnect(*sent, result);
        if (sent->moves) {
            take_up(*sent, result);
        }
        return;
    }
    online_answer entry;
    entry.at = process_.now();
    entry.id = sent->id;
    entry.status = result.status;
    entry.whole = result.whole;
    entry.held = result.status == 503 &&
                 result.body.find("workers crashed while running") != std::string::npos;
    entry.matches = matches(*sent, result);
    if (sent->route->kind == route_kind::kStreaming) {
        entry.versions = without_marks(result.body).versions;
    }
    process_.add_record(entry);
    if (sent->kept && connection->open() && connection->idle()) {
        idle_connections_[sent->node].push_back(connection);
    }
    retry(*sent, result);
}

/** Sends the request again, at another node, to go on after the last event that arrived. */
void online_load::take_up(const call &sent, const call_result &result) {
    constexpr int kMaxTakeUps = 4;
    const uint64_t last = last_event_of(result.body, sent.resume_after);
    const bool whole = last >= events_of(process_.options.plan, *sent.route);
    if (last == 0 || whole || sent.tries + 1 >= kMaxTakeUps || ended_) {
        return;
    }
    const uint64_t node = nodes_.pick_other_than(sent.node);
    const call_ptr next = prepare(*sent.route, node, sent.tries + 1);
    next->first_attempt = sent.first_attempt.empty() ? sent.id : sent.first_attempt;
    next->resume_after = last;
    next->request.path = sent.request.path;
    next->request.query = sent.request.query;
    next->request.headers = sent.request.headers;
    std::erase_if(next->request.headers, [](const HttpHeader &header) {
        return header.name == platform::kRequestId || header.name == platform::kLastEventId ||
               header.name == platform::kResumes;
    });
    next->request.headers.push_back({platform::kRequestId, next->id});
    next->request.headers.push_back({platform::kLastEventId, std::to_string(last)});
    next->request.headers.push_back({platform::kResumes, next->first_attempt});
    next->request.body = sent.body;
    process_.run_after(process_.random_duration(milliseconds(0), milliseconds(300)),
                       [this, next, node] { send(next, connection_to(node, false)); });
}

void online_load::retry(const call &sent, const call_result &result) {
    const bool interrupted = result.status == 200 && !result.whole;
    const bool refused_take_up = !sent.first_attempt.empty() && is_not_run_status(result.status);
    if (sent.route->resumable && (interrupted || refused_take_up)) {
        take_up(sent, result.status == 200 ? result : call_result{});
        return;
    }
    const bool refused = is_not_run_status(result.status);
    const bool repeatable = sent.route->kind == route_kind::kIdempotent;
    const bool failed = result.status == 0 || result.status >= 500;
    if (sent.tries + 1 >= kMaxTries || !(refused || (repeatable && failed)) || ended_) {
        return;
    }
    double wait = 0;
    if (const auto after = find_header(result.headers, "Retry-After")) {
        std::from_chars(after->data(), after->data() + after->size(), wait);
    }
    const auto pause = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait));
    process_.run_after(std::min(pause, sent.route->timeout / 3),
                       [this, route = sent.route, node = sent.node, tries = sent.tries + 1] {
                           submit(*route, nodes_.pick_other_than(node), tries);
                       });
}

} // namespace chalkshed::soak
