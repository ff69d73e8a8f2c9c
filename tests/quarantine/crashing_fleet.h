#ifndef CHALKSHED_TESTS_QUARANTINE_CRASHING_FLEET_H
#define CHALKSHED_TESTS_QUARANTINE_CRASHING_FLEET_H

/** \file
 * Simulated nodes and workers. A worker that starts one of the fatal contents, or a request with a
 * fatal part in its prompt, crashes a little later and loses all its runs. Its entry is removed
 * after three missed heartbeats; it restarts some seconds later, under a new id or under its
 * previous one. */

#include <map>
#include <optional>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

#include "chalkshed/request_digest.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {

class crashing_fleet {
public:
    /** Events in a complete answer, unless chosen otherwise. */
    static constexpr uint64_t kEvents = 8;
    struct knobs {
        size_t nodes = 3;
        size_t workers = 18;
        /** Events in a complete answer. */
        uint64_t events = kEvents;
        /** Time from the start of a fatal run to the crash of its worker; drawn at random up to
         * `crash_by` if that is longer. */
        Duration crash_after = milliseconds(60);
        Duration crash_by{0};
        /** Events that each fatal run sends before its worker crashes. */
        uint64_t events_before_crash = 0;
        /** Seed of the random choice of crash times, workers and nodes. */
        uint64_t seed = 1;
        Duration entry_removed_after = milliseconds(2800);
        Duration restarts_after = milliseconds(3200);
        /** Software versions of the workers, which serve side by side. */
        size_t versions = 1;
        /** The worker restarts under its previous id. */
        bool keeps_id = false;
        ServingNodeKnobs node;
    };
    /** A fatal run that reached a worker. */
    struct fatal_run {
        std::string cause; // the fatal content or part
        MonotonicTime sent;
        std::string worker;
        std::string node; // that sent it
    };

    crashing_fleet() : crashing_fleet(knobs{}) {}
    explicit crashing_fleet(const knobs &chosen)
        : knobs_(chosen), engine_(chosen.seed), cluster(chosen.nodes, 0, chosen.node) {
        cluster.workers.on_call = [this](ScriptedCall &call) { handle_call(call); };
        for (size_t number = 0; number < knobs_.workers; ++number) {
            start_worker(number);
        }
        cluster.clock.run_for(seconds(4));
    }

    /** Sends a request with that content to a node; does nothing if the node is down.
     * \param prompt The parts of its prompt as the header names them; empty: none. */
    SeenAnswerPtr send(const std::string &node, const std::string &path, const std::string &content,
                       const std::string &prompt = "") {
        HttpRequest message;
        message.method = "POST";
        message.path = path;
        message.body = content;
        message.headers = {{platform::kRequestId, "r" + std::to_string(++requests_)},
                           {platform::kDeadline, "8000"}};
        if (!prompt.empty()) {
            message.headers.push_back({platform::kPromptPrefix, prompt});
        }
        auto seen = std::make_shared<SeenAnswer>();
        if (cluster.nodes.at(node) == nullptr) {
            return seen;
        }
        const RouteTablePtr table = cluster.node(node).routes();
        const Route *route = table->find("a.example", path);
        cluster.node(node).gateway().handle(table, *route,
                                            platform::read_request("a.example", std::move(message)),
                                            std::make_unique<FakeWriter>(seen));
        return seen;
    }
    /** Round-robin choice of a node. */
    std::string next_node() {
        return "n" + std::to_string(taken_++ % knobs_.nodes);
    }
    std::string random_node() {
        return "n" + std::to_string(engine_() % knobs_.nodes);
    }
    /** Sets the number of attempts, and thereby of workers, per request on all routes. */
    void allow_attempts(int attempts) {
        cluster.write_configuration(2, [attempts](nlohmann::json &configuration) {
            for (nlohmann::json &route : configuration["routes"]) {
                route["attempts"] = attempts;
            }
        });
        cluster.clock.run_for(milliseconds(500));
    }

    /** All runs at the worker are lost, and it accepts no more. */
    void stop_worker(size_t number) {
        worker &ended = workers_[number];
        if (!ended.up) {
            return;
        }
        ended.up = false;
        const std::string id = ended.id;
        for (ScriptedCall &call : cluster.workers.calls) {
            if (call.open() && call.worker == address_of(number)) {
                note_lost(call);
                call.fail(Ran::kUnknown);
            }
        }
        call_after(cluster.loop, knobs_.entry_removed_after, [this, number, id] {
            if (workers_[number].id != id || !workers_[number].up) {
                cluster.put("servers", id, std::nullopt);
            }
        });
        call_after(cluster.loop, knobs_.restarts_after, [this, number] { start_worker(number); });
    }

