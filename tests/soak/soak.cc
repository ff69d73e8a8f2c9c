#include "tests/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

#include "platform/header_names.h"
#include "platform/record_codec.h"
#include "src/core/base64.h"
#include "src/core/call_after.h"
#include "src/serving/event_stream.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *kHost = "a.example";
constexpr const char *kRepeatablePath = "/stream/x";
constexpr const char *kOncePath = "/once/x";
constexpr const char *kMovedPath = "/moved/x";
constexpr Duration kLeavingGrace = seconds(3);
constexpr Duration kConfigurationGrace = seconds(3);
constexpr Duration kEndGrace = seconds(4);
/** What happens to a node or the store excuses what happens this long afterwards. */
constexpr Duration kAftermath = seconds(6);
constexpr Duration kStopGrace = seconds(8);
constexpr Duration kSettle = seconds(40);
constexpr int kMostJobTries = 6;

std::string whole_text(const std::string &item) {
    std::string text = event_data(item, 1);
    for (uint64_t event = 2; event <= kEvents; ++event) {
        text += "\n" + event_data(item, event);
    }
    return text;
}

bool says_not_run(int status) {
    return status == 429 || status == 503 || status == 408 || status == 421;
}

} // namespace

/** One online request as its caller sees it. */
struct soak_run::online_call : public HttpCallCallbacks {
    std::string id;
    std::string path;
    node_process *node = nullptr;
    MonotonicTime sent{};
    int status = 0;
    std::string body;
    bool whole = false;
    bool ended = false;
    std::function<void()> on_ended;
    HttpCallPtr call;

    void on_headers(int answer, const HttpHeaders & /*headers*/) override {
        status = answer;
    }
    void on_body(std::string_view data) override {
        body.append(data);
    }
    void on_end() override {
        whole = true;
        finish();
    }
    void on_error(const Error & /*error*/) override {
        finish();
    }
    void finish() {
        if (!std::exchange(ended, true)) {
            on_ended();
        }
    }
};

const std::vector<soak_run::fault> &soak_run::faults() {
    static const std::vector<fault> kFaults = {
        {"kill_node", &soak_run::kill_node},           {"kill_node", &soak_run::kill_node},
        {"freeze_node", &soak_run::freeze_node},       {"stop_node", &soak_run::stop_node},
        {"stop_node", &soak_run::stop_node},           {"reload_node", &soak_run::reload_node},
        {"kill_all", &soak_run::kill_all_nodes},       {"refuse", &soak_run::refuse_at_store},
        {"lose_commits", &soak_run::lose_commits},     {"drop_history", &soak_run::drop_history},
        {"break_worker", &soak_run::break_worker},     {"overload", &soak_run::overload_worker},
        {"replace_worker", &soak_run::replace_worker}, {"crash_worker", &soak_run::crash_worker},
        {"move_route", &soak_run::move_route},         {"move_route", &soak_run::move_route},
    };
    return kFaults;
}

soak_run::soak_run(soak_options options)
    : options_(std::move(options)), random_(options_.seed), client_(dispatcher_),
      store_(std::make_unique<platform::StoreStandIn>(dispatcher_)) {
    write_configuration("engines");
    for (size_t number = 0; number < options_.workers; ++number) {
        add_worker(number % 3 == 2 ? "others" : "engines");
    }
    for (size_t number = 0; number < options_.nodes; ++number) {
        node_options node;
        node.program = options_.program;
        node.folder = options_.folder;
        node.name = "node-" + std::to_string(number);
        node.zone = number % 2 == 0 ? "zone-a" : "zone-b";
        node.ip = "127.0.9." + std::to_string(number + 1);
        node.store = store_->local();
        nodes_.push_back(std::make_unique<node_process>(std::move(node)));
        nodes_.back()->disturbed = now();
        nodes_.back()->start();
    }
}

soak_run::~soak_run() = default;

soak_result soak_run::run() {
    began_ = now();
    later(seconds(2), [this] { act(); });
    later(milliseconds(100), [this] { keep_nodes_running(); });
    call_after(dispatcher_, options_.length, [this] { heal(); });
    call_after(dispatcher_, options_.length + kSettle, [this] {
        ending_ = true;
        check_end();
        dispatcher_.stop();
    });
    dispatcher_.run();
    return result_;
}

