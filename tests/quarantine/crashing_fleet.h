#ifndef CHALKSHED_TESTS_QUARANTINE_CRASHING_FLEET_H
#define CHALKSHED_TESTS_QUARANTINE_CRASHING_FLEET_H

/** \file
 * Nodes before workers that end in the midst of their runs: each worker that begins one of the
 * fatal contents ends a little later, and takes all its runs with it. Its entry goes after three
 * missed heartbeats; it starts again after some seconds, under a new id or under its own. */

#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chalkshed/request_digest.h"
#include "tests/serving/serving_cluster.h"

namespace chalkshed {

class ending_fleet {
public:
    struct knobs {
        size_t nodes = 3;
        size_t workers = 18;
        /** From the begin of a fatal run to the end of its worker; drawn up to `ends_by` where that
         * is longer. */
        Duration ends_after = milliseconds(60);
        Duration ends_by{0};
        /** Of what is drawn: ends of workers, nodes. */
        uint64_t seed = 1;
        Duration unlisted_after = milliseconds(2800);
        Duration returns_after = milliseconds(3200);
        /** The worker starts again under the id that it had. */
        bool keeps_id = false;
        ServingNodeKnobs node;
    };
    /** A fatal run that reached a worker. */
    struct fatal_run {
        std::string content;
        MonotonicTime sent;
        std::string worker;
        std::string node; // that sent it
    };

    ending_fleet() : ending_fleet(knobs{}) {}
    explicit ending_fleet(const knobs &chosen)
        : knobs_(chosen), engine_(chosen.seed), cluster(chosen.nodes, 0, chosen.node) {
        cluster.workers.on_call = [this](ScriptedCall &call) { take_call(call); };
        for (size_t number = 0; number < knobs_.workers; ++number) {
            start_worker(number);
        }
        cluster.clock.run_for(seconds(4));
    }

