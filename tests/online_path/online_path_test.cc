/** \file
 * What workers receive against what callers sent, over the whole path of online requests and real
 * sockets: the server, the relay, the client.
 */
#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <csignal>

#include "platform/request_wire.h"
#include "src/event/system_time_source.h"
#include "src/http/connection_headers.h"
#include "src/http/event_http_client.h"
#include "src/http/http_server.h"
#include "src/serving/serving_gateway.h"
#include "tests/http/loopback.h"
#include "tests/online_path/raw_caller.h"
#include "tests/online_path/raw_worker.h"

namespace chalkshed {
namespace {

using std::chrono::milliseconds;

constexpr const char *kHost = "a.example";
/** Makes the kernel take large bodies in many parts. */
constexpr int kReceiveBuffer = 8 * 1024;

Route route_of(const std::string &name, RouteKind kind) {
    Route route;
    route.name = name;
    route.host = kHost;
    route.path_prefix = "/" + name + "/";
    route.kind = kind;
    route.timeout = milliseconds(250);
    route.target = milliseconds(50);
    route.attempts = 3;
    route.services = {{"s", 1}};
    return route;
}

/** A node's online path between sockets, and two workers behind it. */
class online_path : public HttpHandler {
public:
    explicit online_path(RandomGenerator &random) : random_(random) {
        std::signal(SIGPIPE, SIG_IGN); // as the daemon does
        for (size_t index = 0; index < workers_.size(); ++index) {
            worker_set_.update(
                {"i-" + std::to_string(index), "s", workers_[index].local(), "z", 4, false});
        }
        worker_set_.set_on_slot_freed(
            [this] { dispatcher_.post([this] { gateway_.dispatch_waiting(); }); });
    }
    ~online_path() override {
        worker_set_.set_on_slot_freed(nullptr);
    }
    online_path(const online_path &) = delete;
    online_path &operator=(const online_path &) = delete;

    void handle(HttpRequest request, ResponseWriterPtr writer) override {
        const Route *route = table_->find(platform::host_of(request), request.path);
        if (route == nullptr) {
            writer->respond({404, {}, ""});
            return;
        }
        gateway_.handle(table_, *route, platform::read_request(kHost, std::move(request)),
                        std::move(writer));
    }

    void add_caller(std::vector<written_request> requests, size_t most_bytes,
                    size_t leave_after = SIZE_MAX) {
        callers_.push_back(std::make_unique<raw_caller>(server_.local(), std::move(requests),
                                                        most_bytes, leave_after));
    }

    /** Until all callers have ended and the workers have read all that was sent to them. */
    void run() {
        run_until([&] {
            return std::all_of(callers_.begin(), callers_.end(),
                               [](const auto &caller) { return caller->done(); }) &&
                   gateway_.requests_in_progress() == 0;
        });
        for (raw_worker &worker : workers_) {
            worker.hurry();
        }
        constexpr int kTurnsWithoutAByte = 20;
        int quiet = 0;
        run_until([&] {
            quiet = moved_ ? 0 : quiet + 1;
            return quiet > kTurnsWithoutAByte;
        });
    }

    std::vector<received_request> received() const {
        std::vector<received_request> all;
        for (const raw_worker &worker : workers_) {
            all.insert(all.end(), worker.received().begin(), worker.received().end());
        }
        return all;
    }
    int runs(const std::string &id) const {
        int count = 0;
        for (const raw_worker &worker : workers_) {
            const auto found = worker.runs().find(id);
            count += found == worker.runs().end() ? 0 : found->second;
        }
        return count;
    }
    std::string malformed() const {
        return workers_[0].malformed() + workers_[1].malformed();
    }
    const std::vector<std::unique_ptr<raw_caller>> &callers() const {
        return callers_;
    }

private:
    void run_until(const std::function<bool()> &condition) {
        bool expired = false;
        const TimerPtr guard = dispatcher_.create_timer([&] { expired = true; });
        guard->enable(std::chrono::seconds(20));
        do {
            dispatcher_.run_once(false);
            moved_ = false;
            for (raw_worker &worker : workers_) {
                moved_ = worker.step() || moved_;
            }
            for (const auto &caller : callers_) {
                caller->step();
            }
        } while (!condition() && !expired);
        RC_ASSERT(!expired);
    }

