#include "tests/soak/fleet/worker_role.h"

#include <algorithm>
#include <nlohmann/json.hpp>

#include "platform/record_codec.h"

namespace chalkshed::soak {
namespace {

using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::seconds;

std::string version_name(const service_options &service, uint64_t number) {
    // Names the service: what two services write does not fit together either.
    return service.versions == 0 ? "" : service.name + ".v" + std::to_string(number);
}

/** A crashed worker is removed from the worker table after three missed heartbeats. */
constexpr Duration kRemovalDelay = milliseconds(3600);
constexpr Duration kDrainTime = seconds(5);
constexpr Duration kAddressReuseDelay = seconds(2);

} // namespace

void run_worker_role(const role_options &options) {
    worker_role(options).run();
}

worker_role::worker_role(const role_options &options)
    : process_(options, options.layout.worker_control(options.number)) {
    process_.on_command("register", [this](const json & /*fields*/) {
        add_workers();
        return json::object();
    });
    process_.on_command("disturb", [this](const json &fields) {
        const Duration length = milliseconds(fields.at("length_ms").get<int64_t>());
        const std::map<std::string, std::function<void()>> kinds = {
            {"worker_break", [&] { break_answers(length); }},
            {"worker_refuse", [&] { refuse(length); }},
            {"worker_mute", [&] { mute(length); }},
            {"worker_fail", [&] { fail_answers(length); }},
            {"worker_wrong", [&] { answer_wrongly(length); }},
            {"worker_flap", [&] { fail_by_turns(length); }},
            {"worker_surplus", [&] { send_surplus_answers(length); }},
            {"worker_endless", [&] { send_without_end(length); }},
            {"worker_unlucky", [&] { crash_under_one_item(); }},
            {"worker_leave", [&] { drain_and_stop(); }},
            {"service_loss", [&] { lose_service(length); }},
            {"worker_kill", [&] { crash(); }},
            {"worker_rack", [&] { crash_rack(); }},
            {"worker_series", [&] { crash_series(); }},
            {"worker_release", [&] { release(replaced_share::kHalf); }},
            {"worker_release_all", [&] { release(replaced_share::kAll); }},
            {"worker_rollback", [&] { roll_back(); }},
        };
        kinds.at(fields.at("kind"))();
        return json::object();
    });
    process_.on_command("heal", [this](const json & /*fields*/) {
        clear_faults();
        return json::object();
    });
}

void worker_role::add_workers() {
    const deployment &plan = process_.options.plan;
    uint64_t number = 0;
    for (const service_options &service : plan.services) {
        newest_[service.name] = service.versions;
        for (uint64_t each = 0; each < service.workers; ++each, ++number) {
            if (number % plan.worker_processes == process_.options.number) {
                const std::string &zone = plan.zones[each % plan.zones.size()];
                const uint64_t version = 1 + each % std::max<uint64_t>(service.versions, 1);
                add(service, version_name(service, version), zone,
                    {process_.options.layout.workers_ip(), 0});
            }
        }
    }
}

fleet_worker &worker_role::add(const service_options &service, const std::string &version,
                               const std::string &zone, const Address &local) {
    const std::string incarnation =
        "i-" + std::to_string(process_.options.number) + "-" + std::to_string(++next_incarnation_);
    return add(service, version, zone, local, incarnation);
}

fleet_worker &worker_role::add(const service_options &service, const std::string &version,
                               const std::string &zone, const Address &local,
                               const std::string &incarnation) {
    workers_.push_back(
        std::make_unique<fleet_worker>(process_, service, version, incarnation, zone, local));
    fleet_worker &added = *workers_.back();
    record_version(added, true);
    added.on_fatal = [this, &added](const std::string &id, const std::string &content) {
        crash_by_request(added, id, content);
    };
    write(added, "ready", [] {});
    return added;
}

void worker_role::write(const fleet_worker &worker, const char *state, done_callback done) {
    const auto born = worker.started().time_since_epoch() / milliseconds(1);
    const json fields = {{"service", worker.service().name},
                         {"address", to_string(worker.address())},
                         {"zone", worker.zone()},
                         {"version", worker.version().empty() ? "1" : worker.version()},
                         {"slots", worker.service().slots},
                         {"state", state},
                         {"cold_left_ms", 0},
                         {"born", born},
                         {"seq", 1}};
    put({{"table", platform::kWorkerTable},
         {"key", worker.incarnation()},
         {"value", fields.dump()}},
        std::move(done));
}

void worker_role::remove(const std::string &incarnation, done_callback done) {
    put({{"table", platform::kWorkerTable}, {"key", incarnation}, {"value", nullptr}},
        std::move(done));
}

void worker_role::put(const json &row, done_callback done) {
    send_command(process_.client, process_.options.layout.store_control(), "put", row,
                 [done = std::move(done)](const Expected<HttpResponse> &answer) {
                     if (answer && answer->status == 200) {
                         done();
                     }
                 });
}

fleet_worker *worker_role::pick_serving_worker() {
    std::vector<fleet_worker *> serving;
    for (const auto &worker : workers_) {
        if (!worker->draining() && !worker->crashed()) {
            serving.push_back(worker.get());
        }
    }
    return serving.empty() ? nullptr : serving[process_.random.below(serving.size())];
}

void worker_role::record_disturbance(const fleet_worker &worker, const std::string &kind,
                                     Duration length) {
    disturbance entry;
    entry.at = process_.now();
    entry.to = entry.at + length;
    entry.kind = kind;
    entry.part = disturbed_part::kWorker;
    entry.target = worker.incarnation();
    process_.add_record(entry);
}

void worker_role::break_answers(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_break", length);
        worker->faults.broken = 50 + process_.random.below(51);
        process_.run_after(length, [worker] { worker->faults.broken = 0; });
    }
}