    /** Sends a request of that content to a node, if it lives. */
    SeenAnswerPtr send(const std::string &node, const std::string &path,
                       const std::string &content) {
        HttpRequest message;
        message.method = "POST";
        message.path = path;
        message.body = content;
        message.headers = {{platform::kRequestId, "r" + std::to_string(++requests_)},
                           {platform::kDeadline, "8000"}};
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
    /** The nodes in turn. */
    std::string any_node() {
        return "n" + std::to_string(taken_++ % knobs_.nodes);
    }
    std::string drawn_node() {
        return "n" + std::to_string(engine_() % knobs_.nodes);
    }
    /** Routes that repeat let an attempt of a caller reach so many workers. */
    void allow_attempts(int attempts) {
        cluster.write_configuration(2, [attempts](nlohmann::json &configuration) {
            for (nlohmann::json &route : configuration["routes"]) {
                route["attempts"] = attempts;
            }
        });
        cluster.clock.run_for(milliseconds(500));
    }

    /** All runs at the worker break off, and it takes no more. */
    void end_worker(size_t number) {
        worker &ended = workers_[number];
        if (!ended.up) {
            return;
        }
        ended.up = false;
        const std::string id = ended.id;
        for (ScriptedCall &call : cluster.workers.calls) {
            if (call.open() && call.worker == address_of(number)) {
                note_lost(call.request.body);
                call.fail(Ran::kUnknown);
            }
        }
        call_after(cluster.loop, knobs_.unlisted_after, [this, number, id] {
            if (workers_[number].id != id || !workers_[number].up) {
                cluster.put("servers", id, std::nullopt);
            }
        });
        call_after(cluster.loop, knobs_.returns_after, [this, number] { start_worker(number); });
    }

    /** A worker that no fatal request has ended, busy or not. */
    void end_any_worker() {
        end_worker(engine_() % knobs_.workers);
    }
    void end_worker_at(const Address &address) {
        end_worker(number_of(address));
    }
    /** The worker says that it will leave. */
    void announce_leaving(const Address &address) {
        write_entry(number_of(address), "draining");
    }
    /** As a release does: the worker says that it will leave, serves on, and ends. */
    void replace_worker(size_t number) {
        if (!workers_[number].up) {
            return;
        }
        write_entry(number, "draining");
        call_after(cluster.loop, seconds(2), [this, number] { end_worker(number); });
    }
    static uint64_t digest_of(const std::string &path, const std::string &content) {
        ServingRequest request;
        request.host = "a.example";
        request.message.method = "POST";
        request.message.path = path;
        request.message.body = content;
        return request_digest(request);
    }

    /** All connections of the node to workers are reset. */
    void reset_connections(const std::string &node) {
        for (ScriptedCall &call : cluster.workers.calls) {
            if (call.open() && call.sender.starts_with(node + "#")) {
                call.fail(Ran::kUnknown);
            }
        }
    }
    /** Runs for that long, and notes which contents any node holds meanwhile. */
    void run_for(Duration length, Duration step = milliseconds(10)) {
        for (Duration passed{0}; passed < length; passed += step) {
            cluster.clock.run_for(step);
            for (const auto &[name, node] : cluster.nodes) {
                if (node) {
                    const auto now_held = node->node.quarantine().evidence().all_quarantined();
                    held.insert(now_held.begin(), now_held.end());
                }
            }
        }
    }

    /** Digests of contents that some node has held. */
    std::set<uint64_t> held;
    std::set<std::string> fatal;
    std::vector<fatal_run> runs;
    /** When workers ended by each content. */
    std::map<std::string, std::vector<MonotonicTime>> ends;
    /** From the end of its worker to the next send, of each innocent request that lost one and was
     * sent again. */
    std::vector<Duration> innocent_delays;

    /** Fatal runs sent later than that after the third end by the same content. */
    size_t late_runs(const std::string &content, Duration after = seconds(3)) const {
        const auto found = ends.find(content);
        if (found == ends.end() || found->second.size() < 3) {
            return 0;
        }
        const MonotonicTime from = found->second[2] + after;
        return static_cast<size_t>(
            std::count_if(runs.begin(), runs.end(), [&](const fatal_run &run) {
                return run.content == content && run.sent > from;
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
        const nlohmann::json entry = {
            {"service", "engines"}, {"address", to_string(address_of(number))},
            {"zone", "zone-a"},     {"slots", 6},
            {"state", state},       {"born", workers_[number].born}};
        cluster.put("servers", workers_[number].id, entry.dump());
    }

    static size_t number_of(const Address &address) {
        size_t number = 0;
        while (!(address_of(number) == address)) {
            ++number;
        }
        return number;
    }

    void note_lost(const std::string &content) {
        if (!fatal.contains(content)) {
            lost_.emplace(content, cluster.clock.monotonic_now());
        }
    }
    void note_sent_again(const std::string &content) {
        if (const auto found = lost_.find(content); found != lost_.end()) {
            innocent_delays.push_back(cluster.clock.monotonic_now() - found->second);
            lost_.erase(found);
        }
    }
    Duration time_to_end() {
        const Duration range = knobs_.ends_by - knobs_.ends_after;
        return range <= Duration(0) ? knobs_.ends_after
                                    : knobs_.ends_after + Duration(engine_() % range.count());
    }

    void take_call(ScriptedCall &call) {
        note_sent_again(call.request.body);
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
                call.callbacks->on_headers(421, {});
                call.end();
            } else if (fatal.contains(call.request.body)) {
                begin_fatal(call, number, id);
            } else {
                play(call, 0);
            }
        });
    }

    void begin_fatal(ScriptedCall &call, size_t number, const std::string &id) {
        const std::string content = call.request.body;
        const std::string node = call.sender.substr(0, call.sender.find('#'));
        runs.push_back({content, cluster.clock.monotonic_now(), id, node});
        call.begin();
        call_after(cluster.loop, time_to_end(), [this, &call, number, id, content] {
            if (call.open() && workers_[number].up && workers_[number].id == id) {
                ends[content].push_back(cluster.clock.monotonic_now());
                end_worker(number);
            }
        });
    }

    /** Eight events, one each 50 ms. */
    void play(ScriptedCall &call, uint64_t event) {
        constexpr uint64_t kEvents = 8;
        if (!call.open()) {
            return;
        }
        if (event == 0) {
            const std::string last = call.header(platform::kLastEventId);
            event = last.empty() ? 0 : std::stoull(last);
            call.begin();
        }
        if (event == kEvents) {
            call.end();
            return;
        }
        call.event(event + 1);
        call_after(cluster.loop, milliseconds(50), [this, &call, event] { play(call, event + 1); });
    }

    const knobs knobs_;
    std::map<size_t, worker> workers_;
    std::mt19937_64 engine_;
    /** Innocent contents that lost their worker and have not been sent since: when. */
    std::multimap<std::string, MonotonicTime> lost_;
    uint64_t requests_ = 0;
    uint64_t taken_ = 0;

public:
    ServingCluster cluster;
};

} // namespace chalkshed

#endif
