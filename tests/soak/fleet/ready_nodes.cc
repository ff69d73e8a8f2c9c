#include "tests/soak/fleet/ready_nodes.h"

namespace chalkshed::soak {
namespace {

constexpr Duration kProbeInterval = std::chrono::seconds(1);
constexpr int kMaxFailedProbes = 2;

} // namespace

ready_nodes::ready_nodes(role_process &process) : process_(process) {
    for (uint64_t node = 0; node < process.options.plan.nodes; ++node) {
        add(node);
    }
    probe_all();
}

void ready_nodes::add(uint64_t node) {
    nodes_.push_back({node, kMaxFailedProbes});
}

uint64_t ready_nodes::pick() {
    std::vector<uint64_t> ready;
    for (const state &each : nodes_) {
        if (each.failed_probes < kMaxFailedProbes) {
            ready.push_back(each.node);
        }
    }
    if (2 * ready.size() < nodes_.size()) {
        return nodes_[process_.random.below(nodes_.size())].node;
    }
    return ready[process_.random.below(ready.size())];
}

uint64_t ready_nodes::pick_other_than(uint64_t node) {
    constexpr int kTries = 8;
    uint64_t other = pick();
    for (int tries = 0; tries < kTries && other == node; ++tries) {
        other = pick();
    }
    return other;
}

void ready_nodes::probe_all() {
    for (state &each : nodes_) {
        probe(each);
    }
    process_.run_after(kProbeInterval, [this] { probe_all(); });
}

void ready_nodes::probe(state &target) {
    HttpRequest request;
    request.method = "GET";
    request.path = "/readiness";
    HttpCallOptions call_options;
    call_options.pool = "readiness";
    call_options.idle_timeout = kProbeInterval;
    const uint64_t node = target.node;
    const size_t index = static_cast<size_t>(&target - nodes_.data());
    process_.client.fetch(process_.options.layout.node_readiness(node), request, call_options,
                          [this, index](const Expected<HttpResponse> &answer) {
                              const bool ready = answer && answer->status == 200;
                              state &asked = nodes_[index];
                              asked.failed_probes = ready ? 0 : asked.failed_probes + 1;
                          });
}

} // namespace chalkshed::soak
