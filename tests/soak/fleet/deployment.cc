#include "tests/soak/fleet/deployment.h"

#include <toml++/toml.h>

#include <algorithm>
#include <fstream>
#include <set>
#include <sstream>

#include "tests/soak/fleet/checks.h"

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

/** Limit for the machines that run the soak. */
constexpr uint64_t kMaxProcesses = 200;
/** Nodes listen on addresses of one loopback network; the last octet is the node's number. */
constexpr uint64_t kMaxNodes = 250;
constexpr uint64_t kMaxItems = 200;
constexpr uint64_t kMaxBodyBytes = 1U << 20U;
constexpr uint64_t kMaxWorkers = 1000;
constexpr double kMaxPerSecond = 20'000;

std::string joined(const std::vector<std::string> &names) {
    std::string result;
    for (const std::string &name : names) {
        result += (result.empty() ? "" : ", ") + name;
    }
    return result;
}

uint64_t line_of(const toml::node &node) {
    return node.source().begin.line;
}

/** Reads the fields of one table. Each read registers a field that the table may have;
 * finish() reports all others as unknown. */
class table_reader {
public:
    table_reader(std::vector<deployment_problem> &problems, const std::string &file,
                 const toml::table &table, std::string path)
        : problems_(problems), file_(file), table_(table), path_(std::move(path)) {}

    void text(const std::string &name, std::string &target);
    void texts(const std::string &name, std::vector<std::string> &target);
    void flag(const std::string &name, bool &target);
    void whole(const std::string &name, uint64_t &target, uint64_t lowest, uint64_t highest);
    void number(const std::string &name, double &target, double lowest, double highest);
    void percent(const std::string &name, uint64_t &target) {
        whole(name, target, 0, 100);
    }
    /** Reads a time in `unit`, which is also the suffix of the field's name. */
    void time(const std::string &name, Duration &target, Duration unit, uint64_t lowest,
              uint64_t highest);
    /** Reads a number, or an array of the lowest and the highest. */
    void interval(const std::string &name, range &target, uint64_t lowest, uint64_t highest);
    template <class Choice>
    void choice(const std::string &name, Choice &target,
                const std::map<std::string, Choice> &choices);
    /** \return The table of that name, if there is one. */
    const toml::table *table(const std::string &name);
    std::vector<const toml::table *> tables(const std::string &name);

    void require(const std::string &name, const std::string &remedy);
    bool has(const std::string &name) const {
        return table_.contains(name);
    }
    /** Adds a problem at the line of the field, or of its table if the field is missing. */
    void problem(const std::string &name, const std::string &message, const std::string &remedy);
    void finish();

private:
    /** \return The node of that name or null; registers the name as known. */
    const toml::node *find(const std::string &name);
    void wrong_type(const std::string &name, const std::string &wanted);
    bool whole_in(const std::string &name, const toml::node &node, uint64_t &target,
                  uint64_t lowest, uint64_t highest);

    std::vector<deployment_problem> &problems_;
    const std::string &file_;
    const toml::table &table_;
    std::string path_; // ends with a dot, or empty
    std::set<std::string> known_;
};

const toml::node *table_reader::find(const std::string &name) {
    known_.insert(name);
    return table_.get(name);
}

void table_reader::problem(const std::string &name, const std::string &message,
                           const std::string &remedy) {
    const toml::node *node = table_.get(name);
    const uint64_t line = line_of(node == nullptr ? table_ : *node);
    problems_.push_back({file_, line, path_ + name, message, remedy});
}

void table_reader::wrong_type(const std::string &name, const std::string &wanted) {
    problem(name, "is not " + wanted, "write " + wanted);
}

void table_reader::require(const std::string &name, const std::string &remedy) {
    if (!has(name)) {
        problem(name, "is missing", remedy);
    }
}

void table_reader::finish() {
    const std::vector<std::string> names(known_.begin(), known_.end());
    for (const auto &[key, node] : table_) {
        const std::string name(key.str());
        if (!known_.contains(name)) {
            problem(name, "is unknown", "use one of " + joined(names));
        }
    }
}

