#ifndef CHALKSHED_TESTS_SOAK_FLEET_WORKER_ROLE_H
#define CHALKSHED_TESTS_SOAK_FLEET_WORKER_ROLE_H

/** \file
 * A process that emulates a part of the workers. They register in the store's worker table,
 * drain, crash, and are replaced by new workers, sometimes at the same address.
 */

#include <memory>
#include <vector>

#include "tests/soak/fleet/fleet_worker.h"

namespace chalkshed::soak {

/** Runs until the command "stop" arrives. */
void run_worker_role(const role_options &options);

class worker_role {
public:
    explicit worker_role(const role_options &options);
    void run() {
        process_.run();
    }

private:
    using done_callback = std::function<void()>;

    void add_workers();
    fleet_worker &add(const service_options &service, const std::string &version,
                      const std::string &zone, const Address &local);
    /** Calls `done` once the store has accepted the row. */
    void write(const fleet_worker &worker, const char *state, done_callback done);
    void remove(const std::string &incarnation, done_callback done);
    void put(const nlohmann::json &row, done_callback done);
    /** A random worker that is neither draining nor crashed; null if there is none. */
    fleet_worker *pick_serving_worker();
    void record_disturbance(const fleet_worker &worker, const std::string &kind, Duration length);

    void break_answers(Duration length);
    void refuse(Duration length);
    void mute(Duration length);
    void fail_answers(Duration length);
    void answer_wrongly(Duration length);
    void fail_by_turns(Duration length);
    void drain_and_stop();
    void drain_and_stop(fleet_worker &worker);
    enum class replaced_share : uint8_t { kHalf, kAll };
    /** Replaces a share of the workers of each service by workers of the next version. */
    void release(replaced_share share);
    /** Replaces half of them by workers of the version before the newest. */
    void roll_back();
    void replace_by(const service_options &service, const std::string &version,
                    replaced_share share);
    /** The workers of the service that are neither draining nor crashed. */
    std::vector<fleet_worker *> serving(const service_options &service) const;
    /** Records that it serves, or serves no more. */
    void record_version(const fleet_worker &worker, bool serving);
    void crash();
    void crash(fleet_worker &worker);
    /** Sends surplus answers with 30 of 100. */
    void send_surplus_answers(Duration length);
    void send_without_end(Duration length);
    /** Crashes the worker of a batch item, and then those that run it again. */
    /** All workers of the last service crash and are back after that time. */
    void lose_service(Duration length);
    void crash_under_one_item();
    void crash_under(const std::string &item, uint64_t times, Duration left);
    void crash_rack();
    void crash_series();
    /** Crashes the worker; it restarts some seconds later, half of the time with the same id. */
    void crash_by_request(fleet_worker &worker, const std::string &id, const std::string &content);
    void start_replacement(const fleet_worker &ended);
    fleet_worker &add(const service_options &service, const std::string &version,
                      const std::string &zone, const Address &local,
                      const std::string &incarnation);
    void clear_faults();

    role_process process_;
    std::vector<std::unique_ptr<fleet_worker>> workers_;
    /** The newest version of each service, by name. */
    std::map<std::string, uint64_t> newest_;
    uint64_t next_incarnation_ = 0;
};

} // namespace chalkshed::soak

#endif