    RandomGenerator &random_;
    EventDispatcher dispatcher_;
    SystemTimeSource time_source_;
    NullLogger logger_;
    NullMetricsRegistry metrics_;
    EventHttpClient client_{dispatcher_};
    platform::RequestWire wire_;
    std::array<raw_worker, 2> workers_{raw_worker(random_, kReceiveBuffer),
                                       raw_worker(random_, kReceiveBuffer)};
    WorkerSet worker_set_{time_source_, random_, "z", {}};
    request_quarantine quarantine_{time_source_, dispatcher_, worker_set_, logger_, metrics_};
    ServingEnvironment environment_{time_source_, dispatcher_, random_,  client_, wire_,
                                    worker_set_,  logger_,     metrics_, {},      quarantine_};
    ServingGateway gateway_{environment_};
    RouteTablePtr table_ = std::make_shared<RouteTable>(
        1,
        std::vector<Route>{route_of("once", RouteKind::kOnce),
                           route_of("again", RouteKind::kRepeatable)},
        std::vector<ServiceSpec>{{"s", 100, false, 0}}, CallerLimits{});
    HttpServer server_{dispatcher_, {"127.0.0.1", 0}, *this};
    std::vector<std::unique_ptr<raw_caller>> callers_;
    bool moved_ = false;
};

/** Draws requests, and the ways of writing them. */
class request_writer {
public:
    explicit request_writer(RandomGenerator &random) : random_(random) {}

    written_request write() {
        written_request request;
        request.id = "r" + std::to_string(next_id_++);
        request.once = chance(2);
        request.method = pick({"GET", "POST", "PUT", "PATCH", "DELETE", "OPTIONS", "HEAD"});
        request.target =
            (request.once ? "/once/" : "/again/") +
            pick({"", "a", "a//b/", "%2f%00..%zz", "a;b=c", "{}|^", "\xc3\xa9", "a:b"}) +
            pick({"", "", "?", "?b=c&d=", "??", "?/x?y=%20#z", "?a;b"});
        const bool body = request.method != "HEAD" && !chance(4);
        if (body) {
            request.body = random_bytes(body_size());
        }
        request.carried = carried_headers(request.id);
        const std::string head = write_head(request);
        request.wire = head + (body ? write_body(request.body) : "\r\n");
        return request;
    }