void table_reader::text(const std::string &name, std::string &target) {
    const toml::node *node = find(name);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    if (!value) {
        wrong_type(name, "a string in quotes");
        return;
    }
    // Names become parts of paths, host names and file names.
    const bool valid = !value->empty() && std::all_of(value->begin(), value->end(), [](char each) {
        return std::isalnum(static_cast<unsigned char>(each)) != 0 || each == '-' || each == '_';
    });
    if (!valid) {
        problem(name, "\"" + *value + "\" is not a name", "use letters, digits, '-' and '_'");
        return;
    }
    target = *value;
}

void table_reader::texts(const std::string &name, std::vector<std::string> &target) {
    const toml::node *node = find(name);
    if (node == nullptr) {
        return;
    }
    const toml::array *values = node->as_array();
    if (values == nullptr || values->empty() || !values->is_homogeneous<std::string>()) {
        wrong_type(name, "an array of strings, such as [\"zone-a\", \"zone-b\"]");
        return;
    }
    target.clear();
    for (const toml::node &value : *values) {
        const std::string entry = *value.value<std::string>();
        if (entry.empty() || std::find(target.begin(), target.end(), entry) != target.end()) {
            problem(name, "\"" + entry + "\" is empty or a duplicate",
                    "give each entry a unique name");
        }
        target.push_back(entry);
    }
}

void table_reader::flag(const std::string &name, bool &target) {
    const toml::node *node = find(name);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<bool>();
    if (!value) {
        wrong_type(name, "true or false");
        return;
    }
    target = *value;
}

bool table_reader::whole_in(const std::string &name, const toml::node &node, uint64_t &target,
                            uint64_t lowest, uint64_t highest) {
    const std::string wanted =
        "a whole number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    const auto value = node.value_exact<int64_t>();
    if (!value) {
        wrong_type(name, wanted);
        return false;
    }
    if (*value < 0 || static_cast<uint64_t>(*value) < lowest ||
        static_cast<uint64_t>(*value) > highest) {
        problem(name, std::to_string(*value) + " is out of range", "write " + wanted);
        return false;
    }
    target = static_cast<uint64_t>(*value);
    return true;
}

void table_reader::whole(const std::string &name, uint64_t &target, uint64_t lowest,
                         uint64_t highest) {
    if (const toml::node *node = find(name)) {
        whole_in(name, *node, target, lowest, highest);
    }
}

void table_reader::number(const std::string &name, double &target, double lowest, double highest) {
    const toml::node *node = find(name);
    if (node == nullptr) {
        return;
    }
    const std::string wanted =
        "a number from " + std::to_string(lowest) + " to " + std::to_string(highest);
    if (!node->is_number()) {
        wrong_type(name, wanted);
        return;
    }
    const double value = *node->value<double>();
    // Written so that NaN is out of range too.
    if (!(value >= lowest && value <= highest)) {
        problem(name, std::to_string(value) + " is out of range", "write " + wanted);
        return;
    }
    target = value;
}

void table_reader::time(const std::string &name, Duration &target, Duration unit, uint64_t lowest,
                        uint64_t highest) {
    uint64_t count = 0;
    const toml::node *node = find(name);
    if (node != nullptr && whole_in(name, *node, count, lowest, highest)) {
        target = unit * static_cast<int64_t>(count);
    }
}

void table_reader::interval(const std::string &name, range &target, uint64_t lowest,
                            uint64_t highest) {
    const toml::node *node = find(name);
    if (node == nullptr) {
        return;
    }
    const toml::array *ends = node->as_array();
    if (ends == nullptr) {
        uint64_t value = 0;
        if (whole_in(name, *node, value, lowest, highest)) {
            target = {value, value};
        }
        return;
    }
    if (ends->size() != 2) {
        wrong_type(name, "a number, or an array of the lowest and the highest");
        return;
    }
    range read;
    const bool valid = whole_in(name, *ends->get(0), read.fewest, lowest, highest) &&
                       whole_in(name, *ends->get(1), read.most, lowest, highest);
    if (valid && read.fewest > read.most) {
        problem(name, "the lowest is above the highest", "write the lowest first");
    } else if (valid) {
        target = read;
    }
}