void worker_role::refuse(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_refuse", length);
        worker->faults.refused = 70;
        process_.run_after(length, [worker] { worker->faults.refused = 0; });
    }
}

void worker_role::mute(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_mute", length);
        worker->faults.mute = 60;
        process_.run_after(length, [worker] { worker->faults.mute = 0; });
    }
}

/** Fails all requests, or 45 of 100. */
void worker_role::fail_answers(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_fail", length);
        worker->faults.failing = process_.chance(50) ? 100 : 45;
        process_.run_after(length, [worker] { worker->faults.failing = 0; });
    }
}

void worker_role::answer_wrongly(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_wrong", length);
        worker->faults.wrong = 100;
        process_.run_after(length, [worker] { worker->faults.wrong = 0; });
    }
}

void worker_role::fail_by_turns(Duration length) {
    constexpr Duration kTurn = milliseconds(1400);
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_flap", length);
        for (Duration at{0}; at < length; at += 2 * kTurn) {
            process_.run_after(at, [worker] { worker->faults.failing = 100; });
            process_.run_after(std::min(at + kTurn, length),
                               [worker] { worker->faults.failing = 0; });
        }
    }
}

/** Registers a replacement, marks the worker as draining, and stops it after kDrainTime. */
void worker_role::drain_and_stop() {
    fleet_worker *worker = pick_serving_worker();
    if (worker == nullptr) {
        return;
    }
    add(worker->service(), worker->version(), worker->zone(),
        {process_.options.layout.workers_ip(), 0});
    drain_and_stop(*worker);
}

void worker_role::drain_and_stop(fleet_worker &leaving) {
    fleet_worker *worker = &leaving;
    record_version(leaving, false);
    write(*worker, "draining", [this, worker] {
        worker->drain();
        worker_leaving entry;
        entry.at = process_.now();
        entry.worker = worker->incarnation();
        process_.add_record(entry);
    });
    process_.run_after(kDrainTime, [this, worker] {
        record_disturbance(*worker, "worker_leave", seconds(0));
        worker->crash();
        remove(worker->incarnation(), [] {});
    });
}

