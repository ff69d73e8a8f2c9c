#include "tests/soak/fleet/ready_nodes.h"

namespace chalkshed::soak {
namespace {

constexpr Duration kInterval = std::chrono::seconds(1);
constexpr int kMostMissed = 2;

} // namespace

ready_nodes::ready_nodes(role_process &process) : process_(process) {
    for (uint64_t node = 0; node < process.options.plan.nodes; ++node) {
        add(node);
    }
    ask_all();
}

void ready_nodes::add(uint64_t node) {
    nodes_.push_back({node, kMostMissed});
}

uint64_t ready_nodes::any() {
    std::vector<uint64_t> ready;
    for (const state &each : nodes_) {
        if (each.missed < kMostMissed) {
            ready.push_back(each.node);
        }
    }
    if (2 * ready.size() < nodes_.size()) {
        return nodes_[process_.random.below(nodes_.size())].node;
    }
    return ready[process_.random.below(ready.size())];
}

uint64_t ready_nodes::other_than(uint64_t node) {
    constexpr int kTries = 8;
    uint64_t other = any();
    for (int tries = 0; tries < kTries && other == node; ++tries) {
        other = any();
    }
    return other;
}

void ready_nodes::ask_all() {
    for (state &each : nodes_) {
        ask(each);
    }
    process_.later(kInterval, [this] { ask_all(); });
}

void ready_nodes::ask(state &of) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/readiness";
    HttpCallOptions how;
    how.pool = "readiness";
    how.idle_timeout = kInterval;
    const uint64_t node = of.node;
    const size_t place = static_cast<size_t>(&of - nodes_.data());
    process_.client.fetch(process_.options.layout.node_readiness(node), request, how,
                          [this, place](const Expected<HttpResponse> &answer) {
                              const bool ready = answer && answer->status == 200;
                              state &asked = nodes_[place];
                              asked.missed = ready ? 0 : asked.missed + 1;
                          });
}

} // namespace chalkshed::soak
