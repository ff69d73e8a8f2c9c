#include "tests/soak/node_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <fstream>

#include "tests/soak/fleet/cut_links.h"

namespace chalkshed::soak {
namespace {

constexpr uint16_t kCallersPort = 18144;
constexpr uint16_t kReadinessPort = 18140;
constexpr uint16_t kPeerPort = 17660;
constexpr int kNotStarted = 127;

} // namespace

node_process::node_process(node_options options) : options_(std::move(options)) {}

node_process::~node_process() {
    if (process_ != 0) {
        kill(process_, SIGCONT);
        kill(process_, SIGKILL);
        waitpid(process_, nullptr, 0);
    }
}

Address node_process::callers() const {
    return {options_.ip, kCallersPort};
}

Address node_process::readiness() const {
    return {options_.ip, kReadinessPort};
}

void node_process::write_settings() const {
    std::ofstream file(options_.folder + "/" + options_.name + ".conf");
    file << "node=" << options_.name << "\nzone=" << options_.zone << "\nip=" << options_.ip
         << "\nlisten.front=" << to_string(callers())
         << "\nlisten.readiness=" << to_string(readiness()) << "\nport_range=" << kPeerPort << ','
         << kPeerPort + 10 << "\nprovider.address=" << to_string(options_.store)
         << "\nbounds.grace_s=8\n"
         << options_.settings;
}

void node_process::start() {
    write_settings();
    const std::string base = options_.folder + "/" + options_.name;
    const std::string settings = "--settings=" + base + ".conf";
    process_ = fork();
    if (process_ != 0) {
        return;
    }
    const int log = open((base + ".log").c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
    // The process must not outlive the soak.
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    if (!options_.preload.empty()) {
        setenv("LD_PRELOAD", options_.preload.c_str(), 1);
        setenv("CHALKSHED_SOAK_SOURCE", options_.ip.c_str(), 1);
        setenv(kCutLinksVariable, options_.links.c_str(), 1);
    }
    const std::string level = "--log-level=" + options_.log_level;
    execl(options_.program.c_str(), "chalkshed-serve", settings.c_str(), level.c_str(),
          static_cast<char *>(nullptr));
    _exit(kNotStarted);
}

void node_process::signal(int number) {
    if (process_ != 0) {
        kill(process_, number);
    }
}

bool node_process::running() {
    int status = 0;
    if (process_ != 0 && waitpid(process_, &status, WNOHANG) == process_) {
        process_ = 0;
        exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status) : 0;
    }
    return process_ != 0;
}

} // namespace chalkshed::soak
