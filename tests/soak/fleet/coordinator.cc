#include "tests/soak/fleet/coordinator.h"

#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cmath>
#include <csignal>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <nlohmann/json.hpp>

#include "platform/record_codec.h"
#include "tests/soak/fleet/cut_links.h"

namespace chalkshed::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr const char *kHost = "fleet.example";
constexpr const char *kSourceLibrary = "libchalkshed_soak_source.so";
constexpr Duration kStopGrace = seconds(8);
constexpr Duration kStartTimeout = seconds(90);
constexpr Duration kStartInterval = milliseconds(30);
constexpr Duration kReadinessInterval = milliseconds(200);
constexpr Duration kSettleTime = seconds(4);

int64_t to_milliseconds(Duration duration) {
    return std::chrono::duration_cast<milliseconds>(duration).count();
}

const char *kind_name(route_kind kind) {
    switch (kind) {
    case route_kind::kStreaming:
        return "streaming";
    case route_kind::kIdempotent:
        return "idempotent";
    case route_kind::kNonIdempotent:
        return "non_idempotent";
    case route_kind::kBatch:
        return "batch";
    }
    return "";
}

json encode_route(const route_options &route, const std::string &service) {
    json fields = {{"name", route.name},
                   {"host", kHost},
                   {"path_prefix", "/" + route.name + "/"},
                   {"kind", kind_name(route.kind)},
                   {"timeout_ms", to_milliseconds(route.timeout)},
                   {"target_ms", to_milliseconds(route.target)},
                   {"run_target_ms", to_milliseconds(route.run_target)},
                   {"retention_s", to_milliseconds(route.retention) / 1000},
                   {"attempts", route.attempts},
                   {"priority", route.priority},
                   {"resumable", route.resumable},
                   {"service", service}};
    if (route.max_queued_tokens) {
        fields["max_queued_tokens"] = *route.max_queued_tokens;
    }
    return fields;
}

std::string executable_folder() {
    return std::filesystem::read_symlink("/proc/self/exe").parent_path().string();
}

void write_links(const std::string &file, uint8_t links) {
    // In place: the node has mapped the file.
    std::fstream output(file, std::ios::in | std::ios::out | std::ios::binary);
    if (!output) {
        output.open(file, std::ios::out | std::ios::binary);
    }
    output.put(static_cast<char>(links));
}

uint64_t memory_mb(pid_t process) {
    std::ifstream file("/proc/" + std::to_string(process) + "/statm");
    uint64_t total = 0;
    uint64_t resident = 0;
    file >> total >> resident;
    return resident * static_cast<uint64_t>(sysconf(_SC_PAGESIZE)) >> 20U;
}

} // namespace

const std::map<std::string, coordinator::fault_function> &coordinator::fault_functions() {
    static const std::map<std::string, fault_function> kFunctions = {
        {"node_kill", &coordinator::kill_node},
        {"node_kill_all", &coordinator::kill_all_nodes},
        {"node_freeze", &coordinator::freeze_node},
        {"node_cut", &coordinator::cut_nodes},
        {"node_stop", &coordinator::stop_node},
        {"node_reload", &coordinator::reload_node},
        {"node_replace", &coordinator::replace_node},
        {"node_upgrade", &coordinator::upgrade_nodes},
        {"node_upgrade_all", &coordinator::upgrade_all_nodes},
        {"store_refuse", &coordinator::refuse_store_calls},
        {"store_slow", &coordinator::slow_store},
        {"store_cut", &coordinator::block_nodes_at_store},
        {"store_lose_answers", &coordinator::lose_store_answers},
        {"store_late", &coordinator::delay_store_commits},
        {"store_forget", &coordinator::drop_store_history},
        {"route_move", &coordinator::reroute},
    };
    return kFunctions;
}

coordinator::coordinator(fleet_options options)
    : options_(std::move(options)), process_(options_.role, {options_.role.layout.ip(249), 18000}) {
    for (const route_options &route : options_.role.plan.routes) {
        services_[route.name] = route.service;
    }
}

coordinator::~coordinator() {
    for (const child &each : children_) {
        kill(each.process, SIGKILL);
        waitpid(each.process, nullptr, 0);
    }
}

