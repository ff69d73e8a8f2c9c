// How jobs lie in the store. A job's rows share one partition, chosen by its id, so that one
// transaction covers its record and its results.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/jobs/job.h"

namespace chalkshed {

inline constexpr const char* kStoredJobTable = "job";  // key: job id
inline constexpr const char* kStoredContentTable =
    "job_content";                                               // key: job id; small contents only
inline constexpr const char* kStoredResultTable = "job_result";  // key: job id, position

// @return all partitions that jobs lie in.
std::vector<std::string> job_partitions();
std::string job_partition(const std::string& job);
StoredRowKey stored_job_key(const std::string& job);
StoredRowKey job_content_key(const std::string& job);
StoredRowKey job_result_key(const std::string& job, uint32_t position);
// Results from `position` on.
RangeRead job_result_range(const std::string& job, uint32_t position, uint32_t limit);
// Name of the object that holds the content of a large job.
std::string job_object_name(const std::string& job);
// Name of the object that holds the text of a large result; unique to the owner's epoch.
std::string result_object_name(const StoredJob& record, uint32_t position);

std::string encode_job_record(const StoredJob& record);
// Errors: kInternal.
Expected<StoredJob> decode_job_record(const std::string& job, std::string_view value);
std::string encode_job_result(const JobResult& result);
Expected<JobResult> decode_job_result(std::string_view value);

}  // namespace chalkshed
