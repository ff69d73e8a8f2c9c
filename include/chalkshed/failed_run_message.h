#ifndef CHALKSHED_FAILED_RUN_MESSAGE_H
#define CHALKSHED_FAILED_RUN_MESSAGE_H

/** \file
 * Messages between nodes about failed runs of batch items. */

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/failure_recorder.h"

namespace chalkshed {

/** A failed run of a batch item, named by hashes so that an entry has a fixed size. */
struct failed_run {
    /** failed_run_job_hash() */
    uint64_t job = 0;
    /** failed_run_item_hash() */
    uint64_t item = 0;
    /** Key of the run in item_failures. */
    uint64_t run = 0;
    run_failure failure = run_failure::kFailed;
    /** Whether the store is known to hold the run. */
    bool recorded = false;
};

uint64_t failed_run_job_hash(const std::string &job);
uint64_t failed_run_item_hash(const std::string &job, const std::string &item);

/** Entries that fit into one datagram of 1,200 bytes. */
inline constexpr size_t kMaxFailedRunEntries = 32;

std::string encode_failed_runs(const std::vector<failed_run> &runs);
/** \return std::nullopt for a malformed message. Entries with an unknown failure are skipped. */
std::optional<std::vector<failed_run>> decode_failed_runs(std::string_view datagram);

} // namespace chalkshed

#endif