bool coordinator::run() {
    const deployment &plan = options_.role.plan;
    const fleet_layout &layout = options_.role.layout;
    start_child("store", 0, layout.store_control());
    for (uint64_t number = 0; number < plan.worker_processes; ++number) {
        start_child("workers", number, layout.worker_control(number));
    }
    for (uint64_t number = 0; number < plan.callers.processes; ++number) {
        start_child("callers", number, layout.caller_control(number));
    }
    process_.run_after(kStartTimeout, [this] {
        if (!load_started_) {
            process_.stop(); // nothing can be tested
        }
    });
    wait_for_children();
    process_.run();
    return fleet_ready_;
}

void coordinator::start_child(const std::string &role, uint64_t number, const Address &control) {
    const std::vector<std::string> words = {"chalkshed-soak",
                                            "--deployment=" + options_.role.file,
                                            "--program=" + options_.program,
                                            "--folder=" + options_.role.folder,
                                            "--seed=" + std::to_string(options_.role.seed),
                                            "--network=" +
                                                std::to_string(options_.role.layout.network),
                                            "--role=" + role,
                                            "--number=" + std::to_string(number)};
    std::vector<char *> arguments;
    arguments.reserve(words.size() + 1);
    for (const std::string &word : words) {
        arguments.push_back(const_cast<char *>(word.c_str()));
    }
    arguments.push_back(nullptr);
    const pid_t process = fork();
    if (process == 0) {
        // Must not outlive the coordinator.
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        execv("/proc/self/exe", arguments.data());
        constexpr int kNotStarted = 127;
        _exit(kNotStarted);
    }
    children_.push_back({process, role, control});
}

void coordinator::wait_for_children() {
    if (children_ready_ == children_.size()) {
        handle_child_ready();
        return;
    }
    send_command(process_.client, children_[children_ready_].control, "ping", json::object(),
                 [this](const Expected<HttpResponse> &answer) {
                     children_ready_ += answer ? 1 : 0;
                     process_.run_after(answer ? Duration(0) : milliseconds(50),
                                        [this] { wait_for_children(); });
                 });
}

void coordinator::handle_child_ready() {
    write_configuration();
    send_to_all("workers", "register", "{}");
    process_.run_after(milliseconds(500), [this] { start_nodes(); });
}

void coordinator::start_nodes() {
    const uint64_t nodes = options_.role.plan.nodes;
    for (uint64_t number = 0; number < nodes; ++number) {
        process_.run_after(kStartInterval * number, [this, number] { start_node(number); });
    }
    process_.run_after(kStartInterval * nodes, [this] {
        restart_ended_nodes();
        wait_for_nodes();
    });
}

void coordinator::start_node(uint64_t number) {
    const deployment &plan = options_.role.plan;
    node_options node;
    // Nodes that are added while others are being upgraded may have either build.
    const bool production = !options_.production.empty() && (!load_started_ || process_.chance(50));
    node.program = production ? options_.production : options_.program;
    node.folder = options_.role.folder;
    node.name = "node-" + std::to_string(number);
    node.zone = plan.zones[number % plan.zones.size()];
    node.ip = options_.role.layout.node_ip(number);
    node.store = options_.role.layout.store();
    node.settings =
        "bounds.cancel_ms=" + std::to_string(to_milliseconds(plan.bounds.ended_job)) + "\n";
    if (!plan.contracts.empty()) {
        std::string listed;
        for (const std::string &contract : plan.contracts) {
            listed += (listed.empty() ? "" : ",") + contract;
        }
        node.settings += "contracts=" + listed + "\n";
    }
    node.log_level = options_.log_level;
    node.preload = executable_folder() + "/" + kSourceLibrary;
    node.links = node.folder + "/" + node.name + ".links";
    write_links(node.links, kNoLinks);
    nodes_.push_back(std::make_unique<node_process>(std::move(node)));
    restart(*nodes_.back());
}

void coordinator::restart(node_process &node) {
    node.start();
    ++starts_[runs_production(node) ? "production" : "new"];
    node_start entry;
    entry.at = process_.now();
    entry.name = node.name();
    entry.ip = node.callers().ip;
    entry.pid = node.process();
    entry.production = runs_production(node);
    process_.add_record(entry);
}