void soak_run::later(Duration delay, std::function<void()> function) {
    call_after(dispatcher_, delay,
               lifetime_.guard([this, function = std::move(function)] {
                   if (!ending_) {
                       function();
                   }
               }));
}

void soak_run::violate(const std::string &what) {
    const auto at = std::chrono::duration_cast<milliseconds>(now() - began_).count();
    result_.violations.push_back(std::to_string(at) + " ms: " + what);
}

/* The operator. */

void soak_run::write_configuration(const std::string &service) {
    const auto route = [&](const char *name, const char *kind, const std::string &to) {
        return nlohmann::json{{"name", name},
                              {"host", kHost},
                              {"path_prefix", std::string("/") + name + "/"},
                              {"kind", kind},
                              {"timeout_ms", 8000},
                              {"target_ms", 500},
                              {"run_target_ms", 20000},
                              {"retention_s", 300},
                              {"attempts", 3},
                              {"resumable", std::string(name) != "once"},
                              {"service", to}};
    };
    nlohmann::json configuration = {
        {"version", ++version_},
        {"routes",
         {route("stream", "streaming", "engines"), route("once", "streaming", "engines"),
          route("moved", "streaming", service), route("batch", "batch", "engines")}},
        {"services", {{{"name", "engines"}}, {{"name", "others"}}}}};
    store_->put(platform::kOperatorTable, platform::kConfigurationKey, configuration.dump());
    moves_.push_back({version_, service, now()});
}

void soak_run::write_worker(const soak_worker &worker, const char *state) {
    const nlohmann::json record = {{"service", worker.service()},
                                   {"address", to_string(worker.address())},
                                   {"zone", "zone-a"},
                                   {"slots", 16},
                                   {"state", state}};
    store_->put(platform::kWorkerTable, worker.incarnation(), record.dump());
}

void soak_run::add_worker(const std::string &service) {
    const std::string incarnation = "i-" + std::to_string(++next_id_);
    workers_.push_back(std::make_unique<soak_worker>(
        dispatcher_, random_, incarnation, service,
        [this](run_record run) { return note_run(std::move(run)); }));
    write_worker(*workers_.back(), "ready");
}

/* Faults. */

void soak_run::store_disturbed() {
    store_disturbed_ = now();
}

node_process &soak_run::any_node() {
    return *nodes_[random_.below(nodes_.size())];
}

soak_worker *soak_run::any_worker() {
    soak_worker &worker = *workers_[random_.below(workers_.size())];
    return worker.leaving == MonotonicTime{} ? &worker : nullptr;
}

void soak_run::kill_node() {
    node_process &node = any_node();
    node.disturbed = now();
    node.signal(SIGKILL);
}

void soak_run::kill_all_nodes() {
    for (const auto &node : nodes_) {
        node->disturbed = now();
        node->signal(SIGKILL);
    }
}

void soak_run::freeze_node() {
    node_process &node = any_node();
    if (node.stopping != MonotonicTime{}) {
        return;
    }
    node.disturbed = now();
    node.frozen = true;
    node.signal(SIGSTOP);
    const Duration length = milliseconds(500 + random_.below(4500));
    later(length, [&node, this] {
        node.frozen = false;
        node.disturbed = now();
        node.signal(SIGCONT);
    });
}

void soak_run::stop_node() {
    node_process &node = any_node();
    const bool other_stops = std::any_of(nodes_.begin(), nodes_.end(), [](const auto &other) {
        return other->stopping != MonotonicTime{};
    });
    if (!other_stops && !node.frozen) {
        node.stopping = now();
        node.signal(SIGTERM);
    }
}

void soak_run::reload_node() {
    any_node().signal(SIGHUP);
}

void soak_run::refuse_at_store() {
    store_disturbed();
    store_->status = 503;
    later(milliseconds(500 + random_.below(4000)), [this] {
        store_disturbed();
        store_->status = 0;
    });
}

