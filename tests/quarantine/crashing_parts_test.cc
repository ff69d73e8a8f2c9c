/** \file
 * Guards against a part of prompts that crashes worker after worker: requests with that part have
 * contents of their own, so that no evidence against them added up. */

#include <gtest/gtest.h>

#include <cstdio>

#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

/** Requests with fatal parts among sound ones, at random nodes. */
struct part_load {
    std::string name;
    size_t nodes = 63;
    size_t workers = 90;
    double fatal_per_second = 30;
    double sound_per_second = 250;
    /** The shared parts of the fatal requests, of which they carry one list in turn. */
    std::vector<std::vector<std::string>> fatal_prompts = {{"route", "fatal"}};
    /** The shared parts of the sound requests, in turn. */
    std::vector<std::vector<std::string>> sound_prompts = {{"route", "m0"}, {"route", "m1"}};
    std::set<std::string> fatal_parts = {"fatal"};
    size_t versions = 1;
    std::string fatal_version;
    std::string path = "/stream/1";
    Duration crash_after = milliseconds(2);
    Duration crash_by = milliseconds(200);
    Duration restarts_after = milliseconds(2500);
    /** Workers crash for other reasons, one in this time; 0: none. */
    Duration other_crashes{0};
    uint64_t seed = 1;
    Duration length = seconds(10);
};

struct part_result {
    size_t crashes = 0;
    /** Runs of the part with most of them that were sent later than 3 s after its fifth crash. */
    size_t sent_late = 0;
    size_t sound = 0;
    /** Sound requests whose answer began, each with a single attempt of its caller. */
    size_t sound_began = 0;
    size_t sound_held = 0;
};

/** A caller that sends its request up to three times. */
class retrying_caller {
public:
    retrying_caller(crashing_fleet &fleet, const part_load &load, std::string content,
                    std::string prompt)
        : fleet_(fleet), path_(load.path), content_(std::move(content)),
          prompt_(std::move(prompt)) {
        send();
    }
    /** Sends the request again if its last attempt has failed. */
    void check() {
        constexpr int kMaxTries = 3;
        const bool failed = seen_->aborted || (seen_->finished && seen_->status != 200);
        if (failed && tries_ < kMaxTries) {
            send();
        }
    }

private:
    void send() {
        ++tries_;
        seen_ = fleet_.send(fleet_.random_node(), path_, content_, prompt_);
    }

    crashing_fleet &fleet_;
    const std::string path_;
    const std::string content_;
    const std::string prompt_;
    int tries_ = 0;
    SeenAnswerPtr seen_;
};

std::string prompt_of(const std::vector<std::string> &shared, size_t number) {
    std::string prompt;
    for (const std::string &part : shared) {
        prompt += part + ":200,";
    }
    return prompt + "own" + std::to_string(number) + ":50";
}

/** Whether `step` begins one of `per_second` equal periods. */
bool due(size_t step, double per_second) {
    constexpr double kStepsPerSecond = 1000;
    const auto periods = [&](size_t at) {
        return static_cast<size_t>(static_cast<double>(at) * per_second / kStepsPerSecond);
    };
    return periods(step + 1) > periods(step);
}

crashing_fleet::knobs fleet_knobs(const part_load &load) {
    crashing_fleet::knobs knobs;
    knobs.nodes = load.nodes;
    knobs.workers = load.workers;
    knobs.crash_after = load.crash_after;
    knobs.crash_by = load.crash_by;
    knobs.events_before_crash = 1;
    knobs.restarts_after = load.restarts_after;
    knobs.versions = load.versions;
    knobs.seed = load.seed;
    return knobs;
}

