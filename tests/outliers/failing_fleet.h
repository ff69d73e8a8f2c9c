#ifndef CHALKSHED_TESTS_OUTLIERS_FAILING_FLEET_H
#define CHALKSHED_TESTS_OUTLIERS_FAILING_FLEET_H

/** \file
 * Simulated nodes that serve a steady load with workers of which some fail requests. */

#include <functional>
#include <map>
#include <random>
#include <set>
#include <string>

#include "tests/serving/serving_cluster.h"

namespace chalkshed {

class failing_fleet {
public:
    struct knobs {
        size_t nodes = 60;
        size_t workers = 60;
        double requests_per_second = 220;
        /** Share of the requests that can be resumed; the others may run once. */
        double repeatable_share = 0.15;
        uint64_t seed = 1;
        bool detect = true;
    };
    /** A call that a worker failed. */
    struct failed_call {
        MonotonicTime at{};
        size_t worker = 0;
        std::string node;
        std::string content;
        bool once = false;
    };
    /** How a worker answers: returns whether it has taken over the call. */
    using fault = std::function<bool(failing_fleet &fleet, ScriptedCall &call, size_t worker)>;

    failing_fleet() : failing_fleet(knobs{}) {}
    explicit failing_fleet(const knobs &chosen)
        : knobs_(chosen), engine_(chosen.seed), cluster(chosen.nodes, 0, node_knobs(chosen)) {
        cluster.workers.on_call = [this](ScriptedCall &call) { handle_call(call); };
        for (size_t number = 0; number < knobs_.workers; ++number) {
            cluster.write_worker("i-" + std::to_string(number), number, "ready", 8);
        }
        cluster.clock.run_for(seconds(4));
        schedule_request();
    }

    static ServingNodeKnobs node_knobs(const knobs &chosen) {
        ServingNodeKnobs node;
        node.workers.failures.enabled = chosen.detect;
        return node;
    }

    /** Sends a request with that content to a node, if it is up. */
    SeenAnswerPtr send(const std::string &node, const std::string &path,
                       const std::string &content) {
        HttpRequest message;
        message.method = "POST";
        message.path = path;
        message.body = content;
        message.headers = {{platform::kRequestId, "r" + std::to_string(++requests_)},
                           {platform::kDeadline, "5000"}};
        auto seen = std::make_shared<SeenAnswer>();
        if (cluster.nodes.at(node) == nullptr) {
            return seen;
        }
        const RouteTablePtr table = cluster.node(node).routes();
        const Route *route = table ? table->find("a.example", path) : nullptr;
        if (route == nullptr) {
            return seen;
        }
        cluster.node(node).gateway().handle(table, *route,
                                            platform::read_request("a.example", std::move(message)),
                                            std::make_unique<FakeWriter>(seen));
        return seen;
    }
    std::string random_node() {
        return "n" + std::to_string(engine_() % knobs_.nodes);
    }
    double unit() {
        return std::uniform_real_distribution<double>(0, 1)(engine_);
    }

    void run_for(Duration length) {
        constexpr Duration kStep = milliseconds(10);
        for (Duration passed{0}; passed < length; passed += kStep) {
            cluster.clock.run_for(kStep);
            note_ejections(kStep);
        }
    }

    /** Number of nodes that avoid the worker now. */
    size_t avoided_by(size_t worker) {
        size_t nodes = 0;
        for (const auto &[name, node] : cluster.nodes) {
            nodes += node && ejects(*node, worker) ? 1 : 0;
        }
        return nodes;
    }
    size_t nodes_up() const {
        size_t up = 0;
        for (const auto &[name, node] : cluster.nodes) {
            up += node ? 1 : 0;
        }
        return up;
    }
    bool ejects(ClusterNode &node, size_t worker) {
        const WorkerPtr known = node.node.workers().find("i-" + std::to_string(worker));
        return known && node.node.failures().ejected(static_cast<uint32_t>(known->hash),
                                                     cluster.clock.monotonic_now());
    }
    /** Fails the call, and records it. */
    void note_failed(const ScriptedCall &call, size_t worker) {
        failed.push_back({cluster.clock.monotonic_now(), worker,
                          call.sender.substr(0, call.sender.find('#')), call.request.body,
                          call.request.path.starts_with("/fixed/")});
    }
    size_t failed_between(MonotonicTime from, MonotonicTime to) const {
        return static_cast<size_t>(
            std::count_if(failed.begin(), failed.end(), [&](const failed_call &call) {
                return call.at >= from && call.at < to;
            }));
    }