void coordinator::wait_for_nodes() {
    HttpRequest request;
    request.method = "GET";
    request.path = "/readiness";
    const auto waiting = std::make_shared<size_t>(nodes_.size());
    const auto ready = std::make_shared<size_t>(0);
    for (const auto &node : nodes_) {
        process_.client.fetch(node->readiness(), request, {},
                              [this, waiting, ready](const Expected<HttpResponse> &answer) {
                                  *ready += answer && answer->status == 200 ? 1 : 0;
                                  if (--*waiting > 0) {
                                      return;
                                  }
                                  const bool all = *ready == nodes_.size();
                                  process_.run_after(
                                      all ? kSettleTime : kReadinessInterval,
                                      [this, all] { all ? begin_load() : wait_for_nodes(); });
                              });
    }
}

void coordinator::begin_load() {
    load_started_ = fleet_ready_ = true;
    first_memory_mb_ = largest_node_mb();
    process_.start_lag_measurement();
    send_to_all("", "measure", "{}");
    send_to_all("callers", "begin", "{}");
    for (const fault_options &fault : options_.role.plan.faults) {
        schedule_fault(fault);
    }
    process_.run_after(options_.role.plan.length, [this] { end_load(); });
}

void coordinator::end_load() {
    load_ended_ = process_.now();
    last_memory_mb_ = largest_node_mb();
    store_ = {};
    send_store_faults();
    send_command(process_.client, options_.role.layout.store_control(), "calls", json::object(),
                 [this](const Expected<HttpResponse> &answer) {
                     store_calls_ = answer ? answer->body : "{}";
                 });
    send_to_all("workers", "heal", "{}");
    send_to_all("callers", "end", "{}");
    process_.run_after(seconds(1), [this] { wait_for_jobs(); });
}

/** Polls the callers until no call or job is open or the settle time has passed. */
void coordinator::wait_for_jobs() {
    const bool late = process_.now() - load_ended_ > options_.role.plan.settle;
    if (late) {
        end_run();
        return;
    }
    const auto waiting = std::make_shared<uint64_t>(options_.role.plan.callers.processes);
    const auto open = std::make_shared<uint64_t>(0);
    for (const child &each : children_) {
        if (each.role != "callers") {
            continue;
        }
        send_command(process_.client, each.control, "open", json::object(),
                     [this, waiting, open](const Expected<HttpResponse> &answer) {
                         const json counts =
                             answer ? json::parse(answer->body, nullptr, false) : json();
                         *open += counts.is_object() ? counts.value("calls", uint64_t{0}) +
                                                           counts.value("jobs", uint64_t{0})
                                                     : 1;
                         if (--*waiting > 0) {
                             return;
                         }
                         // Keeps watching for runs that must not happen any more.
                         const bool done = *open == 0;
                         process_.run_after(done ? 2 * kSettleTime : milliseconds(500),
                                            [this, done] { done ? end_run() : wait_for_jobs(); });
                     });
    }
}

void coordinator::end_run() {
    run_ending_ = true;
    send_to_all("", "stop", "{}");
    process_.run_after(seconds(1), [this] {
        stop_children();
        process_.stop();
    });
}

void coordinator::stop_children() {
    for (const child &each : children_) {
        waitpid(each.process, nullptr, 0);
    }
    children_.clear();
    nodes_.clear();
}

/** \param role Empty: all roles. */
void coordinator::send_to_all(const std::string &role, const std::string &name,
                              const std::string &fields) {
    for (const child &each : children_) {
        if (role.empty() || each.role == role) {
            send_command(process_.client, each.control, name, json::parse(fields),
                         [](const Expected<HttpResponse> & /*answer*/) {});
        }
    }
}