part_result play(const part_load &load) {
    crashing_fleet fleet(fleet_knobs(load));
    fleet.fatal_parts = load.fatal_parts;
    fleet.fatal_version = load.fatal_version;
    std::vector<retrying_caller> fatal;
    std::vector<SeenAnswerPtr> sound;
    constexpr Duration kStep = milliseconds(1);
    // Sound requests alone at first, as in a fleet that has served for a while.
    constexpr size_t kStepsBefore = 2000;
    const auto other_crash_steps = static_cast<size_t>(load.other_crashes / kStep);
    for (size_t step = 0; step < static_cast<size_t>(load.length / kStep); ++step) {
        if (step >= kStepsBefore && due(step, load.fatal_per_second)) {
            const size_t number = fatal.size();
            const auto &shared = load.fatal_prompts[number % load.fatal_prompts.size()];
            fatal.emplace_back(fleet, load, "fatal " + std::to_string(number),
                               prompt_of(shared, number));
        }
        if (due(step, load.sound_per_second)) {
            const size_t number = sound.size();
            const auto &shared = load.sound_prompts[number % load.sound_prompts.size()];
            sound.push_back(fleet.send(fleet.random_node(), load.path,
                                       "sound " + std::to_string(number),
                                       prompt_of(shared, number)));
        }
        if (other_crash_steps > 0 && step % other_crash_steps == other_crash_steps - 1) {
            fleet.stop_random_worker();
        }
        for (retrying_caller &caller : fatal) {
            caller.check();
        }
        fleet.run_for(kStep, kStep);
    }
    fleet.run_for(seconds(2));
    part_result result;
    for (const std::string &part : load.fatal_parts) {
        result.crashes += fleet.crashes[part].size();
        result.sent_late = std::max(result.sent_late, fleet.runs_after_crash(part, 5, seconds(3)));
    }
    result.sound = sound.size();
    for (const SeenAnswerPtr &answer : sound) {
        result.sound_began += answer->status == 200 ? 1 : 0;
        const bool held = answer->body.find("workers crashed while running") != std::string::npos;
        result.sound_held += held ? 1 : 0;
    }
    return result;
}

constexpr double kMinSoundShare = 0.95;

void expect_held(part_load load, uint64_t seeds = 2) {
    for (load.seed = 1; load.seed <= seeds; ++load.seed) {
        SCOPED_TRACE(load.name + ", seed " + std::to_string(load.seed));
        const part_result result = play(load);
        const double share =
            static_cast<double>(result.sound_began) / static_cast<double>(result.sound);
        std::printf("%s, seed %d: %zu workers crashed, %zu runs late, sound began %.3f\n",
                    load.name.c_str(), static_cast<int>(load.seed), result.crashes,
                    result.sent_late, share);
        EXPECT_GE(result.crashes, 1U);
        EXPECT_EQ(result.sent_late, 0U);
        EXPECT_EQ(result.sound_held, 0U);
        EXPECT_GE(share, kMinSoundShare);
    }
}

part_load small_fleet(const std::string &name) {
    part_load load;
    load.name = name;
    load.nodes = 10;
    load.workers = 18;
    load.fatal_per_second = 5;
    load.sound_per_second = 60;
    return load;
}

TEST(CrashingParts, AMiddlePartIsHeldAndSoundRequestsGoOn) {
    part_load load;
    load.name = "a middle part";
    expect_held(load, 1);
}

TEST(CrashingParts, AMiddlePartIsHeldInASmallFleet) {
    part_load load = small_fleet("a middle part, small fleet");
    load.fatal_prompts = {{"route", "fatal", "x0"}, {"route", "fatal", "x1"}};
    load.sound_prompts = {{"route", "m0", "x0"}, {"route", "m1", "x1"}};
    expect_held(load);
}

// All requests of the route hold the part, and those of the other route are sound.
TEST(CrashingParts, TheFirstPartIsHeldAndOtherRoutesGoOn) {
    part_load load = small_fleet("the first part");
    load.fatal_prompts = {{"fatal", "m0"}, {"fatal", "m1"}, {"fatal", "m2"}};
    load.sound_prompts = {{"other", "m0"}, {"other", "m1"}};
    expect_held(load);
}

