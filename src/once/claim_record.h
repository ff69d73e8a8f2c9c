// The durable record of a request that must run at most once: one row of the table "claims" for
// each tenant and idempotency key.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/platform/table_store.h"

namespace chalkshed {

inline constexpr const char* kClaimsTable = "claims";
inline constexpr size_t kMaxIdempotencyKeyBytes = 255;

enum class ClaimState {
  kClaimed,   // a node may have dispatched the request; the outcome is unknown here
  kFinished,  // ran; the answer is stored unless it was too large
  kNotRun,    // was claimed but never dispatched; the key may be claimed again
};

struct ClaimRecord {
  ClaimState state = ClaimState::kClaimed;
  std::string request_digest;          // method, path, query and body
  std::string attempt;                 // unique per claim; identifies the owner of a row
  std::string node;                    // node that claimed it, for operators
  int64_t claimed_at_seconds = 0;      // Unix time, for operators
  std::optional<HttpResponse> answer;  // if finished and small enough to store
};

std::string encode_claim_record(const ClaimRecord& record);

// Errors: kInternal when the row was not written by this program.
Expected<ClaimRecord> decode_claim_record(const std::string& value);

// Rows are divided into this many buckets by the hash of tenant and key; the sweep processes one
// bucket at a time.
inline constexpr uint32_t kClaimBuckets = 64;

// @return the common key prefix of all rows of a bucket.
std::string claim_bucket_prefix(uint32_t bucket);

// The row of a tenant's key: "<bucket>/<length of tenant>/<tenant>/<key>". Different pairs never
// share a row, whichever bytes the names contain.
RowKey claim_row_key(const std::string& tenant, const std::string& idempotency_key);

// Checks that a key is printable ASCII of 1 to kMaxIdempotencyKeyBytes bytes.
// Errors, Ran::kNo: kInvalidRequest.
std::optional<Error> check_idempotency_key(const std::string& idempotency_key);

// @return the digest that distinguishes a resend from a different request with the same key.
std::string request_digest(const HttpRequest& request);

}  // namespace chalkshed