std::vector<fleet_worker *> worker_role::serving(const service_options &service) const {
    std::vector<fleet_worker *> found;
    for (const auto &worker : workers_) {
        if (worker->service().name == service.name && !worker->draining() && !worker->crashed()) {
            found.push_back(worker.get());
        }
    }
    return found;
}

void worker_role::record_version(const fleet_worker &worker, bool serving) {
    worker_version entry;
    entry.at = process_.now();
    entry.worker = worker.incarnation();
    entry.service = worker.service().name;
    entry.version = worker.version();
    entry.serving = serving;
    process_.add_record(entry);
}

void worker_role::release(replaced_share share) {
    for (const service_options &service : process_.options.plan.services) {
        if (service.versions > 0) {
            replace_by(service, version_name(service, ++newest_[service.name]), share);
        }
    }
}

void worker_role::roll_back() {
    for (const service_options &service : process_.options.plan.services) {
        if (service.versions > 0 && newest_[service.name] > 1) {
            replace_by(service, version_name(service, --newest_[service.name]),
                       replaced_share::kHalf);
        }
    }
}

/** One worker after the other; those of other versions leave first. */
void worker_role::replace_by(const service_options &service, const std::string &version,
                             replaced_share share) {
    constexpr Duration kStep = milliseconds(400);
    std::vector<fleet_worker *> leaving = serving(service);
    std::stable_partition(leaving.begin(), leaving.end(),
                          [&](const fleet_worker *worker) { return worker->version() != version; });
    if (share == replaced_share::kHalf) {
        leaving.resize(leaving.size() / 2 + process_.random.below(2) * (leaving.size() % 2));
    }
    Duration wait{0};
    for (fleet_worker *worker : leaving) {
        process_.run_after(wait, [this, &service, version, worker] {
            add(service, version, worker->zone(), {process_.options.layout.workers_ip(), 0});
        });
        wait += kStep;
        process_.run_after(wait, [this, worker] {
            if (!worker->draining() && !worker->crashed()) {
                drain_and_stop(*worker);
            }
        });
    }
}

void worker_role::crash() {
    if (fleet_worker *worker = pick_serving_worker()) {
        crash(*worker);
    }
}

void worker_role::crash(fleet_worker &worker) {
    record_version(worker, false);
    record_disturbance(worker, "worker_kill", kRemovalDelay);
    worker.crash();
    process_.run_after(kRemovalDelay, [this, &worker] { remove(worker.incarnation(), [] {}); });
    process_.run_after(kAddressReuseDelay, [this, &worker] { start_replacement(worker); });
}

void worker_role::send_surplus_answers(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_surplus", length);
        worker->faults.surplus = 30;
        process_.run_after(length, [worker] { worker->faults.surplus = 0; });
    }
}

void worker_role::send_without_end(Duration length) {
    if (fleet_worker *worker = pick_serving_worker()) {
        record_disturbance(*worker, "worker_endless", length + kDrainTime);
        worker->faults.endless = 60;
        process_.run_after(length, [worker] { worker->faults.endless = 0; });
    }
}

void worker_role::lose_service(Duration length) {
    const service_options &service = process_.options.plan.services.back();
    disturbance entry;
    entry.at = process_.now();
    entry.to = entry.at + length;
    entry.kind = "service_loss";
    entry.part = disturbed_part::kService;
    entry.target = service.name;
    process_.add_record(entry);
    for (fleet_worker *worker : serving(service)) {
        record_version(*worker, false);
        record_disturbance(*worker, "worker_kill", kRemovalDelay);
        worker->crash();
        process_.run_after(kRemovalDelay, [this, worker] { remove(worker->incarnation(), [] {}); });
        process_.run_after(length, [this, worker] {
            add(worker->service(), worker->version(), worker->zone(),
                {process_.options.layout.workers_ip(), 0});
        });
    }
}