TEST(CrashingParts, TwoPartsAtOnceAreHeld) {
    part_load load;
    load.name = "two parts at once";
    load.fatal_prompts = {{"route", "fatal"}, {"route", "fatal2"}};
    load.fatal_parts = {"fatal", "fatal2"};
    expect_held(load, 1);
}

TEST(CrashingParts, APartIsHeldWhenSoundRequestsAreRare) {
    part_load load = small_fleet("few sound requests");
    load.sound_per_second = 2;
    load.length = seconds(30);
    expect_held(load);
}

TEST(CrashingParts, APartIsHeldWhenNoSoundRequestHoldsItsFirstPart) {
    part_load load = small_fleet("no sound request with the first part");
    load.sound_prompts = {{"other", "m0"}};
    expect_held(load);
}

// The second part is in all fatal requests and in few sound ones.
TEST(CrashingParts, ANewPartBehindANewPartIsHeldAlone) {
    part_load load = small_fleet("a new part behind a new part");
    load.fatal_prompts = {{"route", "new", "fatal"}};
    load.sound_prompts = {{"route", "m0"}, {"route", "m1"}, {"route", "m2"}, {"route", "new"}};
    expect_held(load);
}

TEST(CrashingParts, AHundredPerSecondAreHeld) {
    part_load load;
    load.name = "100 fatal requests a second";
    load.fatal_per_second = 100;
    expect_held(load, 1);
}

TEST(CrashingParts, APartIsHeldWhileOtherWorkersCrash) {
    part_load load;
    load.name = "workers crash for other reasons";
    load.other_crashes = milliseconds(300);
    expect_held(load, 1);
}

TEST(CrashingParts, ARequestOfARouteThatCannotBeResumedIsHeld) {
    part_load load = small_fleet("a route that cannot be resumed");
    load.path = "/plain/1";
    expect_held(load);
}

// Racks fail, connections are reset, workers are replaced and nodes are killed; no part crashes
// any.
TEST(CrashingParts, NoSoundPartIsHeldWhenWorkersCrashForOtherReasons) {
    constexpr uint64_t kSeeds = 10;
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        part_load load;
        load.nodes = 9;
        load.workers = 24;
        load.seed = seed;
        crashing_fleet fleet(fleet_knobs(load));
        std::vector<SeenAnswerPtr> answers;
        for (size_t step = 0; step < 1200; ++step) {
            const std::vector<std::string> shared = {"route" + std::to_string(step % 2),
                                                     "m" + std::to_string(step % 40)};
            answers.push_back(fleet.send(fleet.random_node(), "/stream/1",
                                         "sound " + std::to_string(step), prompt_of(shared, step)));
            if (step % 200 == 50) {
                for (size_t worker = 0; worker < 5; ++worker) {
                    fleet.stop_worker(5 * (step / 200 % 4) + worker);
                }
            }
            if (step % 70 == 20) {
                fleet.stop_random_worker();
            }
            if (step % 150 == 100) {
                fleet.reset_connections(fleet.random_node());
            }
            if (step % 160 == 130) {
                fleet.replace_worker(step % load.workers);
            }
            if (step % 400 == 300) {
                const std::string node = fleet.random_node();
                fleet.cluster.kill_node(node);
                fleet.cluster.start_node(node);
            }
            fleet.run_for(milliseconds(10));
        }
        for (const SeenAnswerPtr &answer : answers) {
            EXPECT_EQ(answer->body.find("workers crashed while running"), std::string::npos)
                << "seed " << seed;
        }
    }
}