    /** Workers that fail, and how. */
    std::map<size_t, fault> faults;
    /** Contents that every worker answers with status 500. */
    std::set<std::string> fatal;
    std::vector<failed_call> failed;
    /** Longest time for which any node avoided each worker without a break. */
    std::map<size_t, Duration> longest_ejection;
    bool paused = false; // sends no requests

private:
    void schedule_request() {
        std::exponential_distribution<double> interval(knobs_.requests_per_second);
        const std::chrono::duration<double> pause(interval(engine_));
        call_after(cluster.loop, std::chrono::duration_cast<Duration>(pause), [this] {
            if (!paused) {
                const bool repeatable = unit() < knobs_.repeatable_share;
                send(random_node(), repeatable ? "/stream/x" : "/fixed/x",
                     "content " + std::to_string(requests_));
            }
            schedule_request();
        });
    }

    void note_ejections(Duration step) {
        for (const auto &[name, node] : cluster.nodes) {
            if (!node) {
                continue;
            }
            for (size_t worker = 0; worker < knobs_.workers; ++worker) {
                Duration &current = ejected_for_[{name, worker}];
                current = node->node.failures().any() && ejects(*node, worker) ? current + step
                                                                               : Duration(0);
                if (current > Duration(0)) {
                    longest_ejection[worker] = std::max(longest_ejection[worker], current);
                }
            }
        }
    }

    static size_t number_of(const Address &address) {
        return std::stoul(address.ip.substr(address.ip.rfind('.') + 1));
    }

    void handle_call(ScriptedCall &call) {
        call_after(cluster.loop, milliseconds(2), [this, &call] {
            if (!call.open()) {
                return;
            }
            const size_t worker = number_of(call.worker);
            const auto found = faults.find(worker);
            if (found != faults.end() && found->second(*this, call, worker)) {
                return;
            }
            if (fatal.contains(call.request.body)) {
                note_failed(call, worker);
                call.begin(500);
                call.end();
                return;
            }
            call_after(cluster.loop, milliseconds(40), [this, &call] { play(call, 0); });
        });
    }

    /** Sends 24 events, one every 60 ms, so that two thirds of the slots are taken. */
    void play(ScriptedCall &call, uint64_t event) {
        constexpr uint64_t kEvents = 24;
        if (!call.open()) {
            return;
        }
        if (event == 0) {
            const std::string last = call.header(platform::kLastEventId);
            event = last.empty() ? 0 : std::stoull(last);
            call.begin();
        }
        if (event >= kEvents) {
            call.end();
            return;
        }
        call.event(event + 1);
        call_after(cluster.loop, milliseconds(60), [this, &call, event] { play(call, event + 1); });
    }

    const knobs knobs_;
    std::mt19937_64 engine_;
    std::map<std::pair<std::string, size_t>, Duration> ejected_for_;
    uint64_t requests_ = 0;

public:
    ServingCluster cluster;
};

/* The kinds of faults. */

inline bool answer_500(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    fleet.note_failed(call, worker);
    call.begin(500);
    call.end();
    return true;
}
inline bool answer_wrong(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    fleet.note_failed(call, worker);
    call.callbacks->on_headers(200, {{platform::kRequestId, call.header(platform::kRequestId)}});
    return true;
}
inline bool reset_connection(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    fleet.note_failed(call, worker);
    call.fail(Ran::kUnknown);
    return true;
}
inline bool stay_silent(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    fleet.note_failed(call, worker);
    return true;
}
inline bool truncate_answer(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    fleet.note_failed(call, worker);
    call.begin();
    call.event(1);
    call.fail(Ran::kUnknown);
    return true;
}
inline bool fail_some(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    return fleet.unit() < 0.45 && answer_500(fleet, call, worker);
}
inline bool fail_by_turns(failing_fleet &fleet, ScriptedCall &call, size_t worker) {
    const Duration now = fleet.cluster.clock.monotonic_now().time_since_epoch();
    const bool down = (now / milliseconds(1400)) % 2 == 0;
    return down && answer_500(fleet, call, worker);
}

} // namespace chalkshed

#endif
