#include "tests/soak/fleet/store_role.h"

#include <nlohmann/json.hpp>

#include "tests/soak/fleet/fleet_store.h"

namespace chalkshed::soak {
namespace {

using nlohmann::json;

store_faults decode_faults(const json &fields) {
    store_faults faults;
    faults.status = fields.value("status", 0);
    faults.silent = fields.value("silent", false);
    faults.delay = std::chrono::milliseconds(fields.value("delay_ms", 0));
    faults.lost_percent = fields.value("lost_percent", 0U);
    faults.late = std::chrono::milliseconds(fields.value("late_ms", 0));
    faults.blocked_ips = fields.value("turned_away", std::set<std::string>());
    return faults;
}

} // namespace

void run_store_role(const role_options &options) {
    const fleet_layout layout = options.layout;
    role_process process(options, layout.store_control());
    const deployment &plan = options.plan;
    fleet_store store(process.dispatcher, process.random, plan.store_answer, plan.store_history);
    HttpServerKnobs knobs;
    knobs.idle_timeout = std::chrono::seconds(60);
    const HttpServer server(process.dispatcher, layout.store(), store, knobs);
    process.on_command("put", [&](const json &fields) {
        const json &value = fields.at("value");
        store.put(fields.at("table"), fields.at("key"),
                  value.is_null() ? std::nullopt : std::optional(value.get<std::string>()));
        return json::object();
    });
    process.on_command("troubles", [&](const json &fields) {
        store.set_faults(decode_faults(fields));
        return json::object();
    });
    process.on_command("drop_history", [&](const json & /*fields*/) {
        store.drop_history();
        return json::object();
    });
    process.on_command("calls", [&](const json & /*fields*/) { return json(store.calls()); });
    process.run();
}

} // namespace chalkshed::soak
