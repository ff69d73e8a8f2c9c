// Settings of the routing module. Settings files cannot set them except through the shell.
#pragma once

#include <cstdint>

#include "src/core/time.h"

namespace chalkshed {

// How the worker of an online request is selected. All but kLeastCost exist for comparison.
enum class ChoicePolicy {
  kLeastCost,   // lowest predicted time to first token among a few random candidates
  kTwoChoices,  // fewer requests in flight among two random candidates
  kRandom,
  kRoundRobin,
};

// How much of a worker's capacity batch work may use.
enum class BatchPolicy {
  kYielding,    // windows follow the online load and close in a burst
  kFixedShare,  // a constant number of sequences, independent of the online load
  kGreedy,      // every free slot, without giving any back
};

// Mechanisms that the guarantees depend on. Each can be disabled, so that the test of its guarantee
// can be shown to fail without it.
struct RoutingSafeguards {
  // Leaving back ends are recognized from operators' marks, gossip and their own reports. Off: only
  // the machine list is used.
  bool drain_marks_respected = true;
  // Batch windows follow the online load. Off: batch takes every free slot and never yields.
  bool batch_yields = true;
};

// The worker directory: which workers exist and which are leaving.
struct DirectoryKnobs {
  // The delay between machine list fetches is between interval and interval * (1 + jitter).
  Duration fetch_interval = std::chrono::milliseconds(700);
  double fetch_jitter = 0.3;
  // A worker absent from this many fetches in a row is dropped.
  uint32_t missing_fetches_until_dropped = 8;
  // A dropped worker with the same incarnation returns after this many consecutive fetches that
  // list it, so that one stale fetch does not bring it back.
  uint32_t listed_fetches_until_returned = 3;
  // Maximum delay until the list shows a restart. An operator's command also applies to an
  // incarnation that is discovered within this time after it.
  Duration list_lag = std::chrono::seconds(10);
};

// Latency prediction from load.
struct EstimateKnobs {
  // Linear model of an engine's step time.
  Duration step_base = std::chrono::milliseconds(4);
  Duration step_per_sequence = std::chrono::microseconds(200);
  Duration step_per_prompt_token = std::chrono::microseconds(20);
  // Maximum number of prompt tokens that an engine prefills in one step.
  uint32_t prompt_tokens_per_step = 1024;
  // Half-life of the weight of other nodes' load in a worker's report.
  Duration report_half_life = std::chrono::milliseconds(250);
};

// Worker selection.
struct ChoiceKnobs {
  ChoicePolicy policy = ChoicePolicy::kLeastCost;
  // Number of random candidates per request, in the node's own zone and in other zones.
  uint32_t candidates = 16;
  uint32_t candidates_elsewhere = 4;
  // The cost of a worker is the predicted time to first token plus this many predicted steps,
  // because each later token of an answer takes one step.
  double step_weight = 2.0;
  // Network round trips to workers in the same zone, in another zone and in another region.
  Duration zone_round_trip = std::chrono::microseconds(300);
  Duration region_round_trip = std::chrono::milliseconds(2);
  Duration far_round_trip = std::chrono::milliseconds(20);
  // The worker that all nodes prefer for a prompt's prefix is a candidate unless its online
  // sequences exceed this factor of the service's mean (plus one).
  double affinity_load_bound = 1.25;
  // Number of entries for prefix blocks and their workers, which predict prefix cache hits.
  uint32_t remembered_prefixes = 65536;
  Duration prefix_memory = std::chrono::seconds(10);
};

// Ejection of unhealthy workers.
struct HealthKnobs {
  uint32_t consecutive_failures = 3;
  // Latency outlier: time to first token, relative to the prediction for the load, above this
  // multiple of the median.
  double slow_factor = 3.0;
  uint32_t slow_minimum_samples = 8;
  // A worker whose oldest request has waited this long for its first token gets no more requests.
  Duration stalled_after = std::chrono::seconds(2);
  // At most this fraction of a service's workers is ejected, but always one if there are two or
  // more.
  double maximum_ejected_fraction = 0.34;
  Duration first_ejection = std::chrono::seconds(1);
  Duration longest_ejection = std::chrono::seconds(30);
  // After an ejection, a worker's share of traffic grows from slow_start_share to 1 over this time.
  Duration slow_start = std::chrono::seconds(5);
  double slow_start_share = 0.1;
};

// Admission and retries.
struct AdmissionKnobs {
  // A request is rejected if its predicted duration exceeds this fraction of the time left.
  double deferrable_headroom = 0.6;
  double normal_headroom = 1.0;
  double urgent_headroom = 1.2;
  Duration shortest_retry_after = std::chrono::seconds(1);
  Duration longest_retry_after = std::chrono::seconds(60);
  // Retry budget: tokens per second added regardless of successes, and the size of the bucket.
  double minimum_retries_per_second = 1.0;
  double retry_burst = 10.0;
};

// Batch windows.
struct WindowKnobs {
  BatchPolicy policy = BatchPolicy::kYielding;
  // kFixedShare: fraction of max_sequences_per_worker given to batch.
  double fixed_share = 0.5;
  // The holder polls a worker's load if it had no report for this long.
  Duration load_poll = std::chrono::milliseconds(500);
  // The same if no batch work has requested capacity for idle_after.
  Duration idle_load_poll = std::chrono::milliseconds(1500);
  Duration idle_after = std::chrono::seconds(5);
  // Maximum number of polls per interval. It matters if a node holds very many workers, for example
  // because it sees no other members.
  uint32_t polls_at_once = 64;
  // Approximate age of the load in an engine's answer to a poll.
  Duration polled_load_lag = std::chrono::milliseconds(200);
  // A load report opens the window fully for this long; without one, a single sequence may probe
  // the worker.
  Duration load_fresh_for = std::chrono::milliseconds(100);
  // Light workers: the target number of online sequences on each (at batch_fill 0 and 1), and the
  // total number of sequences up to which batch work may fill it.
  double online_per_light_low = 16.0;
  double online_per_light_high = 20.0;
  double light_sequences_low = 4.0;
  double light_sequences_high = 20.0;
  // Minimum number of light workers, kept until there was no online work for light_kept_for.
  uint32_t fewest_light = 1;
  Duration light_kept_for = std::chrono::seconds(5);
  // The expected arrivals within this time are added to the online load, so that a burst finds
  // light workers.
  Duration arrival_lookahead = std::chrono::milliseconds(30);
  // Time constant of the average arrival rate.
  Duration arrival_window = std::chrono::milliseconds(50);
  // A burst: this many arrivals within arrival_window, at a rate above burst_factor times the rate
  // over burst_baseline. All held workers then become light, and batch windows stay closed until
  // burst_hold has passed.
  double burst_arrivals = 6.0;
  double burst_factor = 4.0;
  Duration burst_baseline = std::chrono::seconds(5);
  Duration burst_hold = std::chrono::milliseconds(300);
  // The online load must have been low for this long before a light worker is filled again.
  Duration hold = std::chrono::milliseconds(250);
  // Cancels the batch sequences of a light worker above its limit plus revoke_slack, except the
  // first never_revoked; they resume later. Off: they run to completion.
  bool revoke = true;
  uint32_t revoke_slack = 1;
  uint32_t never_revoked = 0;
  // Limit on the batch prompt tokens awaiting prefill on a worker, without prefix cache hits; one
  // prompt may always start if none is pending. Interpolated between the two values by the policy's
  // batch_fill.
  uint32_t prompt_tokens_low = 256;
  uint32_t prompt_tokens_high = 256;
  // Number of sequences by which each online sequence on the worker shrinks the window (at
  // batch_fill 0 and 1).
  double yield_per_online_low = 3.0;
  double yield_per_online_high = 1.0;
  // Share of max_sequences_per_worker open to batch on an idle worker (at batch_fill 0 and 1).
  double idle_share_low = 0.75;
  double idle_share_high = 1.0;
};

struct RoutingKnobs {
  DirectoryKnobs directory;
  EstimateKnobs estimate;
  ChoiceKnobs choice;
  HealthKnobs health;
  AdmissionKnobs admission;
  WindowKnobs window;
  RoutingSafeguards safeguards;
};

}  // namespace chalkshed
