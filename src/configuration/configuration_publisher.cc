#include "src/configuration/configuration_publisher.h"

#include <utility>

namespace chalkshed {
namespace {

RowKey configuration_row(std::string key) {
  return RowKey{std::string(kConfigurationTable), std::move(key)};
}

Error not_accepted(const Error& cause) {
  Error error =
      not_run(ErrorKind::kStoreUnavailable, "the configuration was not accepted: " + cause.message,
              "nothing has changed; apply again when the platform's store responds");
  error.retry_after = cause.retry_after;
  return error;
}

Error outcome_unknown(const ConfigurationHead& head) {
  return maybe_run(ErrorKind::kOutcomeUnknown,
                   "the store did not confirm whether version " + std::to_string(head.version) +
                       " was accepted (attempt " + head.attempt + ")",
                   "look for the attempt in the history, or apply again with the same base "
                   "version; it cannot be applied twice");
}

Error object_being_removed(const std::string& object, Duration grace) {
  Error error = not_run(ErrorKind::kUnavailable,
                        "the configuration was not accepted: " + object +
                            ", which it needs, is being removed with old versions",
                        "nothing has changed; apply again in a few minutes");
  error.retry_after = grace;
  return error;
}

// Whether the commit failed only because the list of objects being removed has changed.
bool only_fence_changed(const CommitResult& result) {
  return result.failed_conditions.size() == 1 &&
         result.failed_conditions.front() == removal_fence_key();
}

}  // namespace

void ConfigurationPublisher::publish(PublishRequest request, Callback<PublishOutcome> callback) {
  auto attempt = std::make_shared<Attempt>();
  attempt->callback = std::move(callback);
  for (auto& [digest, content] : request.split.blocks) {
    if (!request.stored_blocks.contains(digest)) {
      attempt->objects.emplace_back(block_object_name(digest),
                                    std::make_shared<const std::string>(std::move(content)));
    }
  }
  // The manifest is written last, so that all blocks of a readable manifest exist.
  attempt->objects.emplace_back(
      manifest_object_name(request.split.manifest_digest),
      std::make_shared<const std::string>(encode_manifest(request.split.manifest)));
  attempt->request = std::move(request);
  read_fence(attempt);
}

void ConfigurationPublisher::read_fence(const AttemptPtr& attempt) {
  if (!knobs_.safeguards.fence_removed_content) {
    put_next_object(attempt);
    return;
  }
  dependencies_.table_store.read(
      removal_fence_key(),
      lifetime_.guard([this, attempt](const Expected<std::optional<Row>>& row) {
        on_fence_row(attempt, row);
      }));
}

void ConfigurationPublisher::on_fence_row(const AttemptPtr& attempt,
                                          const Expected<std::optional<Row>>& row) {
  if (!row) {
    retry(attempt, not_accepted(row.error()), &ConfigurationPublisher::read_fence);
    return;
  }
  auto fence = decode_removal_fence(*row);
  if (!fence) {
    attempt->callback(tl::unexpected(fence.error()));
    return;
  }
  attempt->fence = *std::move(fence);
  if (const auto object = removed_object(*attempt)) {
    attempt->callback(tl::unexpected(object_being_removed(*object, knobs_.removal_grace)));
    return;
  }
  attempt->next_object = 0;
  attempt->step_attempts = 0;
  put_next_object(attempt);
}

std::optional<std::string> ConfigurationPublisher::removed_object(const Attempt& attempt) {
  const std::set<std::string>& removed = attempt.fence.objects;
  const SplitConfiguration& split = attempt.request.split;
  const std::string manifest = manifest_object_name(split.manifest_digest);
  if (removed.contains(manifest)) {
    return manifest;
  }
  for (const auto& [name, digest] : split.manifest.digests) {
    if (removed.contains(block_object_name(digest))) {
      return block_object_name(digest);
    }
  }
  return std::nullopt;
}

void ConfigurationPublisher::put_next_object(const AttemptPtr& attempt) {
  if (attempt->next_object == attempt->objects.size()) {
    attempt->step_attempts = 0;
    commit(attempt);
    return;
  }
  const auto& [name, content] = attempt->objects[attempt->next_object];
  dependencies_.object_store.put(
      name, content, lifetime_.guard([this, attempt](const Expected<std::monostate>& result) {
        if (!result) {
          retry(attempt, not_accepted(result.error()), &ConfigurationPublisher::put_next_object);
          return;
        }
        ++attempt->next_object;
        attempt->step_attempts = 0;
        put_next_object(attempt);
      }));
}

void ConfigurationPublisher::commit(const AttemptPtr& attempt) {
  const ConfigurationHead& head = attempt->request.head;
  const RowKey head_row = configuration_row(std::string(kConfigurationHeadKey));
  const RowKey history_row = configuration_row(history_key(head.version));
  Transaction transaction;
  if (knobs_.safeguards.compare_and_swap_head) {
    transaction.conditions = {{head_row, attempt->request.base_row_version}, {history_row, 0}};
  }
  if (knobs_.safeguards.fence_removed_content) {
    transaction.conditions.push_back({removal_fence_key(), attempt->fence.row_version});
  }
  const std::string value = encode_head(head);
  transaction.writes = {{head_row, value}, {history_row, value}};
  dependencies_.table_store.commit(
      std::move(transaction),
      lifetime_.guard([this, attempt](const Expected<CommitResult>& result) {
        on_commit_result(attempt, result);
      }));
}

void ConfigurationPublisher::on_commit_result(const AttemptPtr& attempt,
                                              const Expected<CommitResult>& result) {
  if (result && result->committed) {
    attempt->callback(PublishOutcome::kCommitted);
    return;
  }
  if (result && only_fence_changed(*result) && ++attempt->fence_reads < knobs_.commit_attempts) {
    // The written objects may have been removed, so the publication is restarted. Commits whose
    // responses were lost have not been applied, since the head is unchanged, and can no longer
    // succeed.
    attempt->response_lost = false;
    read_fence(attempt);
    return;
  }
  if (result && !attempt->response_lost) {
    attempt->callback(PublishOutcome::kConflict);
    return;
  }
  if (!result && result.error().ran == Ran::kUnknown) {
    if (!knobs_.safeguards.read_back_lost_commits) {
      attempt->callback(tl::unexpected(not_accepted(result.error())));
      return;
    }
    attempt->response_lost = true;
  }
  if (attempt->response_lost) {
    read_back(attempt);
    return;
  }
  retry(attempt, not_accepted(result.error()), &ConfigurationPublisher::commit);
}

void ConfigurationPublisher::read_back(const AttemptPtr& attempt) {
  dependencies_.table_store.read(
      configuration_row(history_key(attempt->request.head.version)),
      lifetime_.guard([this, attempt](const Expected<std::optional<Row>>& row) {
        on_history_row(attempt, row);
      }));
}

void ConfigurationPublisher::on_history_row(const AttemptPtr& attempt,
                                            const Expected<std::optional<Row>>& row) {
  const ConfigurationHead& head = attempt->request.head;
  if (!row) {
    retry(attempt, outcome_unknown(head), &ConfigurationPublisher::read_back);
    return;
  }
  if (!*row) {
    // Not applied yet. The commit may still be in flight, so only repeating it can resolve the
    // outcome: the conditions allow at most one of the commits to succeed.
    retry(attempt, outcome_unknown(head), &ConfigurationPublisher::commit);
    return;
  }
  const auto written = decode_head((*row)->value);
  const bool ours = written && written->attempt == head.attempt;
  attempt->callback(ours ? PublishOutcome::kCommitted : PublishOutcome::kConflict);
}

void ConfigurationPublisher::retry(const AttemptPtr& attempt, const Error& error,
                                   void (ConfigurationPublisher::*step)(const AttemptPtr&)) {
  if (++attempt->step_attempts >= knobs_.commit_attempts) {
    attempt->callback(tl::unexpected(error));
    return;
  }
  // The timer's callback owns the attempt until it has run; the timer is then reset to break the
  // reference cycle.
  attempt->timer = dependencies_.dispatcher.create_timer(lifetime_.guard([this, attempt, step] {
    const AttemptPtr held = attempt;
    dependencies_.dispatcher.post(lifetime_.guard([held] { held->timer.reset(); }));
    (this->*step)(held);
  }));
  attempt->timer->enable(knobs_.commit_retry * attempt->step_attempts);
}

}  // namespace chalkshed