// Workers of the other version run requests with the part.
TEST(CrashingParts, APartThatCrashesOneVersionRunsAtTheOther) {
    part_load load = small_fleet("a part that crashes one version");
    load.versions = 2;
    load.fatal_version = "2";
    for (load.seed = 1; load.seed <= 2; ++load.seed) {
        crashing_fleet fleet(fleet_knobs(load));
        fleet.fatal_parts = load.fatal_parts;
        fleet.fatal_version = load.fatal_version;
        std::vector<SeenAnswerPtr> later;
        constexpr int kSteps = 60;
        for (int step = 0; step < kSteps; ++step) {
            const SeenAnswerPtr seen =
                fleet.send(fleet.random_node(), load.path, "request " + std::to_string(step),
                           prompt_of({"route", "fatal"}, static_cast<size_t>(step)));
            if (step >= kSteps / 2) {
                later.push_back(seen);
            }
            fleet.run_for(milliseconds(150));
        }
        fleet.run_for(seconds(2));
        EXPECT_LE(fleet.crashes["fatal"].size(), 8U);
        for (const SeenAnswerPtr &answer : later) {
            EXPECT_EQ(answer->status, 200);
            EXPECT_TRUE(answer->finished);
        }
    }
}

/** \return A fleet in which a part has crashed workers and is held. */
std::unique_ptr<crashing_fleet> fleet_with_held_part(const crashing_fleet::knobs &knobs) {
    auto fleet = std::make_unique<crashing_fleet>(knobs);
    fleet->fatal_parts = {"fatal"};
    for (size_t step = 0; step < 12; ++step) {
        fleet->send(fleet->next_node(), "/stream/1", "fatal " + std::to_string(step),
                    prompt_of({"route", "fatal"}, step));
        fleet->run_for(milliseconds(200));
    }
    fleet->run_for(seconds(2));
    return fleet;
}

SeenAnswerPtr send_fatal(crashing_fleet &fleet, const std::string &node, const std::string &name) {
    SeenAnswerPtr seen =
        fleet.send(node, "/stream/1", "fatal " + name, prompt_of({"route", "fatal"}, name.size()));
    fleet.run_for(seconds(1));
    return seen;
}

TEST(CrashingParts, AHeldRequestIsRefusedAtOnceAndNeverRuns) {
    const auto fleet = fleet_with_held_part({});
    const size_t runs = fleet->runs.size();
    const SeenAnswerPtr seen =
        fleet->send("n0", "/stream/1", "late", prompt_of({"route", "fatal"}, 1));
    ASSERT_TRUE(seen->finished);
    EXPECT_EQ(seen->status, 503);
    EXPECT_GE(std::stod(seen->header("Retry-After")), 1.0);
    fleet->run_for(seconds(3));
    EXPECT_EQ(fleet->runs.size(), runs);
}

TEST(CrashingParts, AHeldPartIsKnownAfterAllNodesHaveRestarted) {
    const auto fleet = fleet_with_held_part({});
    const size_t runs = fleet->runs.size();
    for (const char *node : {"n0", "n1", "n2"}) {
        fleet->cluster.kill_node(node);
    }
    for (const char *node : {"n0", "n1", "n2"}) {
        fleet->cluster.start_node(node);
    }
    fleet->run_for(seconds(4));
    EXPECT_EQ(send_fatal(*fleet, "n1", "after the restart")->status, 503);
    EXPECT_EQ(fleet->runs.size(), runs);
}

TEST(CrashingParts, AHeldPartIsKnownToANodeThatNoPeerReaches) {
    crashing_fleet::knobs knobs;
    knobs.nodes = 4;
    crashing_fleet fleet(knobs);
    fleet.fatal_parts = {"fatal"};
    fleet.cluster.hub.cut.insert(fleet.cluster.nodes.at("n3")->address);
    for (size_t step = 0; step < 12; ++step) {
        fleet.send("n" + std::to_string(step % 3), "/stream/1", "fatal " + std::to_string(step),
                   prompt_of({"route", "fatal"}, step));
        fleet.run_for(milliseconds(200));
    }
    fleet.run_for(seconds(2));
    const size_t runs = fleet.runs.size();
    EXPECT_EQ(send_fatal(fleet, "n3", "at the node that is cut off")->status, 503);
    EXPECT_EQ(fleet.runs.size(), runs);
}

