#ifndef CHALKSHED_TESTS_SOAK_FLEET_COORDINATOR_H
#define CHALKSHED_TESTS_SOAK_FLEET_COORDINATOR_H

/** \file
 * Runs a fleet soak: starts the harness processes and the nodes, writes the configuration and
 * injects faults. The records are checked after the run.
 */

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "tests/soak/fleet/checks.h"
#include "tests/soak/fleet/role_process.h"
#include "tests/soak/node_process.h"

namespace chalkshed::soak {

struct fleet_options {
    role_options role; // of the coordinator itself
    std::string program;
    /** The older build, which the nodes run at first; if empty, only `program` runs. */
    std::string production;
    std::string log_level;
};

class coordinator {
public:
    explicit coordinator(fleet_options options);
    ~coordinator();
    coordinator(const coordinator &) = delete;
    coordinator &operator=(const coordinator &) = delete;

    /** \return Whether the fleet became ready; otherwise nothing was tested. */
    bool run();
    /** Faults so far by kind. */
    const std::map<std::string, uint64_t> &faults() const {
        return faults_;
    }
    /** Calls to the store by path, as a JSON object. */
    const std::string &store_calls() const {
        return store_calls_;
    }
    /** Descriptions of the nodes that exited unexpectedly or failed a planned stop. */
    const std::vector<std::string> &node_failures() const {
        return node_failures_;
    }
    /** Starts of nodes by build: "production" and "new". */
    const std::map<std::string, uint64_t> &starts() const {
        return starts_;
    }
    /** Memory of the largest node, at the start and at the end of the load. */
    uint64_t first_memory_mb() const {
        return first_memory_mb_;
    }
    uint64_t last_memory_mb() const {
        return last_memory_mb_;
    }

private:
    struct child {
        pid_t process = 0;
        std::string role;
        Address control;
    };
    /** Counts of the active store faults, by kind. */
    struct store_state {
        uint64_t refusing = 0;
        uint64_t slow = 0;
        uint64_t losing = 0;
        uint64_t late = 0;
        Duration delay{0}; // while it is slow
        std::multiset<std::string> blocked_ips;
    };
    using fault_function = void (coordinator::*)(Duration length);
    static const std::map<std::string, fault_function> &fault_functions();

    // Phases of a run.
    void start_child(const std::string &role, uint64_t number, const Address &control);
    void wait_for_children();
    void handle_child_ready();
    void start_nodes();
    void start_node(uint64_t number);
    void wait_for_nodes();
    void begin_load();
    void end_load();
    void wait_for_jobs();
    void end_run();
    void stop_children();
    void restart_ended_nodes();
    void restart_if_ended(node_process &node);
    void restart(node_process &node);
    uint64_t largest_node_mb() const;

    void write_configuration();
    void send_to_all(const std::string &role, const std::string &name, const std::string &fields);

    // Faults.
    void schedule_fault(const fault_options &fault);
    void begin_fault(const fault_options &fault);
    void kill_node(Duration length);
    void kill_all_nodes(Duration length);
    void freeze_node(Duration length);
    void cut_nodes(Duration length);
    void cut_node(node_process &node, uint8_t links, Duration length);
    void unblock_at_store(const std::string &ip);
    void stop_node(Duration length);
    void reload_node(Duration length);
    void replace_node(Duration length);
    void upgrade_nodes(Duration length);
    void upgrade_all_nodes(Duration length);
    bool runs_production(const node_process &node) const {
        return node.program() == options_.production;
    }
    void set_build(node_process &node, bool production);
    void begin_planned_stop(node_process &node, const std::string &kind);
    void refuse_store_calls(Duration length);
    void slow_store(Duration length);
    void block_nodes_at_store(Duration length);
    void lose_store_answers(Duration length);
    void delay_store_commits(Duration length);
    void drop_store_history(Duration length);
    void reroute(Duration length);
    void disturb_worker(const std::string &kind, Duration length);
    void kill_node_for(node_process &node, const std::string &kind, Duration length);
    void record_disturbance(const std::string &kind, disturbed_part part, const std::string &target,
                            Duration length);
    void send_store_faults();
    void begin_store_fault(const std::string &kind, uint64_t store_state::*counter,
                           Duration length);
    node_process *pick_undisturbed_node();

    fleet_options options_;
    role_process process_;
    std::vector<child> children_;
    size_t children_ready_ = 0;
    std::vector<std::unique_ptr<node_process>> nodes_;
    std::map<const node_process *, MonotonicTime> down_until_;
    std::set<const node_process *> replaced_;
    std::map<std::string, std::string> services_; // current service of each route, by route name
    uint64_t version_ = 0;
    store_state store_;
    std::map<std::string, uint64_t> faults_;
    std::map<std::string, uint64_t> starts_;
    std::vector<std::string> node_failures_;
    std::string store_calls_ = "{}";
    uint64_t first_memory_mb_ = 0;
    uint64_t last_memory_mb_ = 0;
    MonotonicTime load_ended_{};
    bool fleet_ready_ = false;
    bool load_started_ = false;
    bool run_ending_ = false;
};

} // namespace chalkshed::soak

#endif
