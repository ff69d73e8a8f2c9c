#include "tests/soak/soak.h"

#include <algorithm>
#include <csignal>
#include <nlohmann/json.hpp>

#include "platform/record_codec.h"
#include "src/core/call_after.h"
#include "tests/soak/online_call.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr Duration kStopGrace = seconds(8);
constexpr Duration kSettle = seconds(40);
constexpr Duration kTickInterval = milliseconds(20);
/** The tokens of two of the largest jobs, so that nodes refuse some jobs. */
constexpr int kQueueLimit = 400;

} // namespace

const std::vector<soak_run::fault> &soak_run::faults() {
    static const std::vector<fault> kFaults = {
        {"kill_node", &soak_run::kill_node},
        {"kill_node", &soak_run::kill_node},
        {"freeze_node", &soak_run::freeze_node},
        {"stop_node", &soak_run::stop_node},
        {"stop_node", &soak_run::stop_node},
        {"reload_node", &soak_run::reload_node},
        {"kill_all", &soak_run::kill_all_nodes},
        {"refuse", &soak_run::refuse_at_store},
        {"lose_commits", &soak_run::lose_commits},
        {"drop_history", &soak_run::drop_history},
        {"break_worker", &soak_run::break_worker},
        {"overload", &soak_run::overload_worker},
        {"replace_worker", &soak_run::replace_worker},
        {"crash_worker", &soak_run::crash_worker},
        {"mute_worker", &soak_run::mute_worker},
        {"mute_worker", &soak_run::mute_worker},
        {"signal_in_series", &soak_run::signal_in_series},
        {"stop_two_nodes", &soak_run::stop_two_nodes},
        {"change_in_series", &soak_run::change_in_series},
        {"move_route", &soak_run::move_route},
        {"move_route", &soak_run::move_route},
        {"take_key", &soak_run::take_key},
        {"take_key", &soak_run::take_key},
    };
    return kFaults;
}

soak_run::soak_run(soak_options options)
    : options_(std::move(options)), random_(options_.seed), client_(dispatcher_),
      store_(std::make_unique<platform::StoreStandIn>(dispatcher_)) {
    keys_ = {{"key-0", kHotTenant, {}, {}}, {"key-1", "usual", {}, {}}, {"key-2", "usual", {}, {}}};
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
        node.ip = "127.0." + std::to_string(options_.network) + "." + std::to_string(number + 1);
        node.store = store_->local();
        nodes_.push_back(std::make_unique<node_process>(std::move(node)));
        start_node(*nodes_.back());
    }
}

soak_run::~soak_run() = default;

soak_result soak_run::run() {
    began_ = now();
    next_tick_ = began_ + milliseconds(100);
    later(seconds(2), [this] { inject_fault(); });
    later(milliseconds(100), [this] { keep_nodes_running(); });
    call_after(dispatcher_, options_.length, [this] { heal(); });
    call_after(dispatcher_, options_.length + kSettle, [this] {
        ending_ = true;
        check_end();
        check_all_records();
        dispatcher_.stop();
    });
    dispatcher_.run();
    return result_;
}