template <class Choice>
void table_reader::choice(const std::string &name, Choice &target,
                          const std::map<std::string, Choice> &choices) {
    const toml::node *node = find(name);
    if (node == nullptr) {
        return;
    }
    const auto value = node->value_exact<std::string>();
    const auto found = value ? choices.find(*value) : choices.end();
    if (found != choices.end()) {
        target = found->second;
        return;
    }
    std::vector<std::string> names;
    names.reserve(choices.size());
    for (const auto &entry : choices) {
        names.push_back(entry.first);
    }
    problem(name, value ? "\"" + *value + "\" is unknown" : "is not a string",
            "use one of " + joined(names));
}

const toml::table *table_reader::table(const std::string &name) {
    const toml::node *node = find(name);
    if (node != nullptr && !node->is_table()) {
        wrong_type(name, "a table, headed [" + name + "]");
        return nullptr;
    }
    return node == nullptr ? nullptr : node->as_table();
}

std::vector<const toml::table *> table_reader::tables(const std::string &name) {
    std::vector<const toml::table *> result;
    const toml::node *node = find(name);
    if (node == nullptr) {
        return result;
    }
    const toml::array *entries = node->as_array();
    if (entries == nullptr || !entries->is_homogeneous<toml::table>()) {
        wrong_type(name, "tables, each headed [[" + name + "]]");
        return result;
    }
    for (const toml::node &entry : *entries) {
        result.push_back(entry.as_table());
    }
    return result;
}

/** Reads the sections of one file and checks that they are consistent. */
class deployment_reader {
public:
    deployment_reader(const toml::table &root, const std::string &file)
        : root_(root), file_(file), top_(problems_, file_, root_, "") {}

    deployment_result read();

private:
    /** A reader of that section, or of an empty table if the file has none. */
    table_reader section(const std::string &name);
    table_reader entry(const toml::table &table, const std::string &name, size_t number);

    void read_topology();
    void read_services();
    void read_service(table_reader fields);
    void read_routes();
    void read_route(table_reader fields);
    void check_route(table_reader &fields, const route_options &route);
    void read_callers();
    void read_faults();
    void read_bounds();
    void read_floors();
    void check_processes();

    const toml::table &root_;
    const std::string &file_;
    const toml::table empty_;
    std::vector<deployment_problem> problems_;
    table_reader top_;
    deployment result_;
};

deployment_result deployment_reader::read() {
    read_topology();
    read_services();
    read_routes();
    read_callers();
    read_faults();
    read_bounds();
    read_floors();
    top_.finish();
    if (problems_.empty()) { // the totals are only meaningful for valid fields
        check_processes();
    }
    if (!problems_.empty()) {
        return tl::unexpected(std::move(problems_));
    }
    return std::move(result_);
}

table_reader deployment_reader::section(const std::string &name) {
    const toml::table *table = top_.table(name);
    return {problems_, file_, table == nullptr ? empty_ : *table, name + "."};
}

table_reader deployment_reader::entry(const toml::table &table, const std::string &name,
                                      size_t number) {
    return {problems_, file_, table, name + "[" + std::to_string(number) + "]."};
}

void deployment_reader::read_topology() {
    constexpr uint64_t kMaxSeconds = 86'400;
    constexpr uint64_t kMaxAnswerMs = 1000;
    top_.texts("zones", result_.zones);
    top_.require("zones", "write zones = [\"zone-a\"] or more of them");
    top_.whole("nodes", result_.nodes, 1, kMaxNodes);
    top_.require("nodes", "write how many node processes run");
    top_.texts("contracts", result_.contracts);
    top_.whole("worker_processes", result_.worker_processes, 1, kMaxProcesses);
    table_reader run = section("run");
    run.time("length_s", result_.length, seconds(1), 1, kMaxSeconds);
    run.time("settle_s", result_.settle, seconds(1), 0, kMaxSeconds);
    run.finish();
    table_reader store = section("store");
    store.time("answer_ms", result_.store_answer, milliseconds(1), 0, kMaxAnswerMs);
    store.time("history_s", result_.store_history, seconds(1), 1, kMaxSeconds);
    store.finish();
}

void deployment_reader::read_services() {
    top_.require("services", "add a section [[services]]");
    size_t number = 0;
    for (const toml::table *table : top_.tables("services")) {
        read_service(entry(*table, "services", number++));
    }
}

