#include "src/jobs/job_rows.h"

#include <array>
#include <charconv>
#include <cstdio>
#include <nlohmann/json.hpp>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

// Enough for the write rate of the largest supported deployment, few enough to list quickly.
constexpr uint64_t kPartitions = 8;
constexpr std::string_view kCompleted = "completed";
constexpr std::string_view kErrored = "errored";
constexpr std::string_view kInObject = "in_object";

Error unreadable(const std::string& what) {
  return maybe_run(ErrorKind::kInternal, what + " in the store is malformed",
                   "check which program wrote it");
}

std::string partition_name(uint64_t number) { return "jobs-" + std::to_string(number); }

std::string position_text(uint32_t position) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08u", position);
  return text.data();
}

// The rows of a job in one table, from the key that ends in `first` on.
RangeRead range_of(const char* table, const std::string& job, const std::string& first) {
  RangeRead range;
  range.table = table;
  range.partition = job_partition(job);
  range.first_key = job + "/" + first;
  range.end_key = job + "0";  // '0' follows '/'
  return range;
}

}  // namespace

std::vector<std::string> job_partitions() {
  std::vector<std::string> names;
  for (uint64_t number = 0; number < kPartitions; ++number) {
    names.push_back(partition_name(number));
  }
  return names;
}

std::string job_partition(const std::string& job) {
  return partition_name(content_hash(job) % kPartitions);
}

StoredRowKey stored_job_key(const std::string& job) {
  return {kStoredJobTable, job_partition(job), job};
}

StoredRowKey job_content_key(const std::string& job, uint32_t piece) {
  return {kStoredContentTable, job_partition(job), job + "/" + position_text(piece)};
}

RangeRead job_content_range(const std::string& job, uint32_t piece) {
  return range_of(kStoredContentTable, job, position_text(piece));
}

StoredRowKey job_result_key(const std::string& job, uint32_t position) {
  return {kStoredResultTable, job_partition(job), job + "/" + position_text(position)};
}

StoredRowKey job_progress_key(const std::string& job, const std::string& item) {
  return {kStoredProgressTable, job_partition(job), job + "/" + item};
}

RangeRead job_progress_range(const std::string& job) {
  return range_of(kStoredProgressTable, job, "");
}

StoredRowKey job_failure_key(const std::string& job, const std::string& item) {
  return {kStoredFailureTable, job_partition(job), job + "/" + item};
}

RangeRead job_failure_range(const std::string& job) {
  return range_of(kStoredFailureTable, job, "");
}

StoredRowKey job_refusal_key(const std::string& job) {
  return {kStoredRefusalTable, job_partition(job), job};
}

std::string encode_job_refusal(Duration now) { return std::to_string(now.count()); }

std::optional<Duration> decode_job_refusal(std::string_view value) {
  int64_t count = 0;
  const char* end = value.data() + value.size();
  const auto parsed = std::from_chars(value.data(), end, count);
  return parsed.ec == std::errc() && parsed.ptr == end ? std::optional(Duration(count))
                                                       : std::nullopt;
}

std::string item_of_key(const std::string& job, const StoredRowKey& key) {
  return key.key.substr(job.size() + 1);
}

RangeRead job_result_range(const std::string& job, uint32_t position, uint32_t limit) {
  RangeRead range = range_of(kStoredResultTable, job, position_text(position));
  range.limit = limit;
  return range;
}

std::string job_object_name(const std::string& job) { return "job-" + job; }

std::string result_object_name(const StoredJob& record, uint32_t position) {
  return "result-" + record.id + "-" + position_text(position) + "-" + std::to_string(record.epoch);
}

std::string encode_job_record(const StoredJob& record) {
  nlohmann::json fields = {{"host", record.host},
                           {"path", record.path},
                           {"items", record.items},
                           {"tokens", record.tokens},
                           {"owner", record.owner},
                           {"epoch", record.epoch},
                           {"ended", record.ended},
                           {"finished", record.finished},
                           {"in_object", record.content_in_object},
                           {"accepted_us", record.accepted.count()}};
  if (!record.tenant.empty()) {
    fields["tenant"] = record.tenant;
  }
  if (!record.content.empty()) {
    fields["content"] = record.content;
  }
  return fields.dump();
}

Expected<StoredJob> decode_job_record(const std::string& job, std::string_view value) {
  const nlohmann::json fields = nlohmann::json::parse(value, nullptr, false);
  if (!fields.is_object()) {
    return tl::unexpected(unreadable("the record of job " + job));
  }
  try {
    StoredJob record;
    record.id = job;
    record.tenant = fields.value("tenant", "");
    record.content = fields.value("content", "");
    record.host = fields.at("host").get<std::string>();
    record.path = fields.at("path").get<std::string>();
    record.items = fields.at("items").get<uint32_t>();
    record.tokens = fields.value("tokens", uint64_t{0});
    record.owner = fields.at("owner").get<std::string>();
    record.epoch = fields.at("epoch").get<uint64_t>();
    record.ended = fields.at("ended").get<bool>();
    record.finished = fields.at("finished").get<bool>();
    record.content_in_object = fields.at("in_object").get<bool>();
    record.accepted = Duration(fields.at("accepted_us").get<int64_t>());
    return record;
  } catch (const nlohmann::json::exception&) {
    return tl::unexpected(unreadable("the record of job " + job));
  }
}

std::string encode_item_progress(const ItemProgress& progress) {
  std::string value = std::to_string(progress.last_event.value_or(0));
  value += '\n';
  value += progress.text;
  return value;
}

Expected<ItemProgress> decode_item_progress(std::string_view value) {
  ItemProgress progress;
  uint64_t last_event = 0;
  const char* end = value.data() + value.size();
  const auto event = std::from_chars(value.data(), end, last_event);
  if (event.ec != std::errc() || event.ptr == end || *event.ptr != '\n') {
    return tl::unexpected(unreadable("the progress of an item"));
  }
  if (last_event > 0) {
    progress.last_event = last_event;
    progress.has_text = true;
    progress.text.assign(event.ptr + 1, end);
  }
  return progress;
}

std::string encode_job_result(const JobResult& result) {
  std::string value(result.in_object                        ? kInObject
                    : result.state == ItemState::kCompleted ? kCompleted
                                                            : kErrored);
  value += ' ';
  value += result.item;
  value += '\n';
  value += result.text;
  return value;
}

Expected<JobResult> decode_job_result(std::string_view value) {
  const size_t blank = value.find(' ');
  const size_t feed = value.find('\n');
  if (blank == std::string_view::npos || feed == std::string_view::npos || feed < blank) {
    return tl::unexpected(unreadable("a result"));
  }
  JobResult result;
  result.in_object = value.substr(0, blank) == kInObject;
  result.state = result.in_object || value.substr(0, blank) == kCompleted ? ItemState::kCompleted
                                                                          : ItemState::kErrored;
  result.item = std::string(value.substr(blank + 1, feed - blank - 1));
  result.text = std::string(value.substr(feed + 1));
  return result;
}

}  // namespace chalkshed
