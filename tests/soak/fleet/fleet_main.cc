#include "tests/soak/fleet/fleet_main.h"

#include <algorithm>
#include <filesystem>
#include <iostream>
#include <nlohmann/json.hpp>

#include "src/event/system_time_source.h"
#include "tests/soak/fleet/caller_role.h"
#include "tests/soak/fleet/ejections.h"
#include "tests/soak/fleet/store_role.h"
#include "tests/soak/fleet/worker_role.h"

namespace chalkshed::soak {
namespace {

constexpr int kViolated = 1;
constexpr int kInvalid = 2;

role_options options_of(const fleet_arguments &arguments, deployment plan) {
    role_options options;
    options.file = arguments.file;
    options.plan = std::move(plan);
    options.folder = arguments.folder;
    options.role = arguments.role.empty() ? "coordinator" : arguments.role;
    options.number = arguments.number;
    options.seed = arguments.seed;
    options.layout = {arguments.network};
    return options;
}

int run_role(const std::string &role, const role_options &options) {
    const std::map<std::string, void (*)(const role_options &)> roles = {
        {"store", &run_store_role}, {"workers", &run_worker_role}, {"callers", &run_caller_role}};
    const auto found = roles.find(role);
    if (found == roles.end()) {
        std::cerr << "chalkshed-soak: there is no role '" << role << "'\n";
        return kInvalid;
    }
    found->second(options);
    return 0;
}

/** Log lines have the wall-clock time, records the monotonic time. */
Duration wall_offset() {
    const SystemTimeSource source;
    return source.wall_now().time_since_epoch() - source.monotonic_now().time_since_epoch();
}

int report(const coordinator &run, const fleet_arguments &arguments, const deployment &plan) {
    const Expected<std::vector<record>> records = read_records(arguments.folder);
    if (!records) {
        std::cout << "INVALID: " << records.error().message << '\n';
        return kInvalid;
    }
    const check_report checked = check_records(*records, plan);
    const ejection_check ejections = check_ejections(arguments.folder, *records, wall_offset());
    for (const std::string &violation : ejections.violations) {
        std::cout << "violation: " << violation << '\n';
    }
    for (const std::string &failure : run.node_failures()) {
        std::cout << "violation: " << failure << '\n';
    }
    std::cout << nlohmann::json{{"seed", arguments.seed},
                                {"faults", run.faults()},
                                {"starts", run.starts()},
                                {"store_calls", nlohmann::json::parse(run.store_calls())},
                                {"ejections", ejections.ejections},
                                {"ejections_of_healthy", ejections.of_healthy_workers},
                                {"longest_of_healthy_ms",
                                 ejections.longest_of_healthy / std::chrono::milliseconds(1)},
                                {"node_failures", run.node_failures().size()},
                                {"first_memory_mb", run.first_memory_mb()},
                                {"last_memory_mb", run.last_memory_mb()}}
                     .dump()
              << '\n';
    print_report(checked, std::cout);
    if (std::any_of(plan.services.begin(), plan.services.end(),
                    [](const service_options &service) { return service.versions > 0; })) {
        print_versions(checked.versions, std::cout);
    }
    if (plan.callers.fatal_parts > 0) {
        print_parts(checked.parts, std::cout);
    }
    if (!checked.invalid.empty()) {
        return kInvalid;
    }
    return checked.passed() && ejections.violations.empty() && run.node_failures().empty()
               ? 0
               : kViolated;
}

bool upgrades(const deployment &plan) {
    return std::any_of(plan.faults.begin(), plan.faults.end(), [](const fault_options &fault) {
        return fault.kind == "node_upgrade" || fault.kind == "node_upgrade_all";
    });
}

int run_coordinator(const fleet_arguments &arguments, const role_options &options) {
    if (options.plan.nodes > kMaxNodes) {
        std::cerr << "chalkshed-soak: " << arguments.file << ": nodes: more than " << kMaxNodes
                  << " don't fit in one network; write fewer\n";
        return kInvalid;
    }
    if (upgrades(options.plan) && arguments.production.empty()) {
        std::cerr << "chalkshed-soak: " << arguments.file
                  << ": its nodes are upgraded, and there is no older build; name it by "
                     "--production, or run scripts/soak, which builds it\n";
        return kInvalid;
    }
    // Records of an earlier run would be mixed with those of this one.
    std::filesystem::remove_all(std::filesystem::path(arguments.folder) / "records");
    coordinator run({options, arguments.program, arguments.production, arguments.log_level});
    if (!run.run()) {
        std::cout << "INVALID: the fleet didn't come up; see the logs in " << arguments.folder
                  << '\n';
        return kInvalid;
    }
    return report(run, arguments, options.plan);
}

} // namespace

int run_fleet(const fleet_arguments &arguments) {
    deployment_result plan = read_deployment(arguments.file);
    if (!plan) {
        for (const deployment_problem &problem : plan.error()) {
            std::cerr << to_string(problem) << '\n';
        }
        return kInvalid;
    }
    plan->length = arguments.length.value_or(plan->length);
    std::filesystem::create_directories(arguments.folder);
    const role_options options = options_of(arguments, *plan);
    return arguments.role.empty() ? run_coordinator(arguments, options)
                                  : run_role(arguments.role, options);
}

} // namespace chalkshed::soak