void soak_run::lose_commits() {
    store_disturbed();
    store_->lose_commits = true;
    later(milliseconds(500 + random_.below(2500)), [this] {
        store_disturbed();
        store_->lose_commits = false;
    });
}

void soak_run::drop_history() {
    store_->rows.drop_history();
}

void soak_run::break_worker() {
    if (soak_worker *worker = any_worker()) {
        worker->broken_percent = 50 + static_cast<uint32_t>(random_.below(51));
        later(seconds(3), [worker] { worker->broken_percent = 0; });
    }
}

void soak_run::overload_worker() {
    if (soak_worker *worker = any_worker()) {
        worker->refused_percent = 70;
        later(seconds(3), [worker] { worker->refused_percent = 0; });
    }
}

void soak_run::replace_worker() {
    soak_worker *worker = any_worker();
    if (worker == nullptr || store_->status != 0) {
        return;
    }
    add_worker(worker->service());
    write_worker(*worker, "draining");
    worker->leaving = now();
    later(seconds(6), [worker, this] {
        StoreTransaction removal;
        removal.writes.push_back({{platform::kWorkerTable, "", worker->incarnation()}, {}});
        store_->rows.commit(removal);
    });
}

void soak_run::crash_worker() {
    soak_worker *worker = any_worker();
    if (worker != nullptr && workers_.size() < 60) {
        add_worker(worker->service());
        worker->leaving = now();
        worker->broken_percent = 100;
        StoreTransaction removal;
        removal.writes.push_back({{platform::kWorkerTable, "", worker->incarnation()}, {}});
        store_->rows.commit(removal);
    }
}

void soak_run::move_route() {
    write_configuration(moves_.back().service == "engines" ? "others" : "engines");
}

void soak_run::act() {
    const std::vector<fault> &all = faults();
    const fault &next = all[random_.below(all.size())];
    (this->*next.begin)();
    ++result_.faults;
    if (now() - began_ < options_.length) {
        later(milliseconds(400 + random_.below(1600)), [this] { act(); });
    }
}

void soak_run::heal() {
    store_disturbed();
    store_->status = 0;
    store_->lose_commits = false;
    for (const auto &worker : workers_) {
        worker->broken_percent = worker->leaving == MonotonicTime{} ? 0 : worker->broken_percent;
        worker->refused_percent = 0;
    }
}

void soak_run::keep_nodes_running() {
    for (const auto &node : nodes_) {
        const bool stopping = node->stopping != MonotonicTime{};
        if (node->running()) {
            if (stopping && now() - node->stopping > kStopGrace && !node->frozen) {
                violate(node->name() + " still runs after the grace of its planned stop");
                node->signal(SIGKILL);
            }
            continue;
        }
        if (stopping && node->exit_code() != 0) {
            violate(node->name() + " ended its planned stop with " +
                    std::to_string(node->exit_code()));
        }
        node->stopping = {};
        node->frozen = false;
        node->disturbed = now();
        node->start();
    }
    if (now() - began_ > seconds(2)) {
        send_request();
        if (random_.below(10) == 0 && now() - began_ < options_.length) {
            submit_job();
        }
        if (random_.below(40) == 0) {
            end_job();
        }
    }
    later(milliseconds(20), [this] { keep_nodes_running(); });
}

/* Load. */

HttpRequest soak_run::message(const std::string &method, const std::string &path,
                              const std::string &id) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.headers = {{platform::kRequestId, id}, {platform::kDeadline, "8000"}};
    return request;
}

void soak_run::send_request() {
    static constexpr std::array<const char *, 3> kPaths = {kRepeatablePath, kOncePath, kMovedPath};
    node_process &node = any_node();
    if (node.stopping != MonotonicTime{} || now() - began_ > options_.length + seconds(15)) {
        return;
    }
    auto call = std::make_unique<online_call>();
    call->id = "r" + std::to_string(++next_id_);
    call->path = kPaths[random_.below(kPaths.size())];
    call->node = &node;
    call->sent = now();
    ++result_.requests;
    const uint64_t number = next_id_;
    online_call &sent = *call;
    sent.on_ended = [this, number] {
        check_online(*calls_.at(number));
        dispatcher_.post(lifetime_.guard([this, number] { calls_.erase(number); }));
    };
    calls_.emplace(number, std::move(call));
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    sent.call = client_.send(node.callers(), message("POST", sent.path, sent.id), how, sent);
}

