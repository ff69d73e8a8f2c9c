#include "tests/soak/fleet/caller_role.h"

#include <nlohmann/json.hpp>

#include "tests/soak/fleet/job_load.h"
#include "tests/soak/fleet/online_load.h"

namespace chalkshed::soak {

using nlohmann::json;

void run_caller_role(const role_options &options) {
    const Address control = options.layout.caller_control(options.number);
    role_process process(options, control);
    ready_nodes nodes(process);
    online_load online(process, nodes);
    job_load jobs(process, nodes);
    process.on_command("begin", [&](const json & /*fields*/) {
        online.begin();
        jobs.begin();
        return json::object();
    });
    process.on_command("end", [&](const json & /*fields*/) {
        online.end();
        jobs.end();
        return json::object();
    });
    process.on_command("open", [&](const json & /*fields*/) {
        return json{{"calls", online.open_calls()}, {"jobs", jobs.unfinished()}};
    });
    process.on_command("add_node", [&](const json &fields) {
        nodes.add(fields.at("node"));
        return json::object();
    });
    process.run();
}

} // namespace chalkshed::soak