void coordinator::write_configuration() {
    const deployment &plan = options_.role.plan;
    json routes = json::array();
    for (const route_options &route : plan.routes) {
        routes.push_back(encode_route(route, services_.at(route.name)));
    }
    json services = json::array();
    for (const service_options &service : plan.services) {
        services.push_back({{"name", service.name}, {"max_conns", 430}});
    }
    const uint64_t version = ++version_;
    const json configuration = {{"version", version}, {"routes", routes}, {"services", services}};
    const json row = {{"table", platform::kOperatorTable},
                      {"key", platform::kConfigurationKey},
                      {"value", configuration.dump()}};
    send_command(process_.client, options_.role.layout.store_control(), "put", row,
                 [this, version](const Expected<HttpResponse> &answer) {
                     if (answer) {
                         configuration_written entry;
                         entry.at = process_.now();
                         entry.version = version;
                         process_.add_record(entry);
                     }
                 });
}

uint64_t coordinator::largest_node_mb() const {
    uint64_t largest = 0;
    for (const auto &node : nodes_) {
        largest = std::max(largest, memory_mb(node->process()));
    }
    return largest;
}

/* Restart of nodes that have exited. */

void coordinator::restart_ended_nodes() {
    for (const auto &node : nodes_) {
        restart_if_ended(*node);
    }
    if (!run_ending_) {
        process_.run_after(milliseconds(50), [this] { restart_ended_nodes(); });
    }
}

void coordinator::restart_if_ended(node_process &node) {
    const bool stopping = node.stopping != MonotonicTime{};
    const auto down = down_until_.find(&node);
    if (node.running()) {
        if (stopping && !node.frozen && process_.now() - node.stopping > kStopGrace) {
            node_failures_.push_back(node.name() + " runs after the grace of its planned stop");
            node.stopping = {};
            down_until_[&node] = process_.now();
            node.signal(SIGKILL);
        }
        return;
    }
    if (replaced_.contains(&node)) {
        return;
    }
    if (down != down_until_.end()) {
        if (process_.now() < down->second) {
            return;
        }
        down_until_.erase(down);
    } else if (!stopping || node.exit_code() != 0) {
        node_failures_.push_back(node.name() + " ended by itself or badly, with code " +
                                 std::to_string(node.exit_code()));
    }
    node.stopping = {};
    node.frozen = false;
    restart(node);
}

/* Faults. */

void coordinator::schedule_fault(const fault_options &fault) {
    if (fault.per_minute <= 0) {
        return;
    }
    const double wait = -std::log(1 - process_.random.unit()) * 60 / fault.per_minute;
    process_.run_after(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(wait)),
                       [this, &fault] {
                           if (load_ended_ == MonotonicTime{}) {
                               begin_fault(fault);
                               schedule_fault(fault);
                           }
                       });
}

void coordinator::begin_fault(const fault_options &fault) {
    ++faults_[fault.kind];
    const Duration length = process_.random_duration(fault.shortest, fault.longest);
    const auto found = fault_functions().find(fault.kind);
    if (found == fault_functions().end()) {
        disturb_worker(fault.kind, length);
        return;
    }
    (this->*found->second)(length);
}

void coordinator::record_disturbance(const std::string &kind, disturbed_part part,
                                     const std::string &target, Duration length) {
    disturbance entry;
    entry.at = process_.now();
    entry.to = entry.at + length;
    entry.kind = kind;
    entry.part = part;
    entry.target = target;
    process_.add_record(entry);
}

/** \return A random node; null if that node is already disturbed. */
node_process *coordinator::pick_undisturbed_node() {
    node_process &node = *nodes_[process_.random.below(nodes_.size())];
    const bool disturbed = node.frozen || node.stopping != MonotonicTime{} ||
                           down_until_.contains(&node) || replaced_.contains(&node);
    return disturbed ? nullptr : &node;
}

void coordinator::kill_node_for(node_process &node, const std::string &kind, Duration length) {
    record_disturbance(kind, disturbed_part::kNode, node.name(), length);
    node.stopping = {};
    node.frozen = false;
    down_until_[&node] = process_.now() + length;
    node.signal(SIGKILL);
}

void coordinator::kill_node(Duration length) {
    if (node_process *node = pick_undisturbed_node()) {
        kill_node_for(*node, "node_kill", length);
    }
}

