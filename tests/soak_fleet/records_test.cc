/** \file
 * Records of the fleet soak are unchanged by writing and reading, and unreadable ones are rejected.
 */

#include "tests/soak/fleet/records.h"

#include <gtest/gtest.h>

#include <filesystem>
#include <fstream>

namespace chalkshed::soak {
namespace {

using std::chrono::milliseconds;

MonotonicTime at(int64_t ms) {
    return MonotonicTime(milliseconds(ms));
}

carried_message message() {
    return {"POST", "/list/1", "a=b", "0123", 15000, {{"content-type", "text/plain"}}};
}

/** One record of each type. */
std::vector<record> one_of_each() {
    return {online_send{at(1), "r-1", "n-1", message(), true, true, "r-0", true},
            online_answer{at(2), "r-1", 200, true, true, true, {"v1", "v2"}},
            caller_left{at(3), "r-1", {"v1"}},
            job_send{at(4), "j-1", 2, "n-2", {{"j-1-0", message()}, {"j-1-1", message()}}},
            job_answer{at(5), "j-1", 2, "n-2", 202},
            end_send{at(6), "j-1", "n-3"},
            end_answer{at(7), "j-1", "n-3", 200},
            listed_item{at(8), "j-1", 4, "j-1-0", true, true, {"v1"}},
            run_begin{at(9), 77, "w-1", "engines", "j-1-0", message(), 3, "127.0.0.2"},
            run_end{at(10), 77, "w-1", "j-1-0", run_outcome::kBroken},
            node_start{at(11), "n-1", "127.0.0.1", 4711, true},
            disturbance{at(12), at(20), "store_cut", disturbed_part::kStore, "n-1"},
            worker_leaving{at(13), "w-1"},
            configuration_written{at(14), 9},
            process_lag{at(15), "caller-1", 100, milliseconds(1), milliseconds(2), milliseconds(3)},
            fatal_end{at(16), "w-1", "r-1", "4567"},
            item_body{at(17), "j-1", "n-2", "j-1-0", "89ab"},
            worker_version{at(18), "w-1", "engines", "v2", true}};
}

class fleet_records : public ::testing::Test {
protected:
    fleet_records()
        : folder_(std::filesystem::path(::testing::TempDir()) /
                  ::testing::UnitTest::GetInstance()->current_test_info()->name()) {
        std::filesystem::remove_all(folder_);
    }
    ~fleet_records() override {
        std::filesystem::remove_all(folder_);
    }

    std::filesystem::path folder_;
};

TEST_F(fleet_records, each_type_survives_writing_and_reading) {
    const std::vector<record> all = one_of_each();
    ASSERT_EQ(all.size(), std::variant_size_v<record>);
    for (size_t index = 0; index < all.size(); ++index) {
        ASSERT_EQ(all[index].index(), index);
        const std::string line = write_record(all[index]);
        const Expected<record> read = read_record(line);
        ASSERT_TRUE(read) << read.error().message;
        EXPECT_EQ(read->index(), index);
        EXPECT_EQ(write_record(*read), line);
    }
}

TEST_F(fleet_records, are_read_from_all_files_in_the_order_of_time) {
    {
        record_writer first(folder_, "worker", 1);
        record_writer second(folder_, "caller", 1);
        first.add(worker_leaving{at(30), "w-1"});
        second.add(caller_left{at(20), "r-1"});
        first.add(worker_leaving{at(10), "w-2"});
    }
    const Expected<std::vector<record>> all = read_records(folder_);
    ASSERT_TRUE(all) << all.error().message;
    ASSERT_EQ(all->size(), 3U);
    EXPECT_EQ(time_of(all->at(0)), at(10));
    EXPECT_EQ(time_of(all->at(1)), at(20));
    EXPECT_EQ(time_of(all->at(2)), at(30));
}

TEST_F(fleet_records, are_in_the_file_once_flushed) {
    record_writer writer(folder_, "worker", 1);
    writer.add(caller_left{at(20), "r-1"});
    EXPECT_TRUE(read_records(folder_)->empty());
    writer.flush();
    EXPECT_EQ(read_records(folder_)->size(), 1U);
}

TEST_F(fleet_records, a_truncated_line_is_refused_with_file_and_line) {
    {
        record_writer writer(folder_, "worker", 3);
        writer.add(caller_left{at(20), "r-1"});
    }
    std::ofstream(folder_ / "records" / "worker-3.jsonl", std::ios::app) << R"({"record":"call)";
    const Expected<std::vector<record>> all = read_records(folder_);
    ASSERT_FALSE(all);
    EXPECT_NE(all.error().message.find("worker-3.jsonl:2"), std::string::npos);
    EXPECT_FALSE(all.error().remedy.empty());
}

TEST_F(fleet_records, unknown_kinds_missing_fields_and_wrong_types_are_refused) {
    EXPECT_FALSE(read_record(R"({"record":"caller_arrived","at":1,"id":"r-1"})"));
    EXPECT_FALSE(read_record(R"({"record":"caller_left","at":1})"));
    EXPECT_FALSE(read_record(R"({"record":"caller_left","at":"soon","id":"r-1"})"));
    EXPECT_FALSE(read_record(R"({"at":1,"id":"r-1"})"));
    EXPECT_FALSE(read_record(""));
    EXPECT_TRUE(read_record(R"({"record":"caller_left","at":1,"id":"r-1","versions":[]})"));
}

TEST_F(fleet_records, a_folder_without_records_is_refused) {
    EXPECT_FALSE(read_records(folder_));
}

TEST_F(fleet_records, a_message_is_described_by_what_must_arrive) {
    HttpRequest request;
    request.method = "POST";
    request.path = "/note/x";
    request.query = "a=b";
    request.body = "body";
    request.headers = {{"X-Soak-Note", "2"}, {"Host", "a"}, {"Content-Type", "text/plain"}};
    const carried_message sent = describe(request);
    using header = std::pair<std::string, std::string>;
    const std::vector<header> expected = {{"content-type", "text/plain"}, {"x-soak-note", "2"}};
    EXPECT_EQ(sent.headers, expected);
    EXPECT_EQ(sent.body_length, 4U);
    std::reverse(request.headers.begin(), request.headers.end());
    EXPECT_EQ(describe(request), sent);
    request.body = "bodx";
    EXPECT_NE(describe(request), sent);
}

} // namespace
} // namespace chalkshed::soak