void deployment_reader::read_service(table_reader fields) {
    constexpr uint64_t kMaxSlots = 1000;
    constexpr uint64_t kMaxEvents = 10'000;
    constexpr uint64_t kMaxMs = 60'000;
    service_options service;
    fields.text("name", service.name);
    fields.require("name", "write the name that routes refer to");
    fields.whole("workers", service.workers, 1, kMaxWorkers);
    fields.require("workers", "write how many workers it has");
    fields.whole("slots", service.slots, 1, kMaxSlots);
    fields.whole("events", service.events, 1, kMaxEvents);
    fields.time("first_event_ms", service.first_event, milliseconds(1), 0, kMaxMs);
    fields.time("between_events_ms", service.between_events, milliseconds(1), 0, kMaxMs);
    fields.percent("early_answer_percent", service.early_answer_percent);
    constexpr uint64_t kLeastPercent = 10;
    constexpr uint64_t kMostPercent = 1'000;
    fields.interval("speed_percent", service.speed_percent, kLeastPercent, kMostPercent);
    if (fields.has("slowdown_percent")) {
        service.slowdown_percent.emplace();
        fields.whole("slowdown_percent", *service.slowdown_percent, 100, kMostPercent);
    }
    constexpr uint64_t kMaxVersions = 10;
    fields.whole("versions", service.versions, 0, kMaxVersions);
    fields.finish();
    const bool twice = std::any_of(result_.services.begin(), result_.services.end(),
                                   [&](const auto &other) { return other.name == service.name; });
    if (twice) {
        fields.problem("name", "\"" + service.name + "\" is a duplicate",
                       "give each service a unique name");
    }
    result_.services.push_back(std::move(service));
}

void deployment_reader::read_routes() {
    top_.require("routes", "add a section [[routes]]");
    size_t number = 0;
    for (const toml::table *table : top_.tables("routes")) {
        read_route(entry(*table, "routes", number++));
    }
}

void deployment_reader::read_route(table_reader fields) {
    static const std::map<std::string, route_kind> kKinds = {
        {"streaming", route_kind::kStreaming},
        {"idempotent", route_kind::kIdempotent},
        {"non_idempotent", route_kind::kNonIdempotent},
        {"batch", route_kind::kBatch}};
    constexpr uint64_t kMaxMs = 600'000;
    constexpr uint64_t kMaxSeconds = 86'400;
    constexpr uint64_t kMaxAttempts = 10;
    constexpr uint64_t kMaxTokens = 1'000'000'000;
    route_options route;
    fields.text("name", route.name);
    fields.require("name", "write the name that its path begins with");
    fields.choice("kind", route.kind, kKinds);
    fields.require("kind", "write kind = \"streaming\" or another kind");
    fields.text("service", route.service);
    fields.require("service", "write the name of one of the services");
    fields.whole("attempts", route.attempts, 1, kMaxAttempts);
    fields.time("timeout_ms", route.timeout, milliseconds(1), 1, kMaxMs);
    fields.time("target_ms", route.target, milliseconds(1), 1, kMaxMs);
    fields.whole("priority", route.priority, 0, kMaxAttempts);
    fields.flag("resumable", route.resumable);
    fields.time("run_target_ms", route.run_target, milliseconds(1), 1, kMaxMs);
    fields.time("retention_s", route.retention, seconds(1), 1, kMaxSeconds);
    fields.number("per_second", route.per_second, 0, kMaxPerSecond);
    fields.require("per_second", "write its requests, or on a batch route its jobs, a second");
    fields.interval("body_bytes", route.body, 0, kMaxBodyBytes);
    fields.interval("items", route.items, 1, kMaxItems);
    fields.whole("tokens_per_item", route.tokens_per_item, 1, kMaxTokens);
    if (fields.has("max_queued_tokens")) {
        uint64_t limit = 0;
        fields.whole("max_queued_tokens", limit, 1, kMaxTokens);
        route.max_queued_tokens = limit;
    }
    fields.finish();
    check_route(fields, route);
    result_.routes.push_back(std::move(route));
}