    /** Stops a random worker, busy or not, without a fatal request. */
    void stop_random_worker() {
        stop_worker(engine_() % knobs_.workers);
    }
    /** Workers without runs crash, those with the highest numbers first. */
    void stop_idle_workers(size_t count) {
        for (size_t number = knobs_.workers; number-- > 0 && count > 0;) {
            const bool busy =
                std::any_of(cluster.workers.calls.begin(), cluster.workers.calls.end(),
                            [&](const ScriptedCall &call) {
                                return call.open() && call.worker == address_of(number);
                            });
            if (!busy && workers_[number].up) {
                stop_worker(number);
                --count;
            }
        }
    }
    /** Items are given up that long after the submission of their job. */
    void retain_items(Duration retention) {
        cluster.write_configuration(2, [retention](nlohmann::json &configuration) {
            for (nlohmann::json &route : configuration["routes"]) {
                route["retention_s"] = retention / seconds(1);
            }
        });
        cluster.clock.run_for(seconds(1));
    }
    void stop_worker_at(const Address &address) {
        stop_worker(number_of(address));
    }
    /** The worker announces that it will leave. */
    void announce_leaving(const Address &address) {
        write_entry(number_of(address), "draining");
    }
    /** As in a rolling release: the worker announces that it will leave, keeps serving, and stops.
     */
    void replace_worker(size_t number) {
        if (!workers_[number].up) {
            return;
        }
        write_entry(number, "draining");
        call_after(cluster.loop, seconds(2), [this, number] { stop_worker(number); });
    }
    static uint64_t digest_of(const std::string &path, const std::string &content) {
        ServingRequest request;
        request.host = "a.example";
        request.message.method = "POST";
        request.message.path = path;
        request.message.body = content;
        return request_digest(request);
    }

    /** Resets all connections from the node to workers. */
    void reset_connections(const std::string &node) {
        for (ScriptedCall &call : cluster.workers.calls) {
            if (call.open() && call.sender.starts_with(node + "#")) {
                call.fail(Ran::kUnknown);
            }
        }
    }
    /** Advances the simulation and records which contents any node quarantines meanwhile. */
    void run_for(Duration length, Duration step = milliseconds(10)) {
        for (Duration passed{0}; passed < length; passed += step) {
            cluster.clock.run_for(step);
            for (const auto &[name, node] : cluster.nodes) {
                if (node) {
                    const auto now_held = node->node.quarantine().evidence().all_quarantined();
                    quarantined_digests.insert(now_held.begin(), now_held.end());
                }
            }
        }
    }

    /** Digests of contents that some node has quarantined. */
    std::set<uint64_t> quarantined_digests;
    std::set<std::string> fatal;
    /** Parts of prompts that crash each worker that answers a request with one of them. */
    std::set<std::string> fatal_parts;
    /** If not empty, the only software version that the fatal parts crash. */
    std::string fatal_version;
    /** The data of an event of an answer; unset: "d" and the event's number. */
    std::function<std::string(const HttpRequest &request, uint64_t event)> event_data;
    std::vector<fatal_run> runs;
    /** Times at which each fatal content or part crashed a worker. */
    std::map<std::string, std::vector<MonotonicTime>> crashes;
    /** Time from the loss of its worker to its retry, for each innocent request that was retried.
     */
    std::vector<Duration> innocent_delays;

    /** Fatal runs sent later than `after` the third crash under the same content. */
    size_t late_runs(const std::string &content, Duration after = seconds(3)) const {
        return runs_after_crash(content, 3, after);
    }
    /** Runs with that cause sent later than `after` its crash of that number, counted from 1. */
    size_t runs_after_crash(const std::string &cause, size_t number, Duration after) const {
        const auto found = crashes.find(cause);
        if (found == crashes.end() || found->second.size() < number) {
            return 0;
        }
        const MonotonicTime from = found->second[number - 1] + after;
        return static_cast<size_t>(
            std::count_if(runs.begin(), runs.end(), [&](const fatal_run &run) {
                return run.cause == cause && run.sent > from;
            }));
    }

private:
    struct worker {
        std::string id;
        bool up = false;
        int starts = 0;
        int64_t born = 0; // Unix milliseconds
    };

    static Address address_of(size_t number) {
        return {"10.1.0." + std::to_string(number), 80};
    }

    void start_worker(size_t number) {
        worker &started = workers_[number];
        ++started.starts;
        started.up = true;
        started.id = "i-" + std::to_string(number) +
                     (knobs_.keeps_id ? "" : "-" + std::to_string(started.starts));
        started.born = cluster.clock.wall_now().time_since_epoch() / milliseconds(1);
        write_entry(number, "ready");
    }

    void write_entry(size_t number, const std::string &state) {
        const nlohmann::json entry = {{"service", "engines"},
                                      {"address", to_string(address_of(number))},
                                      {"zone", "zone-a"},
                                      {"slots", 6},
                                      {"version", version_of(number)},
                                      {"state", state},
                                      {"born", workers_[number].born}};
        cluster.put("servers", workers_[number].id, entry.dump());
    }

