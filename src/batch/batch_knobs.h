// Tunable parameters of the batch role.
#pragma once

#include <cstddef>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

// Mechanisms that uphold a guarantee. Tests disable them one at a time to verify that the guarantee
// is violated without it. They cannot be set from settings files.
struct BatchSafeguards {
  bool epoch_checked_at_commit = true;            // rejects the result of a superseded owner
  bool lease_checked_before_side_effects = true;  // stops work when the lease has expired
  bool cancel_checked_at_commit = true;           // rejects claims and results of cancelled jobs
  bool idempotency_checked = true;                // deduplicates resubmitted jobs
  bool read_back_lost_commits = true;             // reads the row back after a lost commit response
  bool acknowledge_after_commit = true;           // a job is durable before it is acknowledged
  bool low_engine_priority = true;  // engines schedule online requests before batch items
};

struct BatchKnobs {
  // Acceptance.
  size_t max_job_items = 200'000;
  size_t max_job_bytes = 256U << 20U;
  // Limit on the total size of the jobs that this node is accepting concurrently. A single job may
  // exceed it.
  size_t max_accepting_bytes = 256U << 20U;
  size_t max_line_bytes = 1U << 20U;
  uint32_t parse_lines_per_turn = 32;  // input lines parsed per event loop iteration
  uint32_t max_chunk_items = 256;
  uint32_t min_chunk_items = 16;
  // Small jobs use smaller chunks so that each live node gets this many.
  uint32_t chunks_per_node = 4;
  uint32_t parallel_chunk_puts = 4;
  uint32_t acceptance_attempts = 4;  // attempts of each store operation before the submission fails
  Duration default_deadline = std::chrono::hours(24);

  // Leases.
  Duration lease_duration = std::chrono::seconds(15);
  Duration lease_renewal_interval = std::chrono::seconds(4);
  // A node that sees no open job for this long closes its session.
  Duration idle_session = std::chrono::minutes(1);
  // Added to the lease duration of other sessions before they count as expired; covers clock rate
  // differences.
  Duration lease_margin = std::chrono::seconds(2);

  // Work.
  uint32_t parallel_claims = 2;
  uint32_t claim_conflicts_before_scan = 2;
  uint32_t starts_per_turn = 16;  // items started per event loop iteration
  // The engine ends an attempt that takes longer; the item is then resumed. Bounds how long an
  // engine that misses a cancellation keeps generating, and therefore how long a job stays in the
  // cancelling state.
  Duration attempt_time_limit = std::chrono::seconds(6);
  // Added to the time limit to cover the request's latency to the engine.
  Duration attempt_margin = std::chrono::milliseconds(500);
  uint32_t max_item_attempts = 10;  // failures without progress before an item fails permanently
  Duration item_backoff = std::chrono::milliseconds(100);  // doubled after every failure
  Duration item_backoff_limit = std::chrono::seconds(10);
  size_t max_unsaved_result_bytes = 16U << 20U;  // above it no new items are started
  // A chunk with pending items of which none could be started for this long is released to other
  // nodes.
  Duration idle_chunk_release = std::chrono::seconds(20);
  Duration drain_grace = std::chrono::seconds(20);  // for items in progress when the node stops

  // Store.
  Duration poll_interval = std::chrono::seconds(1);  // minimum interval of polling open jobs
  // Cluster-wide; a node's poll interval grows with the number of live nodes.
  double polls_per_second = 30;
  double store_operations_per_second = 2000;                // cluster-wide
  double takeovers_per_second = 100;                        // cluster-wide
  Duration store_backoff = std::chrono::milliseconds(100);  // doubled after every failure
  Duration store_backoff_limit = std::chrono::seconds(5);
  uint32_t breaker_failures = 5;  // consecutive failures that open the breaker

  // Output.
  size_t output_buffer_bytes = 256U << 10U;  // buffered for a slow reader
  size_t output_slice_bytes = 64U << 10U;    // written per event loop iteration
  uint32_t list_limit = 100;

  BatchSafeguards safeguards;
};

}  // namespace chalkshed