/** Kills 30 to 100 percent of the nodes at the same time. */
void coordinator::kill_all_nodes(Duration length) {
    const uint64_t percent = 30 + process_.random.below(71);
    for (const auto &node : nodes_) {
        if (process_.chance(percent) && !replaced_.contains(node.get())) {
            kill_node_for(*node, "node_kill_all", length);
        }
    }
}

void coordinator::freeze_node(Duration length) {
    node_process *node = pick_undisturbed_node();
    if (node == nullptr) {
        return;
    }
    record_disturbance("node_freeze", disturbed_part::kNode, node->name(), length);
    node->frozen = true;
    node->signal(SIGSTOP);
    process_.run_after(length, [node] {
        node->frozen = false;
        node->signal(SIGCONT);
    });
}

/** Cuts one to three nodes off from all others and the store, or some of these links alone; callers
 * and workers are reached all the while. */
void coordinator::cut_nodes(Duration length) {
    constexpr uint64_t kMostNodes = 3;
    constexpr uint64_t kAllPercent = 60;
    for (uint64_t count = 1 + process_.random.below(kMostNodes); count > 0; --count) {
        node_process *node = pick_undisturbed_node();
        if (node == nullptr) {
            continue;
        }
        const uint8_t links = process_.chance(kAllPercent)
                                  ? static_cast<uint8_t>(kAllLinks)
                                  : static_cast<uint8_t>(1 + process_.random.below(kAllLinks));
        cut_node(*node, links, length);
    }
}

void coordinator::cut_node(node_process &node, uint8_t links, Duration length) {
    record_disturbance("node_cut", disturbed_part::kNode, node.name(), length);
    write_links(node.links(), links);
    const std::string ip = node.callers().ip;
    const bool store = (links & kConnections) != 0;
    if (store) {
        store_.blocked_ips.insert(ip);
        send_store_faults();
    }
    process_.run_after(length, [this, &node, ip, store] {
        write_links(node.links(), kNoLinks);
        if (store) {
            unblock_at_store(ip);
        }
    });
}

void coordinator::unblock_at_store(const std::string &ip) {
    const auto found = store_.blocked_ips.find(ip);
    if (found != store_.blocked_ips.end()) {
        store_.blocked_ips.erase(found);
    }
    send_store_faults();
}

/** Planned stops, sometimes of several nodes, some with reloads before and a repeated SIGTERM. */
void coordinator::stop_node(Duration /*length*/) {
    node_process *node = pick_undisturbed_node();
    if (node == nullptr) {
        return;
    }
    if (process_.chance(30)) {
        for (int count = 0; count < 3; ++count) {
            process_.run_after(milliseconds(60 * count), [node] { node->signal(SIGHUP); });
        }
        process_.run_after(milliseconds(500), [node] { node->signal(SIGTERM); });
    }
    begin_planned_stop(*node, "node_stop");
    if (process_.chance(30)) {
        process_.run_after(process_.random_duration(milliseconds(0), milliseconds(1500)),
                           [this] { stop_node({}); });
    }
}

void coordinator::begin_planned_stop(node_process &node, const std::string &kind) {
    record_disturbance(kind, disturbed_part::kNode, node.name(), kStopGrace);
    node.stopping = process_.now();
    node.signal(SIGTERM);
}

void coordinator::set_build(node_process &node, bool production) {
    node.set_program(production ? options_.production : options_.program);
}

/** Upgrades up to four nodes at a time, in any order; some return to the older build. */
void coordinator::upgrade_nodes(Duration /*length*/) {
    constexpr uint64_t kMaxNodesAtOnce = 4;
    constexpr uint64_t kRollbackPercent = 30;
    for (uint64_t count = 1 + process_.random.below(kMaxNodesAtOnce); count > 0; --count) {
        node_process *node = pick_undisturbed_node();
        if (node == nullptr || (!runs_production(*node) && !process_.chance(kRollbackPercent))) {
            continue;
        }
        set_build(*node, !runs_production(*node));
        begin_planned_stop(*node, "node_upgrade");
    }
}

/** Kills all nodes at the same time, as in a power loss; all restart with the same build. */
void coordinator::upgrade_all_nodes(Duration length) {
    const bool production = process_.chance(50);
    for (const auto &node : nodes_) {
        if (!replaced_.contains(node.get())) {
            set_build(*node, production);
            kill_node_for(*node, "node_upgrade_all", length);
        }
    }
}