void soak_run::submit_job() {
    job added;
    added.id = "j" + std::to_string(++next_id_);
    added.items = 1 + random_.below(20);
    const std::string id = added.id;
    jobs_.emplace(id, std::move(added));
    ++result_.jobs;
    send_job(id, 0);
}

void soak_run::send_job(const std::string &id, int tries) {
    const job &sent = jobs_.at(id);
    nlohmann::json items = nlohmann::json::array();
    for (size_t number = 0; number < sent.items; ++number) {
        items.push_back({{"id", id + "-" + std::to_string(number)},
                         {"path", "/batch/x"},
                         {"headers", nlohmann::json::object()},
                         {"body", encode_base64("body")},
                         {"tokens", 10}});
    }
    HttpRequest request = message("POST", "/batch/" + id, id);
    request.body = nlohmann::json{{"requests", items}}.dump();
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    client_.fetch(any_node().callers(), request, how,
                  lifetime_.guard([this, id, tries](const Expected<HttpResponse> &answer) {
                      job &of = jobs_.at(id);
                      of.accepted = of.accepted || (answer && answer->status == 202);
                      const bool refused = answer && says_not_run(answer->status);
                      of.refused = (tries == 0 || of.refused) && refused;
                      if (of.accepted) {
                          read_job(id);
                      } else if (tries < kMostJobTries) {
                          later(milliseconds(300), [this, id, tries] { send_job(id, tries + 1); });
                      }
                  }));
}

void soak_run::read_job(const std::string &id) {
    const auto from = static_cast<uint32_t>(random_.below(3) == 0 ? 0 : jobs_.at(id).listed.size());
    HttpRequest request = message("GET", "/lots/" + id, "read-" + std::to_string(++next_id_));
    request.query = "since_rev=" + std::to_string(from);
    HttpCallOptions how;
    how.fresh_connection = true;
    how.host = kHost;
    node_process &node = any_node();
    client_.fetch(node.callers(), request, how,
                  lifetime_.guard([this, id, from](const Expected<HttpResponse> &answer) {
                      job &of = jobs_.at(id);
                      if (answer && answer->status == 404) {
                          violate("job " + id + " was accepted, and is not there");
                      }
                      if (answer && answer->status == 200) {
                          check_page(of, from, answer->body);
                      }
                      const bool done = of.listed.size() == of.items || of.ended;
                      later(milliseconds(done ? 5000 : 400), [this, id] { read_job(id); });
                  }));
}

void soak_run::end_job() {
    for (auto &[id, of] : jobs_) {
        if (of.accepted && !of.ended && of.listed.size() < of.items) {
            HttpRequest request = message("DELETE", "/lots/" + id, "end-" + id);
            HttpCallOptions how;
            how.fresh_connection = true;
            how.host = kHost;
            client_.fetch(any_node().callers(), request, how,
                          lifetime_.guard([this, id](const Expected<HttpResponse> &answer) {
                              job &ended = jobs_.at(id);
                              if (answer && answer->status == 200 && !ended.ended) {
                                  ended.ended = now();
                              }
                          }));
            return;
        }
    }
}

/* Checks. */

bool soak_run::calm(const node_process &node) const {
    return now() - node.disturbed > kAftermath && now() - store_disturbed_ > kAftermath &&
           !node.frozen;
}