TEST(CrashingParts, APartOfAnotherTenantIsNotHeld) {
    const auto fleet = fleet_with_held_part({});
    ServingRequest request;
    request.host = "a.example";
    request.tenant = "another";
    request.prompt = {{"route", 200}, {"fatal", 200}, {"own", 50}};
    set_digests(request);
    EXPECT_FALSE(fleet->cluster.node("n0").quarantine().refuses(request, "engines"));
    request.tenant = "";
    set_digests(request);
    EXPECT_TRUE(fleet->cluster.node("n0").quarantine().refuses(request, "engines"));
}

std::string listing(crashing_fleet &fleet, const std::string &method, const std::string &path) {
    HttpRequest request;
    request.method = method;
    request.path = path;
    request.peer.ip = "127.0.0.1";
    auto seen = std::make_shared<SeenAnswer>();
    fleet.cluster.node("n0").operator_handler().handle(std::move(request),
                                                       std::make_unique<FakeWriter>(seen));
    return seen->body;
}

TEST(CrashingParts, AnOperatorReleasesAPartAtAllNodes) {
    const auto fleet = fleet_with_held_part({});
    fleet->fatal_parts.clear();
    const auto listed =
        nlohmann::json::parse(listing(*fleet, "GET", "/admin/quarantine")).at("contents");
    size_t held = 0;
    for (const nlohmann::json &entry : listed) {
        if (entry.at("kind") == "part" && entry.at("held").get<bool>()) {
            ++held;
            const std::string digest = entry.at("content").get<std::string>();
            listing(*fleet, "POST", "/admin/quarantine/" + digest + "/release");
        }
    }
    EXPECT_GE(held, 1U);
    fleet->run_for(seconds(2));
    EXPECT_EQ(send_fatal(*fleet, "n2", "after the release")->status, 200);
}

TEST(CrashingParts, AnItemWithAHeldPartWaits) {
    const auto fleet = fleet_with_held_part({});
    const size_t runs = fleet->runs.size();
    RequestJob job;
    job.id = "job";
    job.host = "a.example";
    job.path = "/batch/j";
    const nlohmann::json headers = {{platform::kPromptPrefix, prompt_of({"route", "fatal"}, 1)}};
    job.content = nlohmann::json{{"requests",
                                  {{{"id", "item"},
                                    {"path", "/batch/x"},
                                    {"headers", headers},
                                    {"body", encode_base64("item")},
                                    {"tokens", 10}}}}}
                      .dump();
    job.items = *job_wire().decode_items(job.host, job.content);
    fleet->cluster.node("n1").jobs().submit(job, [](const Expected<std::monostate> &) {});
    fleet->run_for(seconds(10));
    EXPECT_EQ(fleet->runs.size(), runs);
}

TEST(SharedParts, AreAllButTheLastAndEachOnce) {
    ServingRequest request;
    request.prompt = {{"a", 1}, {"b", 1}, {"a", 1}, {"", 0}, {"own", 1}};
    EXPECT_EQ(shared_part_digests(request).size(), 2U);
    request.prompt = {{"own", 1}};
    EXPECT_TRUE(shared_part_digests(request).empty());
    request.prompt.clear();
    EXPECT_TRUE(shared_part_digests(request).empty());
}

TEST(SharedParts, AreLimitedInNumber) {
    constexpr size_t kMany = 10000;
    ServingRequest request;
    for (size_t number = 0; number < kMany; ++number) {
        request.prompt.push_back({std::to_string(number), 1});
    }
    EXPECT_EQ(shared_part_digests(request).size(), kMaxSharedParts);
}

TEST(SharedParts, DifferByTenantHostAndModel) {
    ServingRequest request;
    request.prompt = {{"a", 1}, {"own", 1}};
    std::set<uint64_t> digests = {shared_part_digests(request).front()};
    request.tenant = "t";
    digests.insert(shared_part_digests(request).front());
    request.host = "h";
    digests.insert(shared_part_digests(request).front());
    request.model = "m";
    digests.insert(shared_part_digests(request).front());
    EXPECT_EQ(digests.size(), 4U);
}

} // namespace
} // namespace chalkshed