void deployment_reader::check_route(table_reader &fields, const route_options &route) {
    const auto same_name = [&](const auto &other) { return other.name == route.name; };
    if (std::any_of(result_.routes.begin(), result_.routes.end(), same_name)) {
        fields.problem("name", "\"" + route.name + "\" is a duplicate",
                       "give each route a unique name");
    }
    const bool served = std::any_of(result_.services.begin(), result_.services.end(),
                                    [&](const auto &each) { return each.name == route.service; });
    if (fields.has("service") && !served) {
        fields.problem("service", "there is no service \"" + route.service + "\"",
                       "name one of the sections [[services]]");
    }
    if (route.target > route.timeout) {
        fields.problem(fields.has("target_ms") ? "target_ms" : "timeout_ms",
                       "the target exceeds the timeout", "make timeout_ms the longer one");
    }
    const bool batch = route.kind == route_kind::kBatch;
    for (const char *name :
         {"items", "max_queued_tokens", "run_target_ms", "retention_s", "tokens_per_item"}) {
        if (!batch && fields.has(name)) {
            fields.problem(name, "is only allowed on batch routes",
                           "remove it or write kind = \"batch\"");
        }
    }
    const bool streams = batch || route.kind == route_kind::kStreaming;
    if (!streams && route.resumable) {
        fields.problem("resumable", "only streams and items can be resumed", "remove it");
    }
    const bool too_small = route.max_queued_tokens && batch &&
                           *route.max_queued_tokens < route.items.most * route.tokens_per_item;
    if (too_small) {
        fields.problem("max_queued_tokens", "is less than the largest job needs",
                       "write at least items x tokens_per_item");
    }
}

void deployment_reader::read_callers() {
    constexpr uint64_t kMaxMs = 60'000;
    caller_options &callers = result_.callers;
    table_reader fields = section("callers");
    fields.whole("processes", callers.processes, 1, kMaxProcesses);
    fields.percent("kept_percent", callers.kept_percent);
    fields.percent("chunked_percent", callers.chunked_percent);
    fields.percent("leave_percent", callers.leave_percent);
    fields.percent("several_nodes_percent", callers.several_nodes_percent);
    fields.percent("again_while_open_percent", callers.again_while_open_percent);
    fields.percent("again_after_end_percent", callers.again_after_end_percent);
    fields.percent("end_soon_percent", callers.end_soon_percent);
    fields.time("end_soon_ms", callers.end_soon, milliseconds(1), 1, kMaxMs);
    fields.percent("end_unseen_percent", callers.end_unseen_percent);
    fields.percent("end_twice_percent", callers.end_twice_percent);
    constexpr uint64_t kMaxFatal = 100;
    constexpr double kMaxFatalPerMinute = 6000;
    fields.whole("fatal_contents", callers.fatal_contents, 0, kMaxFatal);
    fields.number("fatal_per_minute", callers.fatal_per_minute, 0, kMaxFatalPerMinute);
    fields.percent("fatal_items_percent", callers.fatal_items_percent);
    fields.percent("shared_items_percent", callers.shared_items_percent);
    fields.percent("other_route_percent", callers.other_route_percent);
    constexpr double kMaxPartsPerSecond = 200;
    fields.whole("fatal_parts", callers.fatal_parts, 0, kMaxFatal);
    fields.number("fatal_parts_per_second", callers.fatal_parts_per_second, 0, kMaxPartsPerSecond);
    fields.percent("take_up_percent", callers.take_up_percent);
    fields.finish();
    if (callers.end_soon_percent + callers.end_unseen_percent > 100) {
        fields.problem("end_unseen_percent", "more than all jobs are ended",
                       "keep end_soon_percent and end_unseen_percent at 100 together");
    }
}

void deployment_reader::read_faults() {
    constexpr double kMaxPerMinute = 600;
    constexpr uint64_t kMaxMs = 600'000;
    std::map<std::string, std::string> kinds;
    for (const std::string &kind : fault_kinds()) {
        kinds[kind] = kind;
    }
    size_t number = 0;
    for (const toml::table *table : top_.tables("faults")) {
        table_reader fields = entry(*table, "faults", number++);
        fault_options fault;
        fields.choice("kind", fault.kind, kinds);
        fields.require("kind", "use one of " + joined(fault_kinds()));
        fields.number("per_minute", fault.per_minute, 0, kMaxPerMinute);
        fields.require("per_minute", "write how often it is injected");
        fields.time("shortest_ms", fault.shortest, milliseconds(1), 0, kMaxMs);
        fields.time("longest_ms", fault.longest, milliseconds(1), 0, kMaxMs);
        fields.finish();
        if (fault.shortest > fault.longest) {
            fields.problem("shortest_ms", "the shortest is above the longest",
                           "make longest_ms the greater one");
        }
        result_.faults.push_back(std::move(fault));
    }
}