void coordinator::reload_node(Duration /*length*/) {
    if (node_process *node = pick_undisturbed_node()) {
        node->signal(SIGHUP);
    }
}

/** Removes a node permanently and starts another with a new name and address. */
void coordinator::replace_node(Duration length) {
    node_process *node = pick_undisturbed_node();
    if (node == nullptr || nodes_.size() >= kMaxNodes) {
        return;
    }
    kill_node_for(*node, "node_replace", length);
    replaced_.insert(node);
    const uint64_t number = nodes_.size();
    start_node(number);
    record_disturbance("node_replace", disturbed_part::kNode, nodes_.back()->name(), seconds(3));
    send_to_all("callers", "add_node", json{{"node", number}}.dump());
}

void coordinator::send_store_faults() {
    const std::set<std::string> blocked(store_.blocked_ips.begin(), store_.blocked_ips.end());
    const json faults = {{"status", store_.refusing > 0 ? 503 : 0},
                         {"delay_ms", store_.slow > 0 ? to_milliseconds(store_.delay) : 0},
                         {"lost_percent", store_.losing + store_.late > 0 ? 35 : 0},
                         {"late_ms", store_.late > 0 ? 2500 : 0},
                         {"turned_away", blocked}};
    send_command(process_.client, options_.role.layout.store_control(), "troubles", faults,
                 [](const Expected<HttpResponse> & /*answer*/) {});
}

void coordinator::begin_store_fault(const std::string &kind, uint64_t store_state::*counter,
                                    Duration length) {
    record_disturbance(kind, disturbed_part::kStore, "", length);
    ++(store_.*counter);
    send_store_faults();
    process_.run_after(length, [this, counter] {
        store_.*counter -= store_.*counter > 0 ? 1 : 0;
        send_store_faults();
    });
}

void coordinator::refuse_store_calls(Duration length) {
    begin_store_fault("store_refuse", &store_state::refusing, length);
}

void coordinator::slow_store(Duration length) {
    // From sixty times the usual delay to just under the nodes' timeout of a store call.
    store_.delay = process_.random_duration(milliseconds(240), milliseconds(1900));
    begin_store_fault("store_slow", &store_state::slow, length);
}

void coordinator::lose_store_answers(Duration length) {
    begin_store_fault("store_lose_answers", &store_state::losing, length);
}

void coordinator::delay_store_commits(Duration length) {
    begin_store_fault("store_late", &store_state::late, length);
}

/** The store closes the connections of a third of the nodes and serves the others. */
void coordinator::block_nodes_at_store(Duration length) {
    for (const auto &node : nodes_) {
        if (!process_.chance(33)) {
            continue;
        }
        record_disturbance("store_cut", disturbed_part::kStore, node->name(), length);
        const std::string ip = node->callers().ip;
        store_.blocked_ips.insert(ip);
        process_.run_after(length, [this, ip] { unblock_at_store(ip); });
    }
    send_store_faults();
}

void coordinator::drop_store_history(Duration /*length*/) {
    send_command(process_.client, options_.role.layout.store_control(), "drop_history",
                 json::object(), [](const Expected<HttpResponse> & /*answer*/) {});
}

/** Moves a route to another service; nodes must apply it within the configuration bound. */
void coordinator::reroute(Duration /*length*/) {
    const deployment &plan = options_.role.plan;
    const route_options &route = plan.routes[process_.random.below(plan.routes.size())];
    if (route.kind != route_kind::kBatch) {
        services_[route.name] = plan.services[process_.random.below(plan.services.size())].name;
    }
    write_configuration();
}

void coordinator::disturb_worker(const std::string &kind, Duration length) {
    const uint64_t number = process_.random.below(options_.role.plan.worker_processes);
    send_command(process_.client, options_.role.layout.worker_control(number), "disturb",
                 {{"kind", kind}, {"length_ms", to_milliseconds(length)}},
                 [](const Expected<HttpResponse> & /*answer*/) {});
}

} // namespace chalkshed::soak
