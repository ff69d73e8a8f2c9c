// Tunables of batch jobs.
#pragma once

#include <cstddef>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

struct JobKnobs {
  // Size limit of a row. Larger results are stored in objects.
  size_t max_row_bytes = 60 * 1024;
  // Contents up to this size are stored in rows that are written together with the job's record, so
  // that one call accepts the job. Larger ones are stored in an object that is written first.
  size_t max_content_in_rows = 660 * 1024;
  // Limits of the results in one transaction.
  size_t max_results_per_commit = 45;
  size_t max_bytes_per_commit = 600 * 1024;
  // Number of items whose progress one transaction records.
  size_t max_checkpoints_per_commit = 90;
  // Results are batched for this long before they are committed together.
  Duration commit_delay = std::chrono::milliseconds(150);
  // Interval between checkpoints of the running items' output, from which another node can resume.
  // Shorter intervals write more bytes to the store, longer ones lose more work with a node.
  Duration checkpoint_interval = std::chrono::milliseconds(1500);
  Duration store_retry_delay = std::chrono::milliseconds(250);
  // Attempts to store a submission whose outcome is unknown before the caller is told that it is
  // unknown.
  uint32_t max_submit_attempts = 4;
  // A job is forwarded to a peer that reaches the store once the store has refused it or has not
  // answered for this long; to at most max_hops peers, one after the other.
  Duration forward_after = std::chrono::milliseconds(120);
  uint32_t max_hops = 3;
  // The run of an item ends when its worker sends nothing for this long.
  Duration item_silence_timeout = std::chrono::milliseconds(2500);
  // ... or no further event of its answer for this long: bytes that are no answer may come without
  // end. Longer than a silent head and a silent beginning of the body together.
  Duration item_stall_timeout = std::chrono::seconds(6);
  Duration preempted_item_delay =
      std::chrono::milliseconds(500);  // before a preempted item restarts
  // Interval between checks whether runs should be preempted for online work.
  Duration preemption_check_interval = std::chrono::milliseconds(30);
  // An item is urgent once its slack is below the estimated duration of an item plus this.
  Duration urgent_slack = std::chrono::milliseconds(1500);
  // No run is started from a view of the job that is older than this while another node may have a
  // newer one: the job may have been ended or taken over since. The platform limits how long after
  // the acknowledged end of a job an item may still start at a worker, usually to 3 s; the
  // difference covers connecting to a worker and delays on an overloaded machine.
  Duration max_view_age = std::chrono::milliseconds(2000);
  // An item that may not start from such a view is checked again after this time.
  Duration stale_view_delay = std::chrono::milliseconds(100);
  // How long the caller that ends a job waits at most for the owner to confirm the notice: a few
  // round trips between nodes, and too short to be noticed.
  Duration owner_notice_timeout = std::chrono::milliseconds(300);
  Duration item_retry_delay = std::chrono::milliseconds(200);  // between two runs of an item
  // A node starts at most this many items per burst, and the next burst after this interval, in
  // which its peers learn of the started items. Otherwise nodes that take over jobs at the same
  // moment would all fill the same workers, and online requests would queue behind batch items.
  size_t max_items_per_burst = 4;
  Duration item_burst_interval = std::chrono::milliseconds(60);
  // Each further node in rank order waits this much longer before it takes over an orphaned job.
  Duration takeover_step = std::chrono::milliseconds(700);
  // A node that has just become the owner of a job lives, whatever its heartbeats say: the job is
  // not taken from it for as long as a session may be silent.
  Duration new_owner_lease = std::chrono::milliseconds(2500);
  Duration sweep_interval = std::chrono::milliseconds(400);
  // A healthy store answers a takeover in about 10 ms and a load in 50 ms. After one that was not
  // answered or took longer than this, a node limits its concurrent takeovers and loads until one
  // is fast again: each times out after 2 s and is retried, which keeps an overloaded store
  // overloaded. In a simulation of 6 nodes and a store of 50 calls a second they made up 30 of 57
  // calls a second for as long as jobs arrived, and no job ended.
  Duration slow_takeover = std::chrono::milliseconds(500);
  size_t max_slow_takeovers = 2;
  // Limit of the result bytes in one response.
  size_t max_response_bytes = 900 * 1024;
  // How long finished jobs stay in the owner's memory.
  Duration finished_job_retention = std::chrono::seconds(20);
  // The stored data of a job is removed this long after its acceptance unless the job still runs.
  // At least the longest retention of its route.
  Duration stored_job_retention = std::chrono::minutes(15);
  // How long refusal rows are kept. The store applies a write whose answer was lost at most a few
  // seconds late.
  Duration refusal_retention = std::chrono::minutes(10);
  // Interval at which one node of the fleet checks the refusal rows of one partition.
  Duration refusal_sweep_interval = std::chrono::minutes(1);
  // How long running items may continue during a planned stop.
  Duration max_drain_time = std::chrono::milliseconds(2600);
};

}  // namespace chalkshed