    static size_t number_of(const Address &address) {
        size_t number = 0;
        while (!(address_of(number) == address)) {
            ++number;
        }
        return number;
    }

    /** \return The fatal content or part of the request; nothing if it is innocent. */
    std::optional<std::string> cause_of(const ScriptedCall &call, size_t number) const {
        if (fatal.contains(call.request.body)) {
            return call.request.body;
        }
        const bool sound_version = !fatal_version.empty() && fatal_version != version_of(number);
        if (fatal_parts.empty() || sound_version) {
            return std::nullopt;
        }
        const std::vector<std::string> ids = part_ids(call.header(platform::kPromptPrefix));
        for (size_t index = 0; index + 1 < ids.size(); ++index) {
            if (fatal_parts.contains(ids[index])) {
                return ids[index];
            }
        }
        return std::nullopt;
    }
    static std::vector<std::string> part_ids(const std::string &prompt) {
        std::vector<std::string> ids;
        std::istringstream parts(prompt);
        for (std::string part; std::getline(parts, part, ',');) {
            ids.push_back(part.substr(0, part.find(':')));
        }
        return ids;
    }
    std::string version_of(size_t number) const {
        return std::to_string(1 + number % knobs_.versions);
    }

    void note_lost(const ScriptedCall &call) {
        if (!cause_of(call, number_of(call.worker))) {
            lost_.emplace(call.request.body, cluster.clock.monotonic_now());
        }
    }
    void note_retried(const std::string &content) {
        if (const auto found = lost_.find(content); found != lost_.end()) {
            innocent_delays.push_back(cluster.clock.monotonic_now() - found->second);
            lost_.erase(found);
        }
    }
    Duration draw_crash_delay() {
        const Duration range = knobs_.crash_by - knobs_.crash_after;
        return range <= Duration(0) ? knobs_.crash_after
                                    : knobs_.crash_after + Duration(engine_() % range.count());
    }

    void handle_call(ScriptedCall &call) {
        note_retried(call.request.body);
        const size_t number = number_of(call.worker);
        worker &asked = workers_[number];
        if (!asked.up) {
            call_after(cluster.loop, milliseconds(1), [&call] {
                if (call.open()) {
                    call.fail(Ran::kNo);
                }
            });
            return;
        }
        const bool expected = call.header(platform::kExpectInstance) == asked.id;
        call_after(cluster.loop, milliseconds(2), [this, &call, expected, number, id = asked.id] {
            if (!call.open()) {
                return;
            }
            if (!expected) {
                call.callbacks->on_headers(421, call.refusal_head());
                call.end();
            } else if (const auto cause = cause_of(call, number)) {
                start_fatal_run(call, number, id, *cause);
            } else {
                play(call, 0);
            }
        });
    }

    void start_fatal_run(ScriptedCall &call, size_t number, const std::string &id,
                         const std::string &cause) {
        const std::string node = call.sender.substr(0, call.sender.find('#'));
        runs.push_back({cause, cluster.clock.monotonic_now(), id, node});
        call.begin();
        const uint64_t last = events_received(call);
        for (uint64_t sent = 0; sent < knobs_.events_before_crash; ++sent) {
            if (last + sent + 1 < knobs_.events) {
                send_event(call, last + sent + 1);
            }
        }
        call_after(cluster.loop, draw_crash_delay(), [this, &call, number, id, cause] {
            if (call.open() && workers_[number].up && workers_[number].id == id) {
                crashes[cause].push_back(cluster.clock.monotonic_now());
                stop_worker(number);
            }
        });
    }

    /** The last event that the sender has from earlier runs. */
    static uint64_t events_received(const ScriptedCall &call) {
        const std::string last = call.header(platform::kLastEventId);
        return last.empty() ? 0 : std::stoull(last);
    }
    void send_event(ScriptedCall &call, uint64_t event) const {
        if (!event_data) {
            call.event(event);
            return;
        }
        call.callbacks->on_body("id: " + std::to_string(event) +
                                "\ndata: " + event_data(call.request, event) + "\n\n");
    }

    /** Sends the events one every 50 ms. */
    void play(ScriptedCall &call, uint64_t event) {
        if (!call.open()) {
            return;
        }
        if (event == 0) {
            event = events_received(call);
            call.begin();
        }
        if (event == knobs_.events) {
            call.end();
            return;
        }
        send_event(call, event + 1);
        call_after(cluster.loop, milliseconds(50), [this, &call, event] { play(call, event + 1); });
    }

    const knobs knobs_;
    std::map<size_t, worker> workers_;
    std::mt19937_64 engine_;
    /** Time of the loss for innocent contents that lost their worker and have not been retried
     * since. */
    std::multimap<std::string, MonotonicTime> lost_;
    uint64_t requests_ = 0;
    uint64_t taken_ = 0;

public:
    ServingCluster cluster;
};

} // namespace chalkshed

#endif