void worker_role::crash_under_one_item() {
    constexpr Duration kWithin = seconds(25);
    std::vector<std::string> items;
    for (const auto &worker : workers_) {
        const std::vector<std::string> of_worker =
            worker->crashed() ? std::vector<std::string>{} : worker->items();
        items.insert(items.end(), of_worker.begin(), of_worker.end());
    }
    if (!items.empty()) {
        const uint64_t times = 3 + process_.random.below(3);
        crash_under(items[process_.random.below(items.size())], times, kWithin);
    }
}

void worker_role::crash_under(const std::string &item, uint64_t times, Duration left) {
    const Duration pause = process_.random_duration(milliseconds(200), milliseconds(900));
    if (times == 0 || left <= pause) {
        return;
    }
    const auto found = std::find_if(workers_.begin(), workers_.end(), [&](const auto &worker) {
        const std::vector<std::string> items = worker->items();
        return !worker->crashed() && std::find(items.begin(), items.end(), item) != items.end();
    });
    if (found != workers_.end()) {
        crash(**found);
        --times;
    }
    process_.run_after(
        pause, [this, item, times, left, pause] { crash_under(item, times, left - pause); });
}

/** Crashes several workers, one shortly after the other, for reasons that lie in no request. */
void worker_role::crash_series() {
    const uint64_t count = 3 + process_.random.below(3);
    Duration at{0};
    for (uint64_t number = 0; number < count; ++number) {
        process_.run_after(at, [this] { crash(); });
        at += process_.random_duration(milliseconds(30), milliseconds(150));
    }
}

/** Crashes a fifth of the workers within about 30 ms, as when a rack loses power. */
void worker_role::crash_rack() {
    constexpr uint64_t kRackDivisor = 5;
    const Duration lasts = milliseconds(30);
    for (uint64_t count = workers_.size() / kRackDivisor; count > 0; --count) {
        process_.run_after(process_.random_duration(Duration(0), lasts), [this] { crash(); });
    }
}

void worker_role::crash_by_request(fleet_worker &worker, const std::string &id,
                                   const std::string &content) {
    fatal_end entry;
    entry.at = process_.now();
    entry.worker = worker.incarnation();
    entry.id = id;
    entry.content = content;
    process_.add_record(entry);
    record_disturbance(worker, "worker_ends", kRemovalDelay);
    record_version(worker, false);
    worker.crash();
    // One that has said that it leaves doesn't return as itself.
    const bool keeps_id = process_.chance(50) && !worker.draining();
    const Duration pause = process_.random_duration(kAddressReuseDelay, kRemovalDelay);
    if (!keeps_id) {
        process_.run_after(kRemovalDelay, [this, &worker] { remove(worker.incarnation(), [] {}); });
    }
    process_.run_after(pause, [this, &worker, keeps_id] {
        if (keeps_id) {
            add(worker.service(), worker.version(), worker.zone(), worker.address(),
                worker.incarnation());
        } else {
            add(worker.service(), worker.version(), worker.zone(), worker.address());
        }
    });
}

/** Reuses the address of the ended worker, to which nodes may still hold connections; half of the
 * time the new worker belongs to another service. */
void worker_role::start_replacement(const fleet_worker &ended) {
    const std::vector<service_options> &services = process_.options.plan.services;
    const bool other = process_.chance(50) && services.size() > 1;
    const service_options &service =
        other ? services[process_.random.below(services.size())] : ended.service();
    const bool same = service.name == ended.service().name;
    add(service, same ? ended.version() : version_name(service, newest_[service.name]),
        ended.zone(), ended.address());
    if (!same) {
        add(ended.service(), ended.version(), ended.zone(),
            {process_.options.layout.workers_ip(), 0});
    }
}

void worker_role::clear_faults() {
    for (const auto &worker : workers_) {
        worker->faults = {};
    }
}

} // namespace chalkshed::soak
