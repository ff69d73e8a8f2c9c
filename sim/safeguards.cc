#include "sim/safeguards.h"

#include <algorithm>

#include "sim/scenarios.h"

namespace chalkshed {

const std::vector<SafeguardProof>& safeguard_proofs() {
  static const std::vector<SafeguardProof> kProofs{
      {"batch_idempotency", Guarantee::kExactlyOnce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.batch.safeguards.idempotency_checked = false;
       },
       run_seed},
      // Both are disabled, because either one alone prevents a superseded owner from changing a
      // result.
      {"batch_lease_and_epoch", Guarantee::kExactlyOnce,
       [](RunKnobs& knobs) {
         BatchSafeguards& safeguards = knobs.cluster.node.roles.batch.safeguards;
         safeguards.epoch_checked_at_commit = false;
         safeguards.lease_checked_before_side_effects = false;
       },
       run_paused_owners},
      {"batch_acknowledge_after_commit", Guarantee::kExactlyOnce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.batch.safeguards.acknowledge_after_commit = false;
       },
       run_seed},
      {"batch_lease_before_side_effects", Guarantee::kCancelledStops,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.batch.safeguards.lease_checked_before_side_effects = false;
       },
       run_cancel_with_paused_owners},
      // Both are disabled, because either one alone keeps online requests from queueing behind
      // batch work in an engine.
      {"batch_yields_and_engine_priority", Guarantee::kOnlineBeforeBatch,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.routing.safeguards.batch_yields = false;
         knobs.cluster.node.roles.batch.safeguards.low_engine_priority = false;
       },
       run_batch_flood},
      {"resume_checks_token_index", Guarantee::kWholeAnswers,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.gateway.safeguards.resume_checks_token_index = false;
       },
       run_garbled_streams},
      {"end_mark_required", Guarantee::kWholeAnswers,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.gateway.safeguards.end_mark_required = false;
       },
       run_seed},
      {"not_run_only_when_certain", Guarantee::kNotRunIsTrue,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.gateway.safeguards.not_run_only_when_certain = false;
       },
       run_seed},
      {"retry_only_when_safe", Guarantee::kAtMostOnce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.gateway.safeguards.retry_only_when_safe = false;
       },
       run_seed},
      {"claim_before_dispatch", Guarantee::kAtMostOnce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.gateway.safeguards.claim_before_dispatch = false;
       },
       run_seed},
      {"claim_conditional_insert", Guarantee::kAtMostOnce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.gateway.claims.safeguards.conditional_insert = false;
       },
       run_seed},
      {"drain_marks_respected", Guarantee::kLeavingGetsNoWork,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.routing.safeguards.drain_marks_respected = false;
       },
       run_seed},
      {"drain_before_exit", Guarantee::kPlannedStopCutsNothing,
       [](RunKnobs& knobs) { knobs.cluster.node.drain_before_exit = false; }, run_seed},
      {"configuration_versions_only_upwards", Guarantee::kConfigurationInForce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.configuration.safeguards.versions_only_upwards = false;
       },
       run_seed},
      {"configuration_compare_and_swap", Guarantee::kConfigurationInForce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.configuration.safeguards.compare_and_swap_head = false;
       },
       run_seed},
      {"configuration_learn_before_serving", Guarantee::kConfigurationInForce,
       [](RunKnobs& knobs) {
         knobs.cluster.node.roles.configuration.safeguards.learn_before_serving = false;
       },
       run_seed},
  };
  return kProofs;
}

const SafeguardProof* find_safeguard(std::string_view name) {
  const auto& proofs = safeguard_proofs();
  const auto found =
      std::find_if(proofs.begin(), proofs.end(),
                   [name](const SafeguardProof& proof) { return proof.name == name; });
  return found == proofs.end() ? nullptr : &*found;
}

}  // namespace chalkshed
