/** \file
 * Each check of the fleet soak passes valid records and reports a violation in modified ones.
 */

#include "tests/soak/fleet/checks.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <functional>
#include <nlohmann/json.hpp>
#include <sstream>

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

MonotonicTime at(int64_t ms) {
    return MonotonicTime(milliseconds(ms));
}

carried_message message(const std::string &path) {
    return {"POST", path, "", "digest of " + path, 15000, {{"x-soak-note", path}}};
}

/** The records of a run in which the case of each check occurs and no check fails. Nodes n-1 and
 * n-2 have the addresses 127.0.0.1 and 127.0.0.2. */
class fleet_checks : public ::testing::Test {
protected:
    fleet_checks() {
        for (const check_kind kind : all_checks()) {
            deployment_.floors[check_name(kind)] = 1;
        }
        add(node_start{at(0), "n-1", "127.0.0.1", 100});
        add(node_start{at(0), "n-2", "127.0.0.2", 101});
        add_requests();
        add_jobs();
        add_leaving_worker();
        add_fatal_content();
        add_versions();
        add_fatal_part();
        add_continued_run();
        add(process_lag{at(100'000), "caller-1", 100, milliseconds(1), milliseconds(5),
                        milliseconds(80)});
    }

    void add_requests() {
        add(online_send{at(10'000), "r-1", "n-1", message("/once/1"), true, false});
        begin(10'010, "r-1", message("/once/1"));
        add(online_answer{at(10'500), "r-1", 200, true, true});
        add(online_send{at(10'000), "r-2", "n-1", message("/once/2"), true, false});
        add(online_answer{at(10'100), "r-2", 503, true, true});
    }

    void add_jobs() {
        send_job(12'000, "j-done", 202);
        begin(12'500, "j-done-0", message("/list/j-done-0"));
        begin(12'600, "j-done-1", message("/list/j-done-1"));
        for (const int64_t when : {14'000, 15'000}) {
            add(listed_item{at(when), "j-done", 0, "j-done-1", true, true, {"v1"}});
            add(listed_item{at(when), "j-done", 1, "j-done-0", false, false});
        }
        send_job(16'000, "j-refused", 503);
        add(job_send{at(17'000), "j-refused", 1, "n-2", items_of("j-refused")});
        add(job_answer{at(17'010), "j-refused", 1, "n-2", 429});
        send_job(20'000, "j-ended", 202);
        begin(20'100, "j-ended-0", message("/list/j-ended-0"));
        add(end_send{at(20'500), "j-ended", "n-2"});
        add(end_answer{at(20'600), "j-ended", "n-2", 200});
        send_job(30'000, "j-unheard", 202);
        begin(30'100, "j-unheard-0", message("/list/j-unheard-0"));
        add(end_send{at(30'500), "j-unheard", "n-2"});
        add(end_answer{at(31'500), "j-unheard", "n-2", 0});
    }

    void add_leaving_worker() {
        add(online_send{at(40'000), "r-3", "n-1", message("/stream/3"), false, false});
        begin(40'010, "r-3", message("/stream/3"), "w-2");
        add(online_answer{at(40'500), "r-3", 200, true, true});
        add(worker_leaving{at(41'000), "w-2"});
        add(online_send{at(43'000), "r-4", "n-1", message("/stream/4"), false, false});
        begin(43'900, "r-4", message("/stream/4"), "w-2");
        add(online_answer{at(44'500), "r-4", 200, true, true});
    }

    /** A content that terminates three workers and, after the contact time, a fourth. */
    void add_fatal_content() {
        for (int64_t second = 50; second < 53; ++second) {
            send_fatal(second * 1000);
        }
        send_fatal(58'000);
    }
    void send_fatal(int64_t when, const std::string &sender = "127.0.0.1") {
        const std::string number = std::to_string(++fatal_);
        carried_message fatal = message("/stream/fatal");
        add(online_send{at(when), "f-" + number, "n-1", fatal, false, false});
        add(run_begin{at(when + 10), ++runs_, "w-f" + number, "engines", "f-" + number, fatal, 0,
                      sender});
        add(fatal_end{at(when + 50), "w-f" + number, "f-" + number, fatal.body_digest});
        add(run_end{at(when + 50), runs_, "w-f" + number, "f-" + number, run_outcome::kBroken});
        add(caller_left{at(when + 55), "f-" + number});
    }

    /** A stream of version 1 that its caller takes up at another node while two workers of that
     * version serve. */
    void add_versions() {
        for (const char *worker : {"w-10", "w-11"}) {
            add(worker_version{at(0), worker, "engines", "v1", true});
        }
        add(online_send{at(70'000), "s-1", "n-1", message("/stream/s"), false, false, "", true});
        begin(70'010, "s-1", message("/stream/s"), "w-10");
        add(caller_left{at(70'500), "s-1", {"v1"}});
        add(online_send{at(71'000), "s-2", "n-2", message("/stream/s"), false, false, "s-1", true});
        begin(71'010, "s-2", message("/stream/s"), "w-11", "127.0.0.2");
        add(online_answer{at(71'500), "s-2", 200, true, true, false, {"v1"}});
        add(online_send{at(72'000), "s-3", "n-1", message("/stream/t"), false, false, "", true});
        begin(72'010, "s-3", message("/stream/t"), "w-10");
        add(online_answer{at(72'500), "s-3", 200, true, true, false, {"v1"}});
    }

    /** A part that crashes a worker, a sound request with the same first part while the part is
     * requested, and a request with the part that is refused. */
    void add_fatal_part() {
        send_part(80'000);
        send_sound(90'000, "p-sound");
        const carried_message refused = part_message("p-refused", "fatal-part-0");
        add(online_send{at(95'000), "p-refused", "n-1", refused, false, false});
        add(online_answer{at(95'001), "p-refused", 503, true, true, true});
    }
    /** \return A request of its own content whose second part is that one. */
    static carried_message part_message(const std::string &id, const std::string &second) {
        carried_message with = message("/stream/" + id);
        with.headers.push_back({"chalkshed-prompt-prefix", "a0:1," + second + ":1,own:1"});
        return with;
    }
    void send_part(int64_t when) {
        const std::string id = "p-" + std::to_string(++parts_sent_);
        const carried_message fatal = part_message(id, "fatal-part-0");
        add(online_send{at(when), id, "n-1", fatal, false, false});
        begin(when + 10, id, fatal, "w-" + id);
        add(fatal_end{at(when + 50), "w-" + id, id, "fatal-part-0"});
        add(caller_left{at(when + 55), id});
    }
    void send_sound(int64_t when, const std::string &id, int status = 200) {
        const carried_message sound = part_message(id, "other");
        add(online_send{at(when), id, "n-1", sound, false, false});
        if (status == 200) {
            begin(when + 10, id, sound);
        }
        add(online_answer{at(when + 100), id, status, true, true});
    }

    /** A stream that goes on at a second worker after event 3; the first run ends 100 ms later. */
    void add_continued_run() {
        add(online_send{at(96'000), "c-1", "n-1", message("/stream/c"), false, false});
        begin(96'010, "c-1", message("/stream/c"), "w-20");
        add(run_end{at(96'600), runs_, "w-20", "c-1", run_outcome::kLeft});
        begin(96'500, "c-1", message("/stream/c"), "w-21");
        std::get<run_begin>(records_.back()).resume_after = 3;
        add(online_answer{at(97'000), "c-1", 200, true, true});
    }

    static std::vector<sent_item> items_of(const std::string &job) {
        return {{job + "-0", message("/list/" + job + "-0")},
                {job + "-1", message("/list/" + job + "-1")}};
    }

    void send_job(int64_t when, const std::string &job, int status) {
        add(job_send{at(when), job, 0, "n-1", items_of(job)});
        add(job_answer{at(when + 10), job, 0, "n-1", status});
    }

    /** A run at a worker, sent by n-1 unless told otherwise. */
    void begin(int64_t when, const std::string &id, carried_message message,
               const std::string &worker = "w-1", const std::string &sender = "127.0.0.1") {
        add(run_begin{at(when), ++runs_, worker, "engines", id, std::move(message), 0, sender});
    }
    void begin_item(int64_t when, const std::string &item,
                    const std::string &sender = "127.0.0.1") {
        begin(when, item, message("/list/" + item), "w-1", sender);
    }

    void disturb(int64_t from, int64_t to, disturbed_part part, const std::string &target) {
        add(disturbance{at(from), at(to), "trouble", part, target});
    }

    void add(record entry) {
        records_.push_back(std::move(entry));
    }

    /** The first record of that type for which `matches` is true. */
    template <class Type, class Matches> Type &find(Matches matches) {
        for (record &entry : records_) {
            Type *found = std::get_if<Type>(&entry);
            if (found != nullptr && matches(*found)) {
                return *found;
            }
        }
        throw std::out_of_range("no such record");
    }
    run_begin &run_of(const std::string &id) {
        return find<run_begin>([&](const run_begin &run) { return run.id == id; });
    }
    online_answer &answer_of(const std::string &id) {
        return find<online_answer>([&](const online_answer &answer) { return answer.id == id; });
    }

    check_report judge() {
        std::stable_sort(
            records_.begin(), records_.end(),
            [](const record &one, const record &other) { return time_of(one) < time_of(other); });
        return check_records(records_, deployment_);
    }

    /** Expects these counts from this check and no violations from others. */
    void expect_found(check_kind kind, uint64_t violations, uint64_t excused = 0) {
        const check_report report = judge();
        std::ostringstream printed;
        print_report(report, printed);
        EXPECT_EQ(report.checks.at(kind).violations, violations) << printed.str();
        EXPECT_EQ(report.checks.at(kind).excused, excused) << printed.str();
        EXPECT_EQ(report.violations(), violations) << printed.str();
        EXPECT_EQ(report.passed(), violations == 0) << printed.str();
    }

    /** Expects these violations by check and none from other checks. */
    void expect_all_found(const std::map<check_kind, uint64_t> &violations) {
        const check_report report = judge();
        for (const check_kind kind : all_checks()) {
            const auto expected = violations.find(kind);
            EXPECT_EQ(report.checks.at(kind).violations,
                      expected == violations.end() ? 0 : expected->second)
                << check_name(kind);
        }
    }

    deployment deployment_;
    std::vector<record> records_;
    uint64_t runs_ = 0;
    uint64_t fatal_ = 0;
    uint64_t parts_sent_ = 0;
};

TEST_F(fleet_checks, pass_valid_records_and_count_each_case) {
    const check_report report = judge();
    for (const check_kind kind : all_checks()) {
        EXPECT_EQ(report.checks.at(kind).violations, 0U) << check_name(kind);
        EXPECT_EQ(report.checks.at(kind).excused, 0U) << check_name(kind);
        EXPECT_GE(report.checks.at(kind).tested, 1U) << check_name(kind);
    }
    EXPECT_TRUE(report.passed());
    EXPECT_EQ(report.runs, 18U);
    EXPECT_EQ(report.checks.at(check_kind::kSent).tested, 18U);
    EXPECT_EQ(report.checks.at(check_kind::kListing).tested, 2U);
}

// A part that crashes workers is kept from them, and sound requests begin as before.

TEST_F(fleet_checks, a_part_that_reaches_workers_after_its_fifth_crash_is_found) {
    for (int64_t when = 81'000; when < 83'000; when += 500) {
        send_part(when);
    }
    for (int64_t when = 93'000; when < 93'300; when += 100) {
        send_part(when);
    }
    expect_found(check_kind::kFatalPart, 0);
    send_part(94'000);
    expect_found(check_kind::kFatalPart, 1);
}

TEST_F(fleet_checks, sound_requests_that_begin_less_often_than_before_are_found) {
    for (int64_t number = 0; number < 20; ++number) {
        send_sound(76'000 + number, "before-" + std::to_string(number));
        send_sound(91'000 + number, "refused-" + std::to_string(number), number < 11 ? 503 : 200);
    }
    expect_found(check_kind::kSoundPart, 1);
}

// Streams and items hold events of one software version.

TEST_F(fleet_checks, a_stream_that_goes_on_at_another_version_is_found) {
    answer_of("s-2").versions = {"v2"};
    expect_found(check_kind::kStreamVersions, 1);
}

TEST_F(fleet_checks, an_answer_with_events_of_two_versions_is_found) {
    answer_of("s-3").versions = {"v1", "v2"};
    expect_found(check_kind::kStreamVersions, 1);
}

TEST_F(fleet_checks, an_item_with_events_of_two_versions_is_found_once) {
    for (record &entry : records_) {
        auto *listed = std::get_if<listed_item>(&entry);
        if (listed != nullptr && listed->completed) {
            listed->versions = {"v1", "v2"};
        }
    }
    expect_found(check_kind::kItemVersions, 1);
}

TEST_F(fleet_checks, a_version_of_an_older_build_is_excused) {
    find<node_start>([](const node_start &start) { return start.name == "n-2"; }).production = true;
    answer_of("s-2").versions = {"v2"};
    expect_found(check_kind::kStreamVersions, 0, 1);
}

TEST_F(fleet_checks, streams_that_seldom_go_on_are_found) {
    for (int64_t number = 0; number < 12; ++number) {
        const std::string id = "again-" + std::to_string(number);
        const int64_t when = 73'000 + 100 * number;
        add(online_send{at(when), id, "n-2", message("/stream/s"), false, false, "s-1", true});
        add(online_answer{at(when + 10), id, 503, true, true});
    }
    expect_found(check_kind::kTakenUp, 1);
}

// Every id that ran was sent before.

TEST_F(fleet_checks, a_run_that_nobody_sent_is_found) {
    begin(50'000, "r-never", message("/once/1"));
    expect_found(check_kind::kSent, 1);
}

TEST_F(fleet_checks, a_run_before_its_send_is_found) {
    run_of("r-1").at = at(9'999);
    expect_found(check_kind::kSent, 1);
}

TEST_F(fleet_checks, a_job_is_no_request_that_may_run) {
    begin(50'000, "j-done", message("/list/j-done-0"));
    expect_found(check_kind::kSent, 1);
}

// Requests reach workers unchanged.

TEST_F(fleet_checks, each_changed_part_of_a_request_is_found) {
    const std::vector<std::function<void(carried_message &)>> changes = {
        [](carried_message &got) { got.method = "PUT"; },
        [](carried_message &got) { got.path += "/"; },
        [](carried_message &got) { got.query = "a=b"; },
        [](carried_message &got) { got.body_digest += "0"; },
        [](carried_message &got) { --got.body_length; },
        [](carried_message &got) { got.headers.front().second += "0"; },
        [](carried_message &got) { got.headers.clear(); },
        [](carried_message &got) { got.headers.emplace_back("x-soak-note", "added"); },
    };
    for (const char *id : {"r-1", "j-done-0"}) {
        for (const auto &change : changes) {
            const carried_message sound = run_of(id).message;
            change(run_of(id).message);
            expect_found(check_kind::kUnaltered, 1);
            run_of(id).message = sound;
        }
    }
}

TEST_F(fleet_checks, the_message_of_another_request_is_found) {
    run_of("r-1").message = message("/once/2");
    expect_found(check_kind::kUnaltered, 1);
}

// Refused requests and jobs do not run.

TEST_F(fleet_checks, a_refused_request_that_runs_is_found_before_and_after_its_answer) {
    for (const int status : {429, 503, 408, 421}) {
        answer_of("r-2").status = status;
        begin(10'050, "r-2", message("/once/2"));
        expect_found(check_kind::kRefusedRequest, 1);
        run_of("r-2").at = at(60'000);
        expect_found(check_kind::kRefusedRequest, 1);
        std::erase_if(records_, [](const record &entry) {
            const auto *run = std::get_if<run_begin>(&entry);
            return run != nullptr && run->id == "r-2";
        });
    }
}

TEST_F(fleet_checks, an_untrue_refusal_is_never_excused) {
    disturb(9'000, 12'000, disturbed_part::kNode, "n-1");
    begin(10'050, "r-2", message("/once/2"));
    expect_found(check_kind::kRefusedRequest, 1);
}

TEST_F(fleet_checks, an_answer_that_promises_nothing_may_have_run) {
    answer_of("r-2").status = 502;
    begin(10'050, "r-2", message("/once/2"));
    deployment_.floors.clear();
    expect_found(check_kind::kRefusedRequest, 0);
}

TEST_F(fleet_checks, an_item_of_a_refused_job_is_found) {
    begin_item(18'000, "j-refused-1");
    expect_found(check_kind::kRefusedJob, 1);
}

TEST_F(fleet_checks, an_item_of_a_refused_job_is_never_excused) {
    disturb(9'000, 19'000, disturbed_part::kStore, "");
    begin_item(16'005, "j-refused-1");
    expect_found(check_kind::kRefusedJob, 1);
}

TEST_F(fleet_checks, a_job_whose_answer_to_one_try_is_unknown_may_run) {
    begin_item(18'000, "j-refused-1");
    add(job_send{at(16'100), "j-refused", 2, "n-2", items_of("j-refused")});
    deployment_.floors.clear();
    expect_found(check_kind::kRefusedJob, 0);
}

TEST_F(fleet_checks, a_job_that_one_node_took_may_run) {
    begin_item(18'000, "j-refused-1");
    find<job_answer>([](const job_answer &answer) { return answer.status == 429; }).status = 202;
    deployment_.floors.clear();
    const check_report report = judge();
    EXPECT_EQ(report.checks.at(check_kind::kRefusedJob).violations, 0U);
}

// No item of an ended job starts.

TEST_F(fleet_checks, an_item_within_the_bound_of_its_jobs_end_is_sound) {
    begin_item(23'600, "j-ended-1");
    expect_found(check_kind::kEndedJob, 0);
}

TEST_F(fleet_checks, an_item_beyond_the_bound_of_its_jobs_end_is_found) {
    begin_item(23'601, "j-ended-1");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, a_job_that_is_sent_again_stays_ended) {
    add(job_send{at(21'000), "j-ended", 1, "n-1", items_of("j-ended")});
    add(job_answer{at(21'010), "j-ended", 1, "n-1", 202});
    begin_item(24'000, "j-ended-1");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, the_first_of_two_acknowledged_ends_counts) {
    add(end_send{at(22'000), "j-ended", "n-1"});
    add(end_answer{at(22'100), "j-ended", "n-1", 200});
    begin_item(24'000, "j-ended-1");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, a_disturbance_of_the_sender_excuses_an_ended_jobs_item) {
    disturb(18'000, 20'000, disturbed_part::kNode, "n-1");
    begin_item(23'700, "j-ended-1");
    expect_found(check_kind::kEndedJob, 0, 1);
}

TEST_F(fleet_checks, a_disturbance_that_ended_before_the_contact_time_excuses_nothing) {
    disturb(18'000, 19'699, disturbed_part::kNode, "n-1");
    begin_item(23'700, "j-ended-1");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, a_disturbance_of_another_node_excuses_nothing) {
    disturb(18'000, 24'000, disturbed_part::kNode, "n-2");
    disturb(18'000, 24'000, disturbed_part::kStore, "n-2");
    disturb(18'000, 24'000, disturbed_part::kWorker, "w-1");
    begin_item(23'700, "j-ended-1");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, the_store_or_the_senders_link_excuses_too) {
    begin_item(23'700, "j-ended-1");
    disturb(18'000, 24'000, disturbed_part::kStore, "n-1");
    expect_found(check_kind::kEndedJob, 0, 1);
    disturbance &trouble = find<disturbance>([](const disturbance &) { return true; });
    trouble.part = disturbed_part::kLink;
    expect_found(check_kind::kEndedJob, 0, 1);
    trouble.part = disturbed_part::kStore;
    trouble.target = "";
    expect_found(check_kind::kEndedJob, 0, 1);
}

TEST_F(fleet_checks, a_restart_of_the_sender_excuses) {
    add(node_start{at(22'000), "n-1", "127.0.0.1", 102});
    begin_item(23'700, "j-ended-1");
    expect_found(check_kind::kEndedJob, 0, 1);
}

TEST_F(fleet_checks, the_sender_is_the_node_that_had_the_address_at_the_time) {
    add(node_start{at(18'000), "n-3", "127.0.0.1", 102});
    disturb(22'000, 23'000, disturbed_part::kNode, "n-1");
    begin_item(23'700, "j-ended-1");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, an_address_of_no_node_is_never_excused) {
    disturb(18'000, 24'000, disturbed_part::kStore, "");
    begin_item(23'700, "j-ended-1", "127.0.0.99");
    expect_found(check_kind::kEndedJob, 1);
}

TEST_F(fleet_checks, the_time_from_end_to_last_begin_is_reported_for_all_ended_jobs) {
    disturb(18'000, 26'000, disturbed_part::kStore, "");
    begin_item(25'600, "j-ended-1");
    const spread times = judge().end_to_last_begin;
    EXPECT_EQ(times.samples, 1U);
    EXPECT_EQ(times.most, Duration(seconds(5)));
    EXPECT_EQ(times.p50, times.most);
}

TEST_F(fleet_checks, an_unacknowledged_end_counts_from_its_deadline) {
    begin_item(39'500, "j-unheard-1");
    expect_found(check_kind::kUnansweredEnd, 0);
    run_of("j-unheard-1").at = at(39'501);
    expect_found(check_kind::kUnansweredEnd, 1);
}

TEST_F(fleet_checks, an_end_acknowledged_after_its_deadline_counts_from_the_deadline) {
    add(end_answer{at(38'000), "j-unheard", "n-2", 200});
    begin_item(39'501, "j-unheard-1");
    expect_found(check_kind::kUnansweredEnd, 1);
}

TEST_F(fleet_checks, the_deadline_of_an_end_counts_only_undisturbed_time_of_the_store) {
    // The store is undisturbed for 0.5 s and again from 37 s on, 4 s after the disturbance ends at
    // 33 s: the deadline is 37 s + 5.5 s.
    disturb(31'000, 33'000, disturbed_part::kStore, "");
    begin_item(45'500, "j-unheard-1");
    expect_found(check_kind::kUnansweredEnd, 0);
    run_of("j-unheard-1").at = at(45'501);
    expect_found(check_kind::kUnansweredEnd, 1);
}

TEST_F(fleet_checks, an_unknown_jobs_end_is_counted_apart) {
    find<end_answer>([](const end_answer &end) { return end.job == "j-unheard"; }).status = 404;
    find<job_answer>([](const job_answer &each) { return each.job == "j-unheard"; }).status = 0;
    begin_item(60'000, "j-unheard-1");
    deployment_.floors.clear();
    EXPECT_EQ(judge().ends_unjudged, 1U);
    expect_found(check_kind::kUnansweredEnd, 0);
}

TEST_F(fleet_checks, a_404_to_the_end_of_an_accepted_job_excuses_nothing) {
    find<end_answer>([](const end_answer &end) { return end.job == "j-unheard"; }).status = 404;
    begin_item(60'000, "j-unheard-1");
    expect_found(check_kind::kUnansweredEnd, 1);
}

// Requests that may run only once.

TEST_F(fleet_checks, a_second_run_of_what_must_run_once_is_found) {
    begin(10'300, "r-1", message("/once/1"), "w-2");
    expect_found(check_kind::kOnce, 1);
}

TEST_F(fleet_checks, what_may_be_repeated_may_run_twice) {
    begin(40'300, "r-3", message("/stream/3"));
    expect_found(check_kind::kOnce, 0);
}

// Answers.

TEST_F(fleet_checks, an_answer_that_is_not_the_requests_is_found) {
    answer_of("r-1").matches = false;
    expect_found(check_kind::kWholeAnswer, 1);
}

TEST_F(fleet_checks, a_wrong_answer_is_never_excused) {
    disturb(9'000, 12'000, disturbed_part::kNode, "n-1");
    answer_of("r-1").matches = false;
    expect_found(check_kind::kWholeAnswer, 1);
}

TEST_F(fleet_checks, an_answer_that_is_cut_off_without_a_disturbance_is_found) {
    answer_of("r-1").whole = false;
    expect_found(check_kind::kWholeAnswer, 1);
    answer_of("r-1").status = 0;
    expect_found(check_kind::kWholeAnswer, 1);
}

TEST_F(fleet_checks, a_disturbance_of_the_node_excuses_a_cut) {
    answer_of("r-1").whole = false;
    disturb(7'000, 7'500, disturbed_part::kNode, "n-1");
    expect_found(check_kind::kWholeAnswer, 0, 1);
}

TEST_F(fleet_checks, a_worker_that_breaks_off_excuses_a_cut) {
    answer_of("r-1").whole = false;
    const run_begin run = run_of("r-1");
    add(run_end{at(10'400), run.run, run.worker, run.id, run_outcome::kBroken});
    expect_found(check_kind::kWholeAnswer, 0, 1);
}

TEST_F(fleet_checks, a_close_that_crosses_a_request_on_a_kept_connection_is_excused) {
    answer_of("r-2") = {at(10'100), "r-2", 0, false, false};
    deployment_.floors.clear();
    expect_found(check_kind::kWholeAnswer, 1);
    find<online_send>([](const online_send &send) { return send.id == "r-2"; }).kept = true;
    expect_found(check_kind::kWholeAnswer, 0, 1);
    begin(10'050, "r-2", message("/once/2"));
    expect_found(check_kind::kWholeAnswer, 1);
}

TEST_F(fleet_checks, a_request_without_any_answer_is_found_unless_its_caller_left) {
    add(online_send{at(50'000), "r-5", "n-1", message("/stream/5"), false, false});
    expect_found(check_kind::kWholeAnswer, 1);
    add(caller_left{at(51'000), "r-5"});
    expect_found(check_kind::kWholeAnswer, 0);
}

// Listings.

TEST_F(fleet_checks, a_listing_that_changes_is_found) {
    add(listed_item{at(60'000), "j-done", 0, "j-done-1", false, false});
    expect_found(check_kind::kListing, 1); // the item changes from completed to failed
}

TEST_F(fleet_checks, an_item_at_two_positions_is_found) {
    add(listed_item{at(60'000), "j-done", 2, "j-done-1", true, true});
    expect_found(check_kind::kListing, 1);
}

TEST_F(fleet_checks, a_position_that_holds_another_item_is_found) {
    add(listed_item{at(60'000), "j-done", 0, "j-done-0", true, true});
    // The position holds another item, and the item stands at another position.
    expect_found(check_kind::kListing, 2);
}

TEST_F(fleet_checks, a_completed_item_without_its_text_is_found) {
    find<listed_item>([](const listed_item &entry) { return entry.completed; }).text_ok = false;
    expect_found(check_kind::kListing, 1);
}

TEST_F(fleet_checks, an_item_of_another_job_is_found) {
    add(listed_item{at(60'000), "j-done", 2, "j-ended-0", true, true});
    expect_found(check_kind::kListing, 1);
}

TEST_F(fleet_checks, an_accepted_job_that_lists_too_little_is_found) {
    std::erase_if(records_, [](const record &entry) {
        const auto *listed = std::get_if<listed_item>(&entry);
        return listed != nullptr && listed->item == "j-done-0";
    });
    expect_found(check_kind::kCompleteJob, 1);
}

TEST_F(fleet_checks, a_complete_job_counts_also_if_it_is_ended_afterwards) {
    add(end_send{at(16'000), "j-done", "n-1"});
    add(end_answer{at(16'010), "j-done", "n-1", 200});
    const check_report report = judge();
    EXPECT_EQ(report.checks.at(check_kind::kCompleteJob).tested, 1U);
    EXPECT_EQ(report.violations(), 0U);
}

TEST_F(fleet_checks, a_job_that_is_ended_early_need_not_be_complete) {
    add(end_send{at(13'000), "j-done", "n-1"});
    add(end_answer{at(13'010), "j-done", "n-1", 200});
    const check_report report = judge();
    EXPECT_EQ(report.checks.at(check_kind::kCompleteJob).tested, 0U);
    EXPECT_EQ(report.violations(), 0U);
}

TEST_F(fleet_checks, a_job_that_is_ended_after_its_time_was_due_before) {
    std::erase_if(records_, [](const record &entry) {
        const auto *listed = std::get_if<listed_item>(&entry);
        return listed != nullptr && listed->item == "j-done-0";
    });
    add(end_send{at(72'010), "j-done", "n-1"});
    add(end_answer{at(72'020), "j-done", "n-1", 200});
    expect_found(check_kind::kCompleteJob, 1);
}

// Items that crash their workers.

TEST_F(fleet_checks, an_item_that_ends_workers_need_not_be_listed_and_the_others_must) {
    std::erase_if(records_, [](const record &entry) {
        const auto *listed = std::get_if<listed_item>(&entry);
        return listed != nullptr && listed->item == "j-done-0";
    });
    const carried_message fatal = items_of("j-done").front().message;
    add(fatal_end{at(13'000), "w-1", "j-done-0", fatal.body_digest});
    expect_found(check_kind::kCompleteJob, 0);
    std::erase_if(records_, [](const record &entry) {
        const auto *listed = std::get_if<listed_item>(&entry);
        return listed != nullptr && listed->item == "j-done-1";
    });
    expect_found(check_kind::kCompleteJob, 1);
}

// A service that lacks all its workers excuses its own items only.

TEST_F(fleet_checks, an_item_of_a_lost_service_need_not_be_listed_and_others_must) {
    route_options route;
    route.name = "list";
    route.service = "engines";
    deployment_.routes = {route};
    std::erase_if(records_, [](const record &entry) {
        const auto *listed = std::get_if<listed_item>(&entry);
        return listed != nullptr && listed->item == "j-done-0";
    });
    disturb(13'000, 20'000, disturbed_part::kService, "others");
    expect_found(check_kind::kCompleteJob, 1);
    disturb(13'000, 20'000, disturbed_part::kService, "engines");
    expect_found(check_kind::kCompleteJob, 0);
}

TEST_F(fleet_checks, a_body_that_is_returned_as_sent_is_no_violation) {
    add(item_body{at(13'000), "j-done", "n-1", "j-done-0",
                  items_of("j-done").front().message.body_digest});
    expect_found(check_kind::kUnaltered, 0);
}

TEST_F(fleet_checks, a_body_that_is_returned_altered_is_found) {
    add(item_body{at(13'000), "j-done", "n-1", "j-done-0", "another"});
    expect_found(check_kind::kUnaltered, 1);
}

// Leaving workers.

TEST_F(fleet_checks, a_run_at_a_worker_beyond_its_leave_is_found) {
    run_of("r-4").at = at(44'001);
    expect_found(check_kind::kLeavingWorker, 1);
}

TEST_F(fleet_checks, a_disturbance_of_the_sender_excuses_a_run_at_a_leaving_worker) {
    run_of("r-4").at = at(44'001);
    disturb(40'001, 40'001, disturbed_part::kNode, "n-1");
    expect_found(check_kind::kLeavingWorker, 0, 1);
}

// Validity of the run and floors.

TEST_F(fleet_checks, a_case_that_came_up_too_rarely_is_named) {
    for (const check_kind kind : all_checks()) {
        deployment_.floors = {{check_name(kind), 1000}};
        const check_report report = judge();
        EXPECT_FALSE(report.passed());
        EXPECT_EQ(report.below_floor(), std::vector{kind});
    }
}

TEST_F(fleet_checks, timer_lag_of_a_test_process_makes_the_run_invalid) {
    find<process_lag>([](const process_lag &) { return true; }).p99 = milliseconds(51);
    const check_report report = judge();
    EXPECT_FALSE(report.passed());
    ASSERT_EQ(report.invalid.size(), 1U);
    EXPECT_NE(report.invalid.front().find("caller-1"), std::string::npos);
}

TEST_F(fleet_checks, the_highest_lag_of_all_test_processes_counts) {
    add(process_lag{at(90'000), "worker-1", 9, milliseconds(1), milliseconds(70), seconds(1)});
    add(process_lag{at(99'000), "worker-1", 9, milliseconds(1), milliseconds(1), milliseconds(1)});
    EXPECT_EQ(judge().worst_lag.process, "worker-1");
    EXPECT_FALSE(judge().passed());
}

TEST_F(fleet_checks, a_run_without_recorded_lag_is_invalid) {
    std::erase_if(records_,
                  [](const record &entry) { return std::holds_alternative<process_lag>(entry); });
    EXPECT_FALSE(judge().passed());
}

TEST_F(fleet_checks, records_without_their_sends_are_invalid) {
    add(online_answer{at(50'000), "r-lost", 200, true, true});
    EXPECT_FALSE(judge().invalid.empty());
}

TEST_F(fleet_checks, all_violations_are_counted_and_the_first_fifty_printed) {
    for (int64_t number = 0; number < 70; ++number) {
        begin(50'000 + number, "r-never", message("/once/1"));
    }
    std::ostringstream printed;
    print_report(judge(), printed);
    const std::string text = printed.str();
    EXPECT_EQ(std::count(text.begin(), text.end(), '\n'), 51);
    const std::string last = text.substr(text.rfind('\n', text.size() - 2) + 1);
    const auto report = nlohmann::json::parse(last);
    EXPECT_EQ(report.at("checks").at("sent").at("violations"), 70);
    EXPECT_EQ(report.at("violations"), 70);
    EXPECT_FALSE(report.at("passed").get<bool>());
}

// Contents that terminate workers are withheld from them, and no other requests.

TEST_F(fleet_checks, a_fatal_content_that_reaches_a_fourth_worker_late_is_found) {
    for (int64_t second = 59; second < 62; ++second) {
        send_fatal(second * 1000);
    }
    expect_all_found({{check_kind::kFatalContent, 1}, {check_kind::kEndsOfContent, 2}});
}

TEST_F(fleet_checks, late_runs_of_a_fatal_content_by_disturbed_nodes_do_not_count) {
    disturb(58'500, 59'500, disturbed_part::kNode, "n-1");
    for (int64_t second = 59; second < 62; ++second) {
        send_fatal(second * 1000);
    }
    expect_found(check_kind::kFatalContent, 0);
}

// Runs within the contact time after the third end only count towards the total of ends.
TEST_F(fleet_checks, a_fatal_content_may_end_workers_until_three_are_known) {
    for (int64_t ms = 53'100; ms < 55'000; ms += 200) {
        send_fatal(ms);
    }
    expect_all_found({{check_kind::kFatalContent, 0}, {check_kind::kEndsOfContent, 9}});
}

TEST_F(fleet_checks, a_content_that_ends_a_sixth_worker_is_found_however_early) {
    send_fatal(53'100);
    expect_found(check_kind::kEndsOfContent, 0);
    send_fatal(53'110);
    send_fatal(53'120);
    expect_found(check_kind::kEndsOfContent, 2);
}

TEST_F(fleet_checks, ends_under_runs_by_the_older_build_do_not_count) {
    add(node_start{at(45'000), "n-1", "127.0.0.1", 102, true});
    for (int64_t ms = 53'100; ms < 55'000; ms += 200) {
        send_fatal(ms);
    }
    expect_found(check_kind::kEndsOfContent, 0);
}

TEST_F(fleet_checks, ends_under_runs_by_disturbed_nodes_do_not_count) {
    disturb(52'500, 52'600, disturbed_part::kNode, "n-1");
    for (int64_t ms = 53'100; ms < 55'000; ms += 200) {
        send_fatal(ms);
    }
    expect_found(check_kind::kEndsOfContent, 0);
}

TEST_F(fleet_checks, an_unrelated_request_that_is_held_is_found) {
    answer_of("r-2").held = true;
    expect_found(check_kind::kInnocent, 1);
}

TEST_F(fleet_checks, a_run_that_lasts_while_another_one_goes_on_with_it_is_found) {
    find<run_end>([](const run_end &end) { return end.id == "c-1"; }).at = at(96'901);
    expect_found(check_kind::kOneRun, 1);
}

TEST_F(fleet_checks, a_run_that_lasts_beside_another_one_is_excused_if_its_node_was_disturbed) {
    find<run_end>([](const run_end &end) { return end.id == "c-1"; }).at = at(96'901);
    disturb(96'400, 96'500, disturbed_part::kNode, "n-1");
    expect_found(check_kind::kOneRun, 0, 1);
}

} // namespace
} // namespace chalkshed::soak