run_record *soak_run::note_run(run_record run) {
    runs_.push_back(std::make_unique<run_record>(run));
    const size_t times = ++runs_of_[run.request];
    if (run.path == kOncePath && times > 1) {
        violate("request " + run.request + " must run once and ran again");
    }
    if (refused_.contains(run.request)) {
        violate("request " + run.request + " ran after 'not run' was told");
    }
    const auto worker = std::find_if(workers_.begin(), workers_.end(), [&](const auto &entry) {
        return entry->incarnation() == run.worker;
    });
    const MonotonicTime left = worker == workers_.end() ? MonotonicTime{} : (*worker)->leaving;
    const bool all_calm = std::all_of(nodes_.begin(), nodes_.end(),
                                      [this](const auto &node) { return calm(*node); });
    if (left != MonotonicTime{} && now() - left > kLeavingGrace && all_calm) {
        violate("worker " + run.worker + " is leaving and got " + run.request);
    }
    const move &newest = moves_.back();
    const bool settled = now() - newest.written > kConfigurationGrace;
    if (run.path == kMovedPath && settled && all_calm && run.service != newest.service) {
        violate("request " + run.request + " ran by a configuration older than " +
                std::to_string(newest.version));
    }
    const auto of = jobs_.find(run.request.substr(0, run.request.find('-')));
    if (of != jobs_.end() && of->second.ended && now() - *of->second.ended > kEndGrace &&
        all_calm) {
        violate("item " + run.request + " ran after its job was ended");
    }
    return runs_.back().get();
}

void soak_run::check_online(online_call &call) {
    const bool broke_at_worker = std::any_of(runs_.begin(), runs_.end(), [&](const auto &run) {
        return run->request == call.id && run->broken;
    });
    if (call.whole && says_not_run(call.status)) {
        refused_.insert(call.id);
        if (runs_of_.contains(call.id)) {
            violate("request " + call.id + " was told 'not run', and ran");
        }
        return;
    }
    uint64_t expected = 0;
    EventSplitter splitter;
    std::string_view events = splitter.add(call.body);
    while (call.status == 200) {
        const std::optional<StreamEvent> event = take_event(events);
        if (!event) {
            break;
        }
        ++expected;
        if (event->id != expected || event->data != event_data(call.id, expected)) {
            violate("request " + call.id + " got another event at " + std::to_string(expected));
            return;
        }
    }
    if (call.whole && call.status == 200 && expected != kEvents) {
        violate("request " + call.id + " ended as whole after " + std::to_string(expected));
    }
    const bool whole = call.whole && call.status == 200;
    result_.answered += whole ? 1 : 0;
    // A planned stop cuts nothing off; nor does anything else while all is calm.
    const bool excused = broke_at_worker || !calm(*call.node);
    if (!whole && !excused && call.status != 502 && call.status != 504) {
        violate("request " + call.id + " at " + call.node->name() + " was cut off in a calm time" +
                ", status " + std::to_string(call.status));
    }
}

void soak_run::check_page(job &of, uint32_t from, const std::string &body) {
    const nlohmann::json page = nlohmann::json::parse(body, nullptr, false);
    if (!page.is_object() || page.value("total", size_t{0}) != of.items) {
        violate("the results of job " + of.id + " cannot be read");
        return;
    }
    size_t position = from;
    for (const nlohmann::json &result : page.at("results")) {
        const std::string item = result.at("id");
        const bool completed = result.at("state") == "completed";
        if (completed && result.at("message") != whole_text(item)) {
            violate("item " + item + " has not its whole text");
        }
        if (position < of.listed.size() && of.listed[position] != item) {
            violate("job " + of.id + " changed its position " + std::to_string(position));
        }
        if (position == of.listed.size()) {
            if (std::find(of.listed.begin(), of.listed.end(), item) != of.listed.end()) {
                violate("item " + item + " is listed twice");
            }
            of.listed.push_back(item);
            ++result_.items_listed;
        }
        ++position;
    }
}

void soak_run::check_end() {
    for (const auto &[id, of] : jobs_) {
        if (of.accepted && !of.ended && of.listed.size() != of.items) {
            violate("job " + id + " lists " + std::to_string(of.listed.size()) + " of " +
                    std::to_string(of.items) + " items at the end");
        }
        const bool ran = std::any_of(runs_.begin(), runs_.end(), [&](const auto &run) {
            return run->request.starts_with(id + "-");
        });
        if (of.refused && !of.accepted && ran) {
            violate("job " + id + " was refused at every try, and ran");
        }
    }
}

} // namespace chalkshed::soak