void deployment_reader::read_bounds() {
    constexpr uint64_t kMaxMs = 600'000;
    const Duration ms = milliseconds(1);
    bound_options &bounds = result_.bounds;
    table_reader fields = section("bounds");
    fields.time("ended_job_ms", bounds.ended_job, ms, 1, kMaxMs);
    fields.time("acknowledgement_ms", bounds.acknowledgement, ms, 1, kMaxMs);
    fields.time("leaving_ms", bounds.leaving, ms, 1, kMaxMs);
    fields.time("overlap_ms", bounds.overlap, ms, 1, kMaxMs);
    fields.time("contact_ms", bounds.contact, ms, 1, kMaxMs);
    fields.time("finish_ms", bounds.finish, ms, 1, kMaxMs);
    fields.time("lag_ms", bounds.lag, ms, 1, kMaxMs);
    fields.finish();
}

void deployment_reader::read_floors() {
    constexpr uint64_t kMaxTested = 1'000'000'000;
    table_reader fields = section("floors");
    for (const check_kind kind : all_checks()) {
        uint64_t floor = 0;
        fields.whole(check_name(kind), floor, 0, kMaxTested);
        if (fields.has(check_name(kind))) {
            result_.floors[check_name(kind)] = floor;
        }
    }
    fields.finish();
}

void deployment_reader::check_processes() {
    if (result_.worker_processes > std::max<uint64_t>(result_.workers(), 1)) {
        top_.problem("worker_processes", "there are more processes than workers",
                     "write " + std::to_string(result_.workers()) + " at most");
    }
    if (result_.processes() > kMaxProcesses) {
        top_.problem("nodes",
                     std::to_string(result_.processes()) + " processes are more than the " +
                         std::to_string(kMaxProcesses) + " that a machine supports",
                     "write fewer nodes, worker_processes or callers.processes");
    }
}

} // namespace

uint64_t deployment::processes() const {
    constexpr uint64_t kStoreAndCoordinator = 2;
    return nodes + worker_processes + callers.processes + kStoreAndCoordinator;
}

uint64_t deployment::workers() const {
    uint64_t all = 0;
    for (const service_options &service : services) {
        all += service.workers;
    }
    return all;
}

const std::vector<std::string> &fault_kinds() {
    static const std::vector<std::string> kKinds = {
        "node_kill",         "node_kill_all",   "node_freeze",    "node_stop",
        "node_reload",       "node_replace",    "node_upgrade",   "node_upgrade_all",
        "store_refuse",      "store_slow",      "store_cut",      "store_lose_answers",
        "store_late",        "store_forget",    "worker_kill",    "worker_rack",
        "worker_series",     "worker_leave",    "worker_break",   "worker_mute",
        "worker_unlucky",    "worker_endless",  "worker_surplus", "worker_refuse",
        "worker_fail",       "worker_wrong",    "worker_flap",    "route_move",
        "worker_release",    "worker_rollback", "service_loss",   "node_cut",
        "worker_release_all"};
    return kKinds;
}

std::string to_string(const deployment_problem &problem) {
    return problem.file + ":" + std::to_string(problem.line) + ": " + problem.field + ": " +
           problem.message + "; " + problem.remedy;
}

deployment_result parse_deployment(std::string_view text, const std::string &file) {
    try {
        const toml::table root = toml::parse(text, file);
        return deployment_reader(root, file).read();
    } catch (const toml::parse_error &error) {
        return tl::unexpected(std::vector<deployment_problem>{
            {file, error.source().begin.line, "syntax", std::string(error.description()),
             "write TOML, such as nodes = 5"}});
    }
}

deployment_result read_deployment(const std::string &file) {
    std::ifstream input(file);
    if (!input) {
        return tl::unexpected(std::vector<deployment_problem>{
            {file, 0, "file", "cannot be read", "give the path of a deployment file"}});
    }
    std::ostringstream text;
    text << input.rdbuf();
    return parse_deployment(text.str(), file);
}

} // namespace chalkshed::soak
