// The layout of jobs in the store. All rows of a job are in one partition, chosen by its id, so
// that one transaction covers its record and its results.
#pragma once

#include <optional>
#include <string>
#include <vector>

#include "src/jobs/job.h"

namespace chalkshed {

inline constexpr const char* kStoredJobTable = "job";  // key: job id
inline constexpr const char* kStoredContentTable =
    "job_content";  // key: job id, number of the piece; larger contents are stored in an object
inline constexpr const char* kStoredResultTable = "job_result";  // key: job id, position
// Output of unfinished items so far; key: job id, item id.
inline constexpr const char* kStoredProgressTable = "job_progress";
// Failed runs of items under any owner; key: job id, item id.
inline constexpr const char* kStoredFailureTable = "job_failure";

// @return all partitions that hold jobs.
std::vector<std::string> job_partitions();
std::string job_partition(const std::string& job);
StoredRowKey stored_job_key(const std::string& job);
// A job's content is split into pieces, one per row.
StoredRowKey job_content_key(const std::string& job, uint32_t piece);
// The pieces from `piece` on.
RangeRead job_content_range(const std::string& job, uint32_t piece);
StoredRowKey job_result_key(const std::string& job, uint32_t position);
StoredRowKey job_progress_key(const std::string& job, const std::string& item);
// The progress of all items of the job.
RangeRead job_progress_range(const std::string& job);
StoredRowKey job_failure_key(const std::string& job, const std::string& item);
RangeRead job_failure_range(const std::string& job);
// Records that a job was refused because of its queue limit, or ended before it was stored; key:
// job id, value: time of the refusal or end by the store's clock. Every acceptance is conditional
// on this row, so that a write that was sent earlier and is applied late has no effect.
inline constexpr const char* kStoredRefusalTable = "job_refusal";
StoredRowKey job_refusal_key(const std::string& job);
std::string encode_job_refusal(Duration now);
// @return nothing when the value is malformed.
std::optional<Duration> decode_job_refusal(std::string_view value);
// @return the item id in a key of the progress or failure table.
std::string item_of_key(const std::string& job, const StoredRowKey& key);
// Results from `position` on.
RangeRead job_result_range(const std::string& job, uint32_t position, uint32_t limit);
// Name of the object that holds the content of a large job.
std::string job_object_name(const std::string& job);
// Name of the object that holds the text of a large result; unique to the owner's epoch.
std::string result_object_name(const StoredJob& record, uint32_t position);

// A version that no row has: a transaction conditional on it changes nothing, and its answer
// contains the current row, whereas other reads may be stale.
inline constexpr StoreVersion kNoVersion = UINT64_MAX >> 12U;

std::string encode_job_record(const StoredJob& record);
// Errors: kInternal.
Expected<StoredJob> decode_job_record(const std::string& job, std::string_view value);
std::string encode_item_progress(const ItemProgress& progress);
// Errors: kInternal.
Expected<ItemProgress> decode_item_progress(std::string_view value);
std::string encode_job_result(const JobResult& result);
Expected<JobResult> decode_job_result(std::string_view value);

}  // namespace chalkshed
