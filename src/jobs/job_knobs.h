// Tunables of batch jobs.
#pragma once

#include <cstddef>
#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

struct JobKnobs {
  // A row holds at most this much. Larger results lie in objects.
  size_t most_row_bytes = 60 * 1024;
  // Contents up to this size lie in rows that are written together with the job's record: one call
  // accepts the job. Larger ones lie in an object that is written before.
  size_t most_content_in_rows = 660 * 1024;
  // Results of one transaction.
  size_t most_results_a_commit = 45;
  size_t most_bytes_a_commit = 600 * 1024;
  // Items whose progress one transaction records.
  size_t most_checkpoints = 90;
  // Results gather for this long before they are committed together.
  Duration commit_delay = std::chrono::milliseconds(150);
  // Between two records of what the running items have brought, so that another node continues
  // behind it. Too short costs the store's bytes, too long the work of a lost node.
  Duration checkpoint_interval = std::chrono::milliseconds(1500);
  Duration store_retry = std::chrono::milliseconds(250);
  // A submission whose outcome is unknown is settled within this time, or the caller hears so.
  uint32_t most_submit_tries = 4;
  // A job is handed to a peer that reaches the store once the store has refused it or has said
  // nothing for this long; to so many peers, one after the other.
  Duration forward_after = std::chrono::milliseconds(120);
  uint32_t most_hops = 3;
  // A worker that sends nothing for this long has failed the item's run.
  Duration item_silence = std::chrono::milliseconds(2500);
  Duration preemption_pause = std::chrono::milliseconds(500);  // after it made room for online work
  // How often it is looked whether runs should stop for online work.
  Duration yield_interval = std::chrono::milliseconds(30);
  // An item is urgent once it may wait no longer than what an item takes and this.
  Duration urgent_slack = std::chrono::milliseconds(1500);
  // No run is started by what this node knew of the job longer ago than this, while another node
  // may know more: it may have been ended since, or taken over. The platform says how long after
  // the acknowledged end of a job an item may still begin at a worker, 3 s as a rule; connecting to
  // a worker and a full machine take the rest.
  Duration max_view_age = std::chrono::milliseconds(2000);
  // The caller of an end waits this long at most until the owner has confirmed that it knows: some
  // round trips between nodes, and less than it notices.
  Duration longest_owner_notice = std::chrono::milliseconds(300);
  Duration item_pause = std::chrono::milliseconds(200);  // before an item is tried again
  // A node starts at most so many items at a time, and the next after this long: meanwhile its
  // peers hear of them. Otherwise nodes that take over the jobs of others at the same moment all
  // fill the same workers, and online requests queue there behind batch.
  size_t most_items_at_a_time = 4;
  Duration item_burst_interval = std::chrono::milliseconds(60);
  // The next node in line waits this much longer before it takes a free job over.
  Duration takeover_step = std::chrono::milliseconds(700);
  Duration sweep_interval = std::chrono::milliseconds(400);
  // A sound store answers a takeover in some 10 ms and a load in 50 ms. After one that was not
  // answered or took longer than this, so few of a node are under way at a time, until one is fast
  // again: each gives up after 2 s and comes again, which keeps a full store full. With 6 nodes
  // and a store of 50 calls a second they were 30 of 57 calls a second for as long as jobs came,
  // and no job ended (virtual time).
  Duration slow_takeover = std::chrono::milliseconds(500);
  size_t most_slow_takeovers = 2;
  // Bytes of results in one answer.
  size_t most_answer_bytes = 900 * 1024;
  // Finished jobs stay in the owner's memory for this long.
  Duration keep_finished = std::chrono::seconds(20);
  // What the store holds of a job is removed this long after its acceptance, at least the longest
  // retention of its route, unless it still runs.
  Duration keep_stored = std::chrono::minutes(15);
  // The row of a refusal is kept for this long: the store does writes whose answers it has lost
  // some seconds later at most.
  Duration keep_refusals = std::chrono::minutes(10);
  // One partition's rows of refusals are looked at this often, by one node of the fleet.
  Duration refusal_sweep_interval = std::chrono::minutes(1);
  // A planned stop lets items under way run on for this long.
  Duration max_drain_time = std::chrono::milliseconds(2600);
};

}  // namespace chalkshed
