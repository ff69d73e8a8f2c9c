#ifndef CHALKSHED_TESTS_SOAK_NODE_PROCESS_H
#define CHALKSHED_TESTS_SOAK_NODE_PROCESS_H

/** \file
 * One node of the soak: a real chalkshed-serve process with its settings file and its log.
 */

#include <sys/types.h>

#include <string>

#include "src/core/address.h"
#include "src/core/time.h"

namespace chalkshed::soak {

/** The options that a node's process is started with. */
struct node_options {
    std::string program;
    std::string folder; // for its settings and its log
    std::string name;
    std::string zone;
    std::string ip; // a loopback address
    Address store;
    std::string log_level = "debug";
    /** Lines that are appended to its settings file. */
    std::string settings = {};
    /** The LD_PRELOAD library of the process; none if empty. */
    std::string preload = {};
    /** The file that says which links are cut (fleet/cut_links.h); none if empty. */
    std::string links = {};
};

class node_process {
public:
    explicit node_process(node_options options);
    ~node_process();
    node_process(const node_process &) = delete;
    node_process &operator=(const node_process &) = delete;

    void start();
    /** \param program The executable, used from the next start on. */
    void set_program(std::string program) {
        options_.program = std::move(program);
    }
    const std::string &program() const {
        return options_.program;
    }
    /** Sends the signal if the process is running. */
    void signal(int number);
    /** Reaps the process if it has exited. \return Whether it is running. */
    bool running();
    /** The exit code of the last process; meaningless if a signal terminated it. */
    int exit_code() const {
        return exit_code_;
    }

    /** 0 if it isn't running. */
    pid_t process() const {
        return process_;
    }
    /** The file that says which of its links are cut. */
    const std::string &links() const {
        return options_.links;
    }
    const std::string &name() const {
        return options_.name;
    }
    Address callers() const;
    Address readiness() const;

    /** When a fault that excuses lost answers, such as a kill or a freeze, was last injected. */
    MonotonicTime disturbed{};
    /** When its planned stop began; the epoch if it is not stopping. */
    MonotonicTime stopping{};
    bool frozen = false;

private:
    void write_settings() const;

    node_options options_;
    pid_t process_ = 0;
    int exit_code_ = 0;
};

} // namespace chalkshed::soak

#endif