    /** One whose end two readers of HTTP may find at different places, and in what one of them
     * takes for its body, another. */
    written_request write_ambiguous() {
        written_request request;
        request.ambiguous = true;
        request.id = "r" + std::to_string(next_id_++);
        const std::string hidden = "POST /once/hidden HTTP/1.1\r\nHost: " + std::string(kHost) +
                                   "\r\n" + platform::kRequestId + ": hidden\r\n\r\n";
        const std::string length = "Content-Length: " + std::to_string(hidden.size()) + "\r\n";
        const std::string chunked = "Transfer-Encoding: chunked\r\n";
        const std::vector<std::array<std::string, 3>> forms = {
            {"HEAD", length, ""},
            {"HEAD", chunked, ""},
            {"POST", "Transfer-Encoding: gzip, chunked\r\n", "0\r\n\r\n"},
            {"POST", "Transfer-Encoding: identity\r\n" + chunked, "0\r\n\r\n"},
            {"POST", chunked + length, "0\r\n\r\n"},
            {"POST", "Content-Length: 0\r\n" + length, ""},
            {"POST", length + "Content-Length: 0\r\n", ""},
            {"POST", "Content-Length : " + std::to_string(hidden.size()) + "\r\n", ""},
            {"POST", "Transfer-Encoding : chunked\r\n", "0\r\n\r\n"},
            {"POST", "Content-Length: +0\r\n", ""},
            {"POST", "X: y\r\n Content-Length: 0\r\n" + length + "Content-Length:\r\n", ""},
        };
        const auto &[method, framing, begin] = forms[random_.below(forms.size())];
        request.method = method;
        request.wire = method + " /once/outer HTTP/1.1\r\nHost: " + kHost + "\r\n" +
                       platform::kRequestId + ": " + request.id + "\r\n" + framing + "\r\n" +
                       begin + hidden;
        return request;
    }

private:
    bool chance(uint64_t one_in) {
        return random_.below(one_in) == 0;
    }
    std::string pick(const std::vector<std::string> &texts) {
        return texts[random_.below(texts.size())];
    }
    size_t body_size() {
        switch (random_.below(8)) {
        case 0:
            return 0;
        case 1:
            return random_.below(400'000);
        case 2:
            return chance(8) ? 4'000'000 : 65'536;
        default:
            return random_.below(3000);
        }
    }
    std::string random_bytes(size_t size) {
        std::string bytes(size, '\0');
        for (char &byte : bytes) {
            byte = static_cast<char>(random_.next());
        }
        return bytes;
    }

    HttpHeaders carried_headers(const std::string &id) {
        HttpHeaders headers = {{chance(2) ? platform::kRequestId : "chalkshed-REQUEST-id", id}};
        if (chance(2)) {
            headers.push_back({"Chalkshed-Model", pick({"m", "m/2 b", "\xc3\xa9"})});
            headers.push_back({"Chalkshed-Token-Usage", "12, 40"});
            headers.push_back({"chalkshed-prompt-prefix", "5c1e07a2:800,91bd3f06:410"});
        }
        for (uint64_t count = random_.below(3); count > 0; --count) {
            headers.push_back({pick({"X-Own", "x-own"}), pick({"", "a", "b,  c", "\"q\""})});
        }
        return headers;
    }

    /** Without the empty line. */
    std::string write_head(const written_request &request) {
        std::string head = request.method + " " + request.target + " HTTP/1.1\r\n";
        const std::string host = std::string("Host: ") + kHost + "\r\n";
        head += chance(2) ? host : "";
        const bool first = head.ends_with(host);
        for (const HttpHeader &header : request.carried) {
            head += header.name + ":" + pick({"", " ", "   "}) + header.value + pick({"", " "}) +
                    "\r\n";
        }
        head += first ? "" : host;
        head += chance(3) ? "Chalkshed-Deadline-Ms: 200\r\n" : "";
        head += chance(4) ? "Connection: x-hop\r\nX-Hop: 1\r\n" : "";
        head += chance(6) ? "Expect: 100-continue\r\n" : "";
        return head;
    }

    /** The framing, the empty line and the body. */
    std::string write_body(const std::string &body) {
        if (chance(2)) {
            return "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
        }
        std::string text = "transfer-encoding: " + pick({"chunked", "Chunked"}) + "\r\n\r\n";
        for (size_t at = 0; at < body.size();) {
            const size_t size = std::min<size_t>(1 + random_.below(body.size()), body.size() - at);
            std::array<char, 24> line{};
            std::snprintf(line.data(), line.size(), chance(2) ? "%zx" : "0%zX", size);
            text.append(line.data()).append("\r\n");
            text.append(body, at, size).append("\r\n");
            at += size;
        }
        return text + "0\r\n" + pick({"", "X-Trailer: 1\r\n"}) + "\r\n";
    }

    RandomGenerator &random_;
    uint64_t next_id_ = 0;
};

void add_random_caller(online_path &path, request_writer &writer, RandomGenerator &random) {
    std::vector<written_request> requests;
    size_t bytes = 0;
    for (uint64_t count = 1 + random.below(4); count > 0; --count) {
        requests.push_back(writer.write());
        bytes += requests.back().wire.size();
    }
    if (random.below(4) == 0) {
        requests.push_back(writer.write_ambiguous());
    }
    const std::array<size_t, 4> paces = {1 + random.below(3), 1 + random.below(100),
                                         1 + random.below(5000), SIZE_MAX};
    // A large request byte by byte takes too many turns.
    const size_t pace = std::max(paces[random.below(paces.size())], bytes / 3000);
    path.add_caller(std::move(requests), pace,
                    random.below(5) == 0 ? random.below(bytes) + 1 : SIZE_MAX);
}

/** The headers that a node passes on. */
HttpHeaders passed_on(const HttpHeaders &headers) {
    return without_headers(
        headers, {"host", "content-length", "chalkshed-expect-instance", "chalkshed-deadline-ms"});
}

std::string text_of(const HttpHeaders &headers) {
    std::string text;
    for (const HttpHeader &header : headers) {
        text += header.name + ": " + header.value + "\n";
    }
    return text;
}

void check_received(const online_path &path) {
    std::map<std::string, const written_request *> sent;
    for (const auto &caller : path.callers()) {
        for (const written_request &request : caller->requests()) {
            sent[request.id] = &request;
        }
    }
    RC_ASSERT(path.malformed().empty());
    for (const received_request &request : path.received()) {
        RC_ASSERT(sent.contains(request.id()));
        const written_request &meant = *sent.at(request.id());
        RC_ASSERT(!meant.ambiguous);
        RC_ASSERT(request.method == meant.method);
        RC_ASSERT(request.target == meant.target);
        RC_ASSERT(text_of(passed_on(request.headers)) == text_of(meant.carried));
        RC_ASSERT((request.body == meant.body));
    }
}

void check_answers(const online_path &path) {
    for (const auto &caller : path.callers()) {
        for (size_t index = 0; index < caller->answers().size(); ++index) {
            const written_request &request = caller->requests()[index];
            const received_answer &answer = caller->answers()[index];
            RC_ASSERT(answer.id == request.id || request.ambiguous);
            RC_ASSERT(!promises_not_run(answer.status) || path.runs(request.id) == 0);
            const bool has_body = answer.status == 200 && request.method != "HEAD";
            RC_ASSERT(!has_body || answer.body == "ran " + request.id);
        }
        for (const written_request &request : caller->requests()) {
            RC_ASSERT(!request.once || path.runs(request.id) <= 1);
        }
    }
}

/** Users saw workers get requests that no caller had sent, or had sent otherwise. Nothing tested
 * what arrives at a worker byte for byte, with bodies of all framings and sizes, split and
 * pipelined, under workers that answer before they have read or break off. */
RC_GTEST_PROP(OnlinePath, WorkersGetWhatCallersSentAndRefusalsAreTrue, (uint32_t seed)) {
    SeededRandomGenerator random(seed);
    online_path path(random);
    request_writer writer(random);
    for (uint64_t count = 1 + random.below(6); count > 0; --count) {
        add_random_caller(path, writer, random);
    }
    path.run();
    check_received(path);
    check_answers(path);
}

} // namespace
} // namespace chalkshed
