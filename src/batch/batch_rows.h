// Rows that the batch role stores in the table service, and their keys. Values are JSON.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error.h"
#include "src/platform/table_store.h"

namespace chalkshed {

using JobId = std::string;

// Immutable description of a job, written at acceptance.
struct JobRow {
  JobId id;
  std::string tenant;
  std::string endpoint;      // path of the first item, as the OpenAI batch object shows it
  uint64_t created_us = 0;   // wall clock, Unix time in microseconds
  uint64_t deadline_us = 0;  // wall clock; only used to order jobs
  uint32_t items = 0;
  uint32_t chunk_items = 0;  // items of every chunk except the last
  uint32_t chunks = 0;
  std::vector<std::string> models;  // distinct, in the order of their first use
};

// Entry of a job that has not ended. Deleted by the transaction that ends the job.
struct OpenJobRow {
  JobRow job;
  bool cancelled = false;
};

// Maps a tenant's idempotency key to the job that was first submitted with it.
struct IdempotencyRow {
  JobId job;
  std::string body_digest;
};

enum class ChunkState {
  kPending,  // released by its owner; a chunk that was never claimed has no row
  kRunning,  // owned by a session
  kDone,     // the result object contains one line per item
  kStopped,  // its owner confirmed that it stopped because the job was cancelled
};

// State of one chunk. Every claim increments the epoch.
struct ChunkRow {
  ChunkState state = ChunkState::kPending;
  uint64_t epoch = 0;
  std::string owner;   // session id
  std::string result;  // object name, once done
  uint32_t completed = 0;
  uint32_t failed = 0;
};

enum class JobOutcome { kCompleted, kCancelled };

// Written once, when the job has ended.
struct JobEndRow {
  JobOutcome outcome = JobOutcome::kCompleted;
  uint64_t ended_us = 0;  // wall clock
  uint32_t completed = 0;
  uint32_t failed = 0;
};

// Lease of one node's batch role, referenced by chunk rows.
struct SessionRow {
  std::string node;
  std::string nonce;  // changes with every renewal
  uint64_t lease_us = 0;
};

RowKey job_key(const JobId& job);
RowKey open_job_key(const JobId& job);
RowKey tenant_job_key(const std::string& tenant, const JobId& job);
RowKey idempotency_key(const std::string& tenant, const std::string& key);
RowKey cancel_key(const JobId& job);
RowKey job_end_key(const JobId& job);
RowKey chunk_key(const JobId& job, uint32_t chunk);
RowKey session_key(const std::string& session);

inline constexpr const char* kOpenJobTable = "batch_open_job";
inline constexpr const char* kJobTable = "batch_job";
inline constexpr const char* kTenantJobTable = "batch_tenant_job";
inline constexpr const char* kChunkTable = "batch_chunk";

// Key prefix of a job's chunks, and the chunk number parsed from such a key.
std::string chunk_prefix(const JobId& job);
std::optional<uint32_t> chunk_number(std::string_view key);
// Key prefix of a tenant's jobs in kTenantJobTable.
std::string tenant_prefix(const std::string& tenant);

// Names of objects. A result's name is unique to the attempt.
std::string input_object_name(const JobId& job, uint32_t chunk);
std::string result_object_name(const JobId& job, uint32_t chunk, uint64_t epoch,
                               const std::string& session);

std::string encode(const JobRow& row);
std::string encode(const OpenJobRow& row);
std::string encode(const IdempotencyRow& row);
std::string encode(const ChunkRow& row);
std::string encode(const JobEndRow& row);
std::string encode(const SessionRow& row);

// Errors: kInternal when the value cannot be decoded.
Expected<JobRow> decode_job(const std::string& value);
Expected<OpenJobRow> decode_open_job(const std::string& value);
Expected<IdempotencyRow> decode_idempotency(const std::string& value);
Expected<ChunkRow> decode_chunk(const std::string& value);
Expected<JobEndRow> decode_job_end(const std::string& value);
Expected<SessionRow> decode_session(const std::string& value);

}  // namespace chalkshed
