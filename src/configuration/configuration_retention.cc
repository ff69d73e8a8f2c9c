#include "src/configuration/configuration_retention.h"

#include <algorithm>
#include <iterator>
#include <utility>

#include "src/membership/rendezvous.h"

namespace chalkshed {
namespace {

constexpr std::string_view kOwnershipKey = "configuration/retention";
constexpr uint32_t kHistoryRowsPerScan = 200;
// Objects removed between two reads of the fence.
constexpr size_t kRemovalsPerFenceRead = 20;

RowKey head_row_key() {
  return {std::string(kConfigurationTable), std::string(kConfigurationHeadKey)};
}

}  // namespace

ConfigurationRetention::ConfigurationRetention(const NodeIdentity& identity,
                                               NodeDependencies& dependencies,
                                               const MembershipView& members,
                                               const ConfigurationKnobs& knobs)
    : node_id_(identity.id),
      dependencies_(dependencies),
      members_(members),
      knobs_(knobs),
      removed_versions_(
          dependencies.metrics.counter("chalkshed_configuration_versions_removed_total",
                                       "Versions removed from the history by their age.", {})),
      removed_objects_(dependencies.metrics.counter("chalkshed_configuration_objects_removed_total",
                                                    "Removed objects of old versions.", {})),
      round_timer_(dependencies.dispatcher.create_timer([this] { begin_round(); })),
      pause_timer_(dependencies.dispatcher.create_timer([this] {
        const auto next = std::exchange(after_pause_, nullptr);
        next();
      })) {}

void ConfigurationRetention::start() { round_timer_->enable(knobs_.retention_interval); }

void ConfigurationRetention::begin_round() {
  if (rendezvous_owner(kOwnershipKey, members_.members()) != node_id_) {
    return end_round();
  }
  read_fence([this] {
    if (fence_.objects.empty()) {
      read_head();
    } else {
      take_over_fence();
    }
  });
}

void ConfigurationRetention::end_round() { round_timer_->enable(knobs_.retention_interval); }

void ConfigurationRetention::fail_round(const Error& error) {
  dependencies_.logger.write(LogLevel::kWarning, "configuration_retention_failed",
                             {{"message", error.message}});
  end_round();
}

void ConfigurationRetention::read_fence(std::function<void()> next) {
  const MonotonicTime began = dependencies_.time_source.monotonic_now();
  dependencies_.table_store.read(
      removal_fence_key(), lifetime_.guard([this, began, next = std::move(next)](
                                               const Expected<std::optional<Row>>& row) {
        auto fence = row ? decode_removal_fence(*row) : tl::unexpected(row.error());
        if (!fence) {
          return fail_round(fence.error());
        }
        fence_ = *std::move(fence);
        fence_read_at_ = began;
        next();
      }));
}

// ---- Selection of removable versions.

void ConfigurationRetention::read_head() {
  dependencies_.table_store.read(head_row_key(),
                                 lifetime_.guard([this](const Expected<std::optional<Row>>& row) {
                                   if (!row) {
                                     return fail_round(row.error());
                                   }
                                   if (!*row) {
                                     return end_round();  // no version has been applied yet
                                   }
                                   const auto head = decode_head((*row)->value);
                                   if (!head) {
                                     return fail_round(head.error());
                                   }
                                   head_row_version_ = (*row)->version;
                                   head_version_ = head->version;
                                   if (references_.read_through() < head_version_) {
                                     read_history();
                                   } else {
                                     set_fence();
                                   }
                                 }));
}

void ConfigurationRetention::read_history() {
  ScanRequest scan;
  scan.table = kConfigurationTable;
  scan.prefix = "history/";
  scan.after_key = history_key(references_.read_through());
  scan.limit = kHistoryRowsPerScan;
  dependencies_.table_store.scan(
      std::move(scan), lifetime_.guard([this](const Expected<ScanPage>& page) {
        if (!page) {
          return fail_round(page.error());
        }
        unread_heads_.clear();
        for (auto row = page->rows.rbegin(); row != page->rows.rend(); ++row) {
          auto head = decode_head(row->value);
          if (!head) {
            return fail_round(head.error());
          }
          unread_heads_.push_back(*std::move(head));
        }
        if (unread_heads_.empty()) {
          return end_round();  // the head has no history row, so removable versions cannot be
                               // determined
        }
        read_next_manifest();
      }));
}

// References can only be determined from all manifests, so an unreadable manifest fails the round.
void ConfigurationRetention::read_next_manifest() {
  if (unread_heads_.empty()) {
    return read_head();  // the head may have changed in the meantime
  }
  const ConfigurationHead head = unread_heads_.back();
  unread_heads_.pop_back();
  dependencies_.object_store.get(
      manifest_object_name(head.manifest_digest),
      lifetime_.guard([this, head](const Expected<std::shared_ptr<const std::string>>& content) {
        const auto manifest =
            content ? decode_manifest(**content) : tl::unexpected(content.error());
        if (!manifest) {
          return fail_round(manifest.error());
        }
        references_.add(head, *manifest);
        after_pause_ = [this] { read_next_manifest(); };
        pause_timer_->enable(knobs_.retention_pause);
      }));
}

void ConfigurationRetention::set_fence() {
  const int64_t now = dependencies_.time_source.wall_now().time_since_epoch().count();
  RemovalPlan plan = references_.plan(knobs_, now);
  if (plan.versions.empty()) {
    return end_round();
  }
  Transaction transaction;
  // As long as the head is unchanged, all existing versions have been read.
  transaction.conditions = {{head_row_key(), head_row_version_},
                            {removal_fence_key(), fence_.row_version}};
  transaction.writes = {{removal_fence_key(), encode_removal_fence(plan.objects)}};
  for (const ConfigurationVersion version : plan.versions) {
    transaction.writes.push_back(
        {{std::string(kConfigurationTable), history_key(version)}, std::nullopt});
  }
  write_fence(std::move(transaction), plan.objects, [this, plan] {
    references_.erase(plan);
    removed_versions_.add(static_cast<double>(plan.versions.size()));
    to_remove_.assign(plan.objects.begin(), plan.objects.end());
    remove_next_objects();
  });
}

// ---- Removal under the fence.

void ConfigurationRetention::take_over_fence() {
  const std::set<std::string> objects = fence_.objects;
  Transaction transaction;
  transaction.conditions = {{removal_fence_key(), fence_.row_version}};
  transaction.writes = {{removal_fence_key(), encode_removal_fence(objects)}};
  write_fence(std::move(transaction), objects, [this, objects] {
    to_remove_.assign(objects.begin(), objects.end());
    remove_next_objects();
  });
}

void ConfigurationRetention::write_fence(Transaction transaction, std::set<std::string> objects,
                                         std::function<void()> next) {
  const MonotonicTime began = dependencies_.time_source.monotonic_now();
  dependencies_.table_store.commit(
      std::move(transaction),
      lifetime_.guard([this, began, objects = std::move(objects),
                       next = std::move(next)](const Expected<CommitResult>& result) {
        if (!result) {
          return fail_round(result.error());  // the next round reads the resulting fence
        }
        if (!result->committed) {
          return end_round();  // the head has changed, or another node is running a round
        }
        fence_ = {objects, result->versions.front()};
        fence_read_at_ = began;
        next();
      }));
}

void ConfigurationRetention::remove_next_objects() {
  if (to_remove_.empty()) {
    // A removal whose response was lost may still be in flight; its object must not be written
    // again before the removal has been executed.
    after_pause_ = [this] { clear_fence(); };
    pause_timer_->enable(knobs_.removal_grace);
    return;
  }
  remove_object(0);
}

void ConfigurationRetention::remove_object(size_t index) {
  const Duration since_read = dependencies_.time_source.monotonic_now() - fence_read_at_;
  if (since_read > knobs_.fence_validity) {
    return end_round();  // this node was paused; another node may have cleared the fence
  }
  dependencies_.object_store.remove(
      to_remove_.back(), lifetime_.guard([this, index](const Expected<std::monostate>& result) {
        if (!result) {
          return fail_round(result.error());
        }
        removed_objects_.add(1);
        to_remove_.pop_back();
        after_pause_ = [this, index] {
          if (to_remove_.empty()) {
            remove_next_objects();
          } else if (index + 1 < kRemovalsPerFenceRead) {
            remove_object(index + 1);
          } else {
            recheck_fence();
          }
        };
        pause_timer_->enable(knobs_.retention_pause);
      }));
}

void ConfigurationRetention::recheck_fence() {
  const RowVersion own = fence_.row_version;
  read_fence([this, own] {
    if (fence_.row_version == own) {
      remove_next_objects();
    } else {
      end_round();  // another node has taken over
    }
  });
}

void ConfigurationRetention::clear_fence() {
  Transaction transaction;
  transaction.conditions = {{removal_fence_key(), fence_.row_version}};
  transaction.writes = {{removal_fence_key(), encode_removal_fence({})}};
  write_fence(std::move(transaction), {}, [this] { end_round(); });
}

}  // namespace chalkshed
