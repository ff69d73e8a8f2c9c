/** \file
 * A fatal request is sent again and again while nodes are lost, restarted, frozen and cut off and
 * the store is in trouble, among innocent ones and ends of workers that nobody caused. */

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include "tests/jobs/cluster_faults.h"
#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

constexpr const char *kFatal = "ends its worker";
constexpr Duration kContact = seconds(3);
constexpr size_t kMostLateRuns = 3;

class quarantine_run {
public:
    /** \param shrunk_evidence Evidence that a safeguard is needed: see the last tests. */
    explicit quarantine_run(const ServingNodeKnobs &node = {})
        : fleet_(knobs_with(node)), troubles_(fleet_.cluster, milliseconds(100)) {
        fleet_.fatal = {kFatal};
    }

    void play(const std::vector<Step> &steps) {
        for (const Step &step : steps) {
            take(step);
            load(step.then);
        }
        troubles_.heal();
        for (size_t node = 0; node < kNodes; ++node) {
            disturb(node, false);
        }
        store_out_ = false;
        store_disturbed_ = now();
        load(seconds(8));
    }

    /** Fatal runs that count: by nodes that nothing has happened to for a while, nor to the store.
     */
    size_t late_runs() const {
        return late_runs_;
    }
    const std::set<uint64_t> &held() const {
        return fleet_.held;
    }

private:
    static ending_fleet::knobs knobs_with(const ServingNodeKnobs &node) {
        ending_fleet::knobs knobs;
        knobs.nodes = kNodes;
        knobs.node = node;
        return knobs;
    }
    MonotonicTime now() const {
        return fleet_.cluster.clock.monotonic_now();
    }

    void take(const Step &step) {
        switch (step.event) {
        case Event::kSend:
        case Event::kEnd:
            fleet_.end_worker(step.node + 7 * (fleet_.runs.size() % 2));
            return;
        case Event::kKill:
        case Event::kRestart:
        case Event::kPlannedStop:
            disturb(step.node, false);
            break;
        case Event::kCutFromStore:
        case Event::kFreeze:
            disturb(step.node, !out_[step.node]);
            break;
        case Event::kCutFromPeers:
            break;
        default:
            store_disturbed_ = now();
            store_out_ = step.event != Event::kStoreHealthy;
            break;
        }
        troubles_.take(step);
    }
    void disturb(size_t node, bool out) {
        out_[node] = out;
        disturbed_[node] = now();
    }

    /** Innocent requests each 60 ms, a fatal one each 300. */
    void load(Duration length) {
        for (Duration passed{0}; passed < length; passed += milliseconds(60)) {
            ++sent_;
            send("other " + std::to_string(sent_));
            send("status");
            if (sent_ % 5 == 0) {
                send(kFatal);
            }
            fleet_.run_for(milliseconds(60));
            count_late_runs();
        }
    }
    void send(const std::string &content) {
        const std::string node = "n" + std::to_string((sent_ * 7 + content.size()) % kNodes);
        const auto &found = fleet_.cluster.nodes.at(node);
        if (found && !found->dispatcher.frozen() && found->node.not_ready_reason() == nullptr) {
            fleet_.send(node, "/fixed/1", content);
        }
    }

    void count_late_runs() {
        const std::vector<MonotonicTime> &ends = fleet_.ends[kFatal];
        for (; counted_ < fleet_.runs.size(); ++counted_) {
            const ending_fleet::fatal_run &run = fleet_.runs[counted_];
            const size_t node = std::stoul(run.node.substr(1));
            const bool late = ends.size() >= 3 && run.sent > ends[2] + kContact;
            const bool in_touch = !out_[node] && run.sent > disturbed_[node] + kContact &&
                                  !store_out_ && run.sent > store_disturbed_ + kContact;
            late_runs_ += late && in_touch ? 1 : 0;
        }
    }

    ending_fleet fleet_;
    ClusterFaults troubles_;
    std::map<size_t, MonotonicTime> disturbed_;
    std::map<size_t, bool> out_;
    MonotonicTime store_disturbed_{};
    bool store_out_ = false;
    uint64_t sent_ = 0;
    size_t counted_ = 0;
    size_t late_runs_ = 0;
};

std::vector<Step> any_steps() {
    constexpr int kMostSteps = 24;
    const int count = *rc::gen::inRange(0, kMostSteps + 1);
    return *rc::gen::container<std::vector<Step>>(static_cast<size_t>(count),
                                                  any_step(Event::kCount));
}

RC_GTEST_PROP(QuarantineProperty, AFatalRequestReachesFewWorkersAndNoInnocentOneIsHeld, ()) {
    quarantine_run run;
    run.play(any_steps());
    RC_ASSERT(run.late_runs() <= kMostLateRuns);
    for (const uint64_t digest : run.held()) {
        RC_ASSERT(digest == ending_fleet::digest_of("/fixed/1", kFatal));
    }
}

TEST(QuarantineSafeguards, WithoutQuarantineTheCheckOfLateRunsFails) {
    ServingNodeKnobs off;
    off.quarantine.evidence.ends_to_quarantine = SIZE_MAX;
    quarantine_run run(off);
    run.play({});
    EXPECT_GT(run.late_runs(), kMostLateRuns);
}

/** \return Late runs of a fatal content that comes to 12 nodes in turn. */
size_t late_runs_among_many_nodes(bool datagrams, bool rows) {
    ending_fleet::knobs knobs;
    knobs.nodes = 12;
    ending_fleet fleet(knobs);
    fleet.fatal = {kFatal};
    for (const auto &[name, node] : fleet.cluster.nodes) {
        if (!datagrams) {
            fleet.cluster.hub.cut.insert(node->address);
        }
        node->store.set_cut(!rows);
    }
    for (int step = 0; step < 60; ++step) {
        fleet.send(fleet.any_node(), "/fixed/1", kFatal);
        fleet.run_for(milliseconds(300));
    }
    return fleet.late_runs(kFatal);
}

TEST(QuarantineSafeguards, WithoutRowsDatagramsSufficeAndWithoutBothTheCheckFails) {
    EXPECT_LE(late_runs_among_many_nodes(true, true), kMostLateRuns);
    EXPECT_LE(late_runs_among_many_nodes(true, false), kMostLateRuns);
    EXPECT_GT(late_runs_among_many_nodes(false, false), kMostLateRuns);
}

TEST(QuarantineSafeguards, WithOneEndForProofInnocentRequestsAreHeld) {
    ServingNodeKnobs hasty;
    hasty.quarantine.evidence.ends_to_quarantine = 1;
    quarantine_run run(hasty);
    run.play({});
    EXPECT_GT(run.held().size(), 1U);
}

} // namespace
} // namespace chalkshed