void soak_run::later(Duration delay, std::function<void()> function) {
    call_after(dispatcher_, delay, lifetime_.guard([this, function = std::move(function)] {
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
    std::map<std::string, nlohmann::json> keys = {{kHotTenant, nlohmann::json::array()},
                                                  {"usual", nlohmann::json::array()}};
    for (const soak_key &each : keys_) {
        if (!each.revoked) {
            keys[each.tenant].push_back(each.key);
        }
    }
    nlohmann::json batch = route("batch", "batch", "engines");
    batch["max_queued_tokens"] = kQueueLimit;
    nlohmann::json configuration = {
        {"version", ++version_},
        {"tenants",
         {{{"name", kHotTenant},
           {"api_keys", keys[kHotTenant]},
           {"rate_per_s", kHotRate},
           {"burst", kHotBurst}},
          {{"name", "usual"}, {"api_keys", keys["usual"]}}}},
        {"routes",
         {route("stream", "streaming", "engines"), route("once", "streaming", "engines"),
          route("moved", "streaming", service), batch}},
        {"services", {{{"name", "engines"}}, {{"name", "others"}}}}};
    store_->put(platform::kOperatorTable, platform::kConfigurationKey, configuration.dump());
    moves_.push_back({version_, service, now()});
}

void soak_run::write_worker(const soak_worker &worker, const char *state) {
    const nlohmann::json fields = {{"service", worker.service()},
                                   {"address", to_string(worker.address())},
                                   {"zone", "zone-a"},
                                   {"slots", 16},
                                   {"version", "1"},
                                   {"state", state}};
    store_->put(platform::kWorkerTable, worker.incarnation(), fields.dump());
}

void soak_run::add_worker(const std::string &service) {
    const std::string incarnation = "i-" + std::to_string(++next_id_);
    workers_.push_back(
        std::make_unique<soak_worker>(dispatcher_, random_, incarnation, service,
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
    record_disturbance("kill", disturbed_part::kNode, node.name());
    node.signal(SIGKILL);
}

void soak_run::kill_all_nodes() {
    for (const auto &node : nodes_) {
        node->disturbed = now();
        record_disturbance("kill", disturbed_part::kNode, node->name());
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
    record_disturbance("freeze", disturbed_part::kNode, node.name(), length);
    later(length, [&node, this] {
        node.frozen = false;
        node.disturbed = now();
        record_disturbance("wake", disturbed_part::kNode, node.name());
        node.signal(SIGCONT);
    });
}

void soak_run::stop_node() {
    node_process &node = any_node();
    const bool other_stops = std::any_of(nodes_.begin(), nodes_.end(), [](const auto &other) {
        return other->stopping != MonotonicTime{};
    });
    if (!other_stops) {
        begin_stop(node);
    }
}

void soak_run::begin_stop(node_process &node) {
    if (!node.frozen && node.stopping == MonotonicTime{}) {
        node.stopping = now();
        record_disturbance("stop", disturbed_part::kNode, node.name());
        node.signal(SIGTERM);
    }
}

void soak_run::stop_two_nodes() {
    begin_stop(any_node());
    later(milliseconds(random_.below(1500)), [this] { begin_stop(any_node()); });
}

void soak_run::signal_in_series() {
    node_process &node = any_node();
    constexpr int kReloads = 5;
    for (int count = 0; count < kReloads; ++count) {
        later(milliseconds(60 * count), [&node] { node.signal(SIGHUP); });
    }
    later(milliseconds(random_.below(60 * kReloads)), [this, &node] { begin_stop(node); });
    // A second SIGTERM while it stops.
    later(milliseconds(400), [this, &node] {
        record_disturbance("stop", disturbed_part::kNode, node.name());
        node.signal(SIGTERM);
    });
}

void soak_run::change_in_series() {
    constexpr int kChanges = 6;
    for (int count = 0; count < kChanges; ++count) {
        later(milliseconds(90 * count),
              [this, count] { count % 3 == 2 ? take_key() : move_route(); });
    }
}

void soak_run::reload_node() {
    any_node().signal(SIGHUP);
}

void soak_run::refuse_at_store() {
    store_disturbed();
    store_->status = 503;
    const Duration length = milliseconds(500 + random_.below(4000));
    record_disturbance("refuse", disturbed_part::kStore, "", length);
    later(length, [this] {
        store_disturbed();
        record_disturbance("serve", disturbed_part::kStore, "");
        store_->status = 0;
    });
}

void soak_run::lose_commits() {
    store_disturbed();
    store_->lose_commits = true;
    const Duration length = milliseconds(500 + random_.below(2500));
    record_disturbance("lose_commits", disturbed_part::kStore, "", length);
    later(length, [this] {
        store_disturbed();
        record_disturbance("serve", disturbed_part::kStore, "");
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

void soak_run::mute_worker() {
    if (soak_worker *worker = any_worker()) {
        worker->mute_percent = 60;
        later(seconds(3), [worker] { worker->mute_percent = 0; });
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
    records_.emplace_back(worker_leaving{now(), worker->incarnation()});
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
        records_.emplace_back(worker_leaving{now(), worker->incarnation()});
        worker->broken_percent = 100;
        StoreTransaction removal;
        removal.writes.push_back({{platform::kWorkerTable, "", worker->incarnation()}, {}});
        store_->rows.commit(removal);
    }
}

void soak_run::move_route() {
    write_configuration(moves_.back().service == "engines" ? "others" : "engines");
}

/** Revokes a key and assigns another in its place. */
void soak_run::take_key() {
    for (soak_key &each : keys_) {
        if (!each.revoked && each.tenant == "usual") {
            each.revoked = now();
            break;
        }
    }
    keys_.push_back({"key-" + std::to_string(keys_.size()), "usual", now(), {}});
    write_configuration(moves_.back().service);
}

void soak_run::inject_fault() {
    const std::vector<fault> &all = faults();
    const fault &next = all[random_.below(all.size())];
    (this->*next.begin)();
    ++result_.faults;
    if (now() - began_ < options_.length) {
        later(milliseconds(400 + random_.below(1600)), [this] { inject_fault(); });
    }
}

void soak_run::heal() {
    store_disturbed();
    store_->status = 0;
    store_->lose_commits = false;
    for (const auto &worker : workers_) {
        worker->broken_percent = worker->leaving == MonotonicTime{} ? 0 : worker->broken_percent;
        worker->refused_percent = 0;
        worker->mute_percent = 0;
    }
}

void soak_run::start_node(node_process &node) {
    node.disturbed = now();
    records_.emplace_back(node_start{now(), node.name(), node.callers().ip, 0});
    node.start();
}

void soak_run::record_disturbance(const std::string &kind, disturbed_part part,
                                  const std::string &target, Duration length) {
    records_.emplace_back(disturbance{now(), now() + length, kind, part, target});
}

/** Records how late the current tick started. */
void soak_run::record_lag() {
    lateness_.push_back(now() - next_tick_);
    next_tick_ = now() + kTickInterval;
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
        start_node(*node);
    }
    if (now() - began_ > seconds(2)) {
        send_request();
        if (random_.below(10) == 0 && now() - began_ < options_.length) {
            submit_job();
        }
        if (random_.below(40) == 0) {
            end_some_job();
        }
    }
    record_lag();
    later(kTickInterval, [this] { keep_nodes_running(); });
}

} // namespace chalkshed::soak
