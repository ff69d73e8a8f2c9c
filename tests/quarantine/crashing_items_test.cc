/** \file
 * Guards against jobs with several crashing items that cost more workers than the quarantine of
 * each content allows: workers were reached 8 to 12 times after three had crashed, and 40 to 55
 * crashed in total. */

#include <gtest/gtest.h>

#include <cstdio>

#include "src/jobs/job_rows.h"
#include "tests/quarantine/crashing_fleet.h"

namespace chalkshed {
namespace {

struct load {
    size_t jobs = 1;
    size_t crashing = 4;
    /** Each job carries the same crashing contents. */
    bool same_contents = false;
    uint64_t seed = 1;
    Duration length = seconds(40);
};

struct cost {
    size_t crashed_workers = 0;
    size_t contents = 0;
    /** The most crashes of one content. */
    size_t most_crashes = 0;
    /** The most runs of one content that begin after its third crash, and those that begin while
     * its first probe is not due. */
    size_t most_runs_after_third = 0;
    size_t most_early_runs = 0;
    size_t innocent_quarantined = 0;
    size_t unlisted_sound = 0;
};

constexpr size_t kSound = 6;

RequestJob job_of(crashing_fleet &fleet, const load &chosen, size_t number) {
    const std::string id = "job" + std::to_string(number);
    nlohmann::json requests = nlohmann::json::array();
    for (size_t item = 0; item < chosen.crashing + kSound; ++item) {
        const bool crashes = item < chosen.crashing;
        const std::string job = crashes && chosen.same_contents ? "" : id;
        const std::string body = (crashes ? "crashes " : "sound ") + job + std::to_string(item);
        if (crashes) {
            fleet.fatal.insert(body);
        }
        requests.push_back({{"id", id + "-" + std::to_string(item)},
                            {"path", "/batch/x"},
                            {"body", encode_base64(body)},
                            {"tokens", 10}});
    }
    RequestJob job;
    job.id = id;
    job.host = "a.example";
    job.path = "/batch/j";
    job.content = nlohmann::json{{"requests", requests}}.dump();
    job.items = *job_wire().decode_items(job.host, job.content);
    return job;
}

cost measure(const load &chosen) {
    crashing_fleet::knobs knobs;
    knobs.nodes = 30;
    knobs.workers = 90;
    knobs.crash_after = milliseconds(2);
    knobs.crash_by = milliseconds(90);
    knobs.seed = chosen.seed;
    crashing_fleet fleet(knobs);
    for (size_t number = 0; number < chosen.jobs; ++number) {
        fleet.cluster.node(fleet.next_node())
            .jobs()
            .submit(job_of(fleet, chosen, number), [](const Expected<std::monostate> &) {});
    }
    fleet.run_for(chosen.length);
    cost total;
    std::set<uint64_t> crashing;
    for (const std::string &content : fleet.fatal) {
        crashing.insert(crashing_fleet::digest_of("/batch/x", content));
        const std::vector<MonotonicTime> &crashes = fleet.crashes[content];
        ++total.contents;
        total.crashed_workers += crashes.size();
        total.most_crashes = std::max(total.most_crashes, crashes.size());
        total.most_runs_after_third =
            std::max(total.most_runs_after_third, fleet.late_runs(content, Duration(0)));
        total.most_early_runs =
            std::max(total.most_early_runs,
                     fleet.late_runs(content, Duration(0)) - fleet.late_runs(content, seconds(14)));
    }
    for (const uint64_t digest : fleet.quarantined_digests) {
        total.innocent_quarantined += crashing.contains(digest) ? 0 : 1;
    }
    for (size_t number = 0; number < chosen.jobs; ++number) {
        const RangePage listed = fleet.cluster.shared.rows.read(
            job_result_range("job" + std::to_string(number), 0, chosen.crashing + kSound));
        total.unlisted_sound += kSound - std::min(listed.rows.size(), kSound);
    }
    return total;
}

void print(const load &chosen, const cost &total) {
    std::printf(
        "%zu jobs of %zu crashing items%s, seed %d: %zu workers crashed under %zu contents; "
        "of one content at most %zu crashes, %zu runs after the third, %zu of them before "
        "its probe\n",
        chosen.jobs, chosen.crashing, chosen.same_contents ? " (the same)" : "",
        static_cast<int>(chosen.seed), total.crashed_workers, total.contents, total.most_crashes,
        total.most_runs_after_third, total.most_early_runs);
}

/** Three crashes quarantine a content, and one more run probes it within the time of the load. */
constexpr size_t kMostCrashes = 4;
constexpr uint64_t kSeeds = 4;

void expect_few_crashes(load chosen) {
    for (chosen.seed = 1; chosen.seed <= kSeeds; ++chosen.seed) {
        const cost total = measure(chosen);
        print(chosen, total);
        EXPECT_LE(total.most_crashes, kMostCrashes);
        EXPECT_LE(total.most_runs_after_third, 1U);
        EXPECT_EQ(total.most_early_runs, 0U);
        EXPECT_EQ(total.innocent_quarantined, 0U);
        EXPECT_EQ(total.unlisted_sound, 0U);
    }
}

TEST(CrashingItems, OneItemCrashesFewWorkers) {
    expect_few_crashes({1, 1});
}

// The runs of a job's items are lost at the same node at the same time, as if their connections had
// one cause of failure.
TEST(CrashingItems, SeveralItemsOfOneJobCrashNoMoreWorkersEachThanOne) {
    expect_few_crashes({1, 4});
    expect_few_crashes({1, 12});
}

TEST(CrashingItems, ItemsOfSeveralJobsCrashNoMoreWorkersEachThanOne) {
    expect_few_crashes({8, 4});
}

// The jobs have different owners, each of which runs and probes the item of its job.
TEST(CrashingItems, OneContentInSeveralJobsCrashesWorkersOneAtATime) {
    for (uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (const size_t jobs : {3U, 8U}) {
            const load chosen{jobs, 1, true, seed};
            const cost total = measure(chosen);
            print(chosen, total);
            // The copies that are in progress before the first crash is known, one more where all
            // of these crash within the time in which a rack may lose power, and one probe.
            EXPECT_LE(total.most_crashes, jobs + 2);
            EXPECT_LE(total.most_early_runs, 1U);
            EXPECT_LE(total.most_runs_after_third, 2U);
            EXPECT_EQ(total.unlisted_sound, 0U);
        }
    }
}

// An item that may crash its worker must take few other requests with it: 31 lost their workers to
// the second and later runs of four such items where these were placed like other items.
TEST(CrashingItems, ASuspectItemRunsWhereFewOtherRequestsRun) {
    crashing_fleet fleet;
    fleet.cluster.node("n0").jobs().submit(job_of(fleet, {1, 4}, 0),
                                           [](const Expected<std::monostate> &) {});
    const auto send_others = [&](int first, int last) {
        for (int number = first; number < last; ++number) {
            fleet.send(fleet.next_node(), "/stream/1", "other " + std::to_string(number));
            fleet.run_for(milliseconds(10));
        }
    };
    send_others(0, 20);
    const size_t by_first_runs = fleet.innocent_delays.size();
    send_others(20, 2000);
    EXPECT_LE(fleet.innocent_delays.size() - by_first_runs, 10U);
}

} // namespace
} // namespace chalkshed
