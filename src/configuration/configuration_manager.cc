#include "src/configuration/configuration_manager.h"

#include <algorithm>
#include <cstdio>
#include <utility>

#include "src/configuration/redaction.h"
#include "src/policy/policy_check.h"

namespace chalkshed {
namespace {

// Maximum total size of block contents attached to a manifest reply.
constexpr size_t kMaxAttachedBlockBytes = 64 * 1024;

std::string format_hex(uint64_t number) {
  std::array<char, 20> text{};
  std::snprintf(text.data(), text.size(), "%016llx", static_cast<unsigned long long>(number));
  return text.data();
}

size_t bundle_bytes(const ConfigurationBundle& bundle) {
  size_t bytes = 0;
  for (const ConfigurationDocument& document : bundle.documents) {
    bytes += document.text.size();
  }
  for (const auto& [name, content] : bundle.policy_files) {
    bytes += content.size();
  }
  return bytes;
}

std::string text_of(const ConfigurationPtr& configuration) {
  if (configuration == nullptr) {
    return "";
  }
  Configuration unversioned = *configuration;
  unversioned.version = 0;
  return format_configuration(unversioned);
}

}  // namespace

ConfigurationManager::ConfigurationManager(const NodeIdentity& identity,
                                           NodeDependencies& dependencies, MembershipView& members,
                                           Gossip& gossip, ConfigurationKnobs knobs)
    : identity_(identity),
      dependencies_(dependencies),
      knobs_(knobs),
      tracker_(
          dependencies, members, gossip, knobs_, [this] { return report(); },
          [this] { on_head_changed(); }),
      fetcher_(dependencies, members, cache_, knobs_),
      publisher_(dependencies, knobs_),
      members_(members),
      version_gauge_(dependencies.metrics.gauge("chalkshed_configuration_version",
                                                "Version of the configuration in force here.", {})),
      confirmed_age_gauge_(dependencies.metrics.gauge(
          "chalkshed_configuration_confirmed_age_seconds",
          "Time since the version was last confirmed to be the newest.", {})),
      fetch_timer_(dependencies.dispatcher.create_timer([this] { fetch_known_head(); })) {}

void ConfigurationManager::start() {
  register_peer_methods();
  tracker_.start();
}

void ConfigurationManager::subscribe(std::function<void(const ConfigurationPtr&)> callback) {
  subscribers_.push_back(std::move(callback));
}

HeadReport ConfigurationManager::report() const {
  HeadReport report;
  report.head = tracker_.known();
  report.applied_version = applied_.version;
  report.learned = current_ != nullptr;
  report.cut_off = tracker_.cut_off();
  report.confirmed_age = tracker_.confirmed_age();
  confirmed_age_gauge_.set(static_cast<double>(report.confirmed_age.count()) / 1e6);
  return report;
}

// ---- Requests of peers.

void ConfigurationManager::register_peer_methods() {
  PeerServer& server = dependencies_.peer_server;
  server.register_method(
      kConfigurationManifestMethod,
      lifetime_.guard([this](const std::string& body, const PeerServer::Reply& reply) {
        const auto request = decode_manifest_request(body);
        if (!request) {
          reply(tl::unexpected(request.error()));
        } else if (cache_.find_manifest(request->digest) == nullptr) {
          reply(tl::unexpected(not_run(
              ErrorKind::kNotFound, "manifest " + request->digest + " is not cached on this node",
              "request it from another node or the object store")));
        } else {
          reply(encode(answer_manifest(*request)));
        }
      }));
  server.register_method(
      kConfigurationBlockMethod,
      lifetime_.guard([this](const std::string& body, const PeerServer::Reply& reply) {
        const auto request = decode_block_request(body);
        if (request) {
          reply(encode(answer_blocks(*request)));
        } else {
          reply(tl::unexpected(request.error()));
        }
      }));
}

ManifestReply ConfigurationManager::answer_manifest(const ManifestRequest& request) const {
  const ConfigurationManifest* known = cache_.find_manifest(request.known_digest);
  const ConfigurationManifest& wanted = *cache_.find_manifest(request.digest);
  ManifestReply reply;
  reply.complete = known == nullptr;
  reply.delta = manifest_delta(known == nullptr ? ConfigurationManifest() : *known, wanted);
  size_t attached = 0;
  for (const auto& [name, digest] : reply.delta.changed) {
    const std::string* content = cache_.find_block(digest);
    if (content != nullptr && attached + content->size() <= kMaxAttachedBlockBytes) {
      attached += content->size();
      reply.blocks.push_back(*content);
    }
  }
  return reply;
}

BlockReply ConfigurationManager::answer_blocks(const BlockRequest& request) const {
  BlockReply reply;
  for (const std::string& digest : request.digests) {
    if (const std::string* content = cache_.find_block(digest)) {
      reply.blocks.push_back(*content);
    }
  }
  return reply;
}

// ---- Fetching and installing the known head.

void ConfigurationManager::on_head_changed() {
  if (tracker_.learned()) {
    fetch_known_head();
  }
}

void ConfigurationManager::fetch_known_head() {
  const ConfigurationHead head = tracker_.known();
  if (current_ != nullptr && head.version == applied_.version) {
    return;
  }
  if (head.version == 0) {
    install(head);
    return;
  }
  if (fetcher_.busy()) {
    return;  // on_fetched() calls this function again
  }
  fetcher_.fetch(head, applied_.manifest_digest,
                 lifetime_.guard([this, head](const Expected<std::monostate>& result) {
                   on_fetched(head, result);
                 }));
}

void ConfigurationManager::on_fetched(const ConfigurationHead& head,
                                      const Expected<std::monostate>& result) {
  if (result) {
    install(head);
  } else {
    dependencies_.logger.write(
        LogLevel::kWarning, "configuration_not_fetched",
        {{"version", std::to_string(head.version)}, {"message", result.error().message}});
    fetch_timer_->enable(next_fetch_pause());
    return;
  }
  fetch_known_head();
}

void ConfigurationManager::install(const ConfigurationHead& head) {
  const bool is_newer = current_ == nullptr || head.version > applied_.version;
  if (!is_newer && knobs_.safeguards.versions_only_upwards) {
    return;
  }
  auto assembled = cache_.assemble(head);
  if (!assembled) {
    dependencies_.logger.write(
        LogLevel::kError, "configuration_not_assembled",
        {{"version", std::to_string(head.version)}, {"message", assembled.error().message}});
    fetch_timer_->enable(next_fetch_pause());
    return;
  }
  failed_fetches_ = 0;
  applied_ = head;
  current_ = *std::move(assembled);
  evict_old_content();
  version_gauge_.set(static_cast<double>(head.version));
  dependencies_.logger.write(LogLevel::kInfo, "configuration_in_force",
                             {{"version", std::to_string(head.version)}, {"origin", head.origin}});
  const ConfigurationPtr installed = current_;
  for (const auto& subscriber : subscribers_) {
    subscriber(installed);
  }
}

Duration ConfigurationManager::next_fetch_pause() {
  constexpr uint32_t kMaxDoublings = 10;
  const uint32_t doublings = std::min(failed_fetches_++, kMaxDoublings);
  const Duration pause = std::min(knobs_.fetch_retry * (1U << doublings), knobs_.max_fetch_retry);
  // Jitter between half and all of the pause, so that nodes that failed together do not retry
  // together.
  return pause / 2 + Duration(static_cast<int64_t>(
                         dependencies_.random.below(static_cast<uint64_t>(pause.count() / 2))));
}

void ConfigurationManager::evict_old_content() {
  recent_manifests_.push_front(applied_.manifest_digest);
  if (recent_manifests_.size() > knobs_.kept_versions) {
    recent_manifests_.resize(knobs_.kept_versions);
  }
  cache_.retain({recent_manifests_.begin(), recent_manifests_.end()});
}

// ---- Past versions.

void ConfigurationManager::history(uint32_t limit,
                                   Callback<std::vector<ConfigurationHead>> callback) {
  // Keys sort by version, so the newest rows start `limit` versions before the known head.
  const ConfigurationVersion newest = tracker_.known().version;
  ScanRequest scan{std::string(kConfigurationTable), "history/", "", limit};
  scan.after_key = newest > limit ? history_key(newest - limit) : "";
  dependencies_.table_store.scan(
      std::move(scan),
      lifetime_.guard([callback = std::move(callback)](const Expected<ScanPage>& page) {
        if (!page) {
          callback(tl::unexpected(page.error()));
          return;
        }
        std::vector<ConfigurationHead> heads;
        for (auto row = page->rows.rbegin(); row != page->rows.rend(); ++row) {
          if (auto head = decode_head(row->value)) {
            heads.push_back(*std::move(head));
          }
        }
        callback(std::move(heads));
      }));
}

void ConfigurationManager::load_version(ConfigurationVersion version,
                                        Callback<ConfigurationPtr> callback) {
  if (version == 0 || (current_ != nullptr && version == applied_.version)) {
    auto configuration = version == 0 ? std::make_shared<const Configuration>() : current_;
    dependencies_.dispatcher.post(lifetime_.guard(
        [callback = std::move(callback), configuration] { callback(configuration); }));
    return;
  }
  dependencies_.table_store.read(
      RowKey{std::string(kConfigurationTable), history_key(version)},
      lifetime_.guard([this, version, callback = std::move(callback)](
                          const Expected<std::optional<Row>>& row) mutable {
        if (!row) {
          callback(tl::unexpected(row.error()));
          return;
        }
        if (!*row) {
          callback(tl::unexpected(not_run(ErrorKind::kNotFound,
                                          "there is no version " + std::to_string(version),
                                          "choose a version from the history")));
          return;
        }
        const auto head = decode_head((*row)->value);
        if (!head) {
          callback(tl::unexpected(head.error()));
          return;
        }
        load_head(*head, std::move(callback));
      }));
}

// Uses a separate cache and fetcher, so that content of past versions does not enter the main
// cache.
struct ConfigurationManager::VersionLoad {
  VersionLoad(NodeDependencies& dependencies, MembershipView& members,
              const ConfigurationKnobs& knobs)
      : fetcher(dependencies, members, cache, knobs) {}
  ConfigurationCache cache;
  ConfigurationFetcher fetcher;
};

void ConfigurationManager::load_head(const ConfigurationHead& head,
                                     Callback<ConfigurationPtr> callback) {
  auto load = std::make_shared<VersionLoad>(dependencies_, members_, knobs_);
  load->fetcher.fetch(
      head, "",
      lifetime_.guard([this, load, head,
                       callback = std::move(callback)](const Expected<std::monostate>& result) {
        callback(result ? load->cache.assemble(head) : tl::unexpected(result.error()));
        // Deferred destruction: the fetcher is still on the call stack here.
        dependencies_.dispatcher.post([load] {});
      }));
}

// ---- Changes.

Expected<ParsedConfiguration> ConfigurationManager::parse_and_check(
    const ConfigurationBundle& bundle, uint32_t& samples) const {
  if (const size_t bytes = bundle_bytes(bundle); bytes > knobs_.bundle_bytes) {
    return tl::unexpected(not_run(ErrorKind::kTooLarge,
                                  "the configuration has " + std::to_string(bytes) +
                                      " bytes, more than " + std::to_string(knobs_.bundle_bytes),
                                  "shorten it; comments in policies count too"));
  }
  auto parsed = parse_configuration(bundle);
  if (!parsed) {
    return parsed;
  }
  for (const auto& [name, policy] : parsed->configuration.policies) {
    if (auto checked = check_policy(policy, knobs_.policy); !checked) {
      return tl::unexpected(std::move(checked.error()));
    }
    samples += static_cast<uint32_t>(policy.samples.size());
  }
  return parsed;
}

Expected<Configuration> ConfigurationManager::resolve_kept_keys(
    const Configuration& configuration, std::optional<ConfigurationVersion> base_version) const {
  if (!has_kept_keys(configuration)) {
    return configuration;
  }
  // API keys of an older version must not be restored.
  const bool behind = current_ == nullptr || applied_.version < base_version.value_or(0);
  if (behind) {
    return tl::unexpected(not_run(ErrorKind::kUnavailable,
                                  "this node does not yet have the base version from which API "
                                  "keys are to be kept",
                                  "apply again in a few seconds, or through another node"));
  }
  return with_kept_keys(configuration, *current_);
}

Expected<CheckOutcome> ConfigurationManager::check(const ConfigurationBundle& bundle) const {
  CheckOutcome outcome;
  const auto parsed = parse_and_check(bundle, outcome.samples);
  if (!parsed) {
    return tl::unexpected(parsed.error());
  }
  const auto resolved = resolve_kept_keys(parsed->configuration, std::nullopt);
  if (!resolved) {
    return tl::unexpected(resolved.error());
  }
  outcome.current_version = applied_.version;
  outcome.difference = difference_from(cache_, applied_.manifest_digest,
                                       split_configuration(*resolved, knobs_.tenant_buckets));
  return outcome;
}

struct ConfigurationManager::ApplyAttempt {
  Configuration configuration;
  ConfigurationVersion base_version = 0;
  ConfigurationHead base;  // the head row as read
  PublishRequest publish;
  std::string difference;
  Callback<ApplyOutcome> callback;
};

void ConfigurationManager::apply(ApplyRequest request, Callback<ApplyOutcome> callback) {
  uint32_t samples = 0;
  auto parsed = parse_and_check(request.bundle, samples);
  std::optional<ConfigurationVersion> base_version = request.base_version;
  if (parsed && !base_version) {
    base_version = parsed->base_version;
  }
  if (parsed && !base_version) {
    parsed = tl::unexpected(not_run(
        ErrorKind::kInvalidRequest, "the base version is missing",
        "give the version that the text was edited from: version = N at the top of the document, "
        "or the parameter base_version (0 if nothing has been applied yet)"));
  }
  if (parsed) {
    auto resolved = resolve_kept_keys(parsed->configuration, base_version);
    if (resolved) {
      parsed->configuration = *std::move(resolved);
    } else {
      parsed = tl::unexpected(std::move(resolved.error()));
    }
  }
  if (!parsed) {
    dependencies_.dispatcher.post(
        lifetime_.guard([callback = std::move(callback), error = parsed.error()] {
          callback(tl::unexpected(error));
        }));
    return;
  }
  auto attempt = std::make_shared<ApplyAttempt>();
  attempt->configuration = std::move(parsed->configuration);
  attempt->base_version = *base_version;
  attempt->callback = std::move(callback);
  ConfigurationHead& head = attempt->publish.head;
  head.author = std::move(request.author);
  head.comment = std::move(request.comment);
  head.origin = identity_.id;
  head.attempt = identity_.id + "-" + format_hex(dependencies_.random.next());
  dependencies_.table_store.read(
      RowKey{std::string(kConfigurationTable), std::string(kConfigurationHeadKey)},
      lifetime_.guard(
          [this, attempt](const Expected<std::optional<Row>>& row) { on_base_row(attempt, row); }));
}

void ConfigurationManager::on_base_row(const ApplyAttemptPtr& attempt,
                                       const Expected<std::optional<Row>>& row) {
  if (!row) {
    Error error = not_run(ErrorKind::kStoreUnavailable,
                          "the configuration was not accepted: " + row.error().message,
                          "nothing has changed; apply again when the platform's store responds");
    error.retry_after = row.error().retry_after;
    attempt->callback(tl::unexpected(std::move(error)));
    return;
  }
  if (*row) {
    const auto head = decode_head((*row)->value);
    if (!head) {
      attempt->callback(tl::unexpected(head.error()));
      return;
    }
    attempt->base = *head;
    attempt->publish.base_row_version = (*row)->version;
    tracker_.observe_head(*head);
  }
  attempt->publish.split = split_configuration(attempt->configuration, knobs_.tenant_buckets);
  if (attempt->publish.split.manifest_digest == attempt->base.manifest_digest) {
    // The requested content is already active, for example when an apply is resent after its
    // response was lost.
    attempt->callback(ApplyOutcome{true, false, attempt->base.version, ""});
  } else if (attempt->base.version != attempt->base_version) {
    report_conflict(attempt);
  } else {
    publish(attempt);
  }
}

void ConfigurationManager::publish(const ApplyAttemptPtr& attempt) {
  PublishRequest& request = attempt->publish;
  if (const auto* base = cache_.find_manifest(attempt->base.manifest_digest)) {
    for (const auto& [name, digest] : base->digests) {
      request.stored_blocks.insert(digest);
    }
  }
  if (applied_.version == attempt->base.version) {
    attempt->difference = difference_from(cache_, attempt->base.manifest_digest, request.split);
  }
  request.head.version = attempt->base.version + 1;
  request.head.manifest_digest = request.split.manifest_digest;
  request.head.accepted_at = dependencies_.time_source.wall_now().time_since_epoch().count();
  publisher_.publish(request,
                     lifetime_.guard([this, attempt](const Expected<PublishOutcome>& outcome) {
                       on_published(attempt, outcome);
                     }));
}

void ConfigurationManager::on_published(const ApplyAttemptPtr& attempt,
                                        const Expected<PublishOutcome>& outcome) {
  if (!outcome) {
    attempt->callback(tl::unexpected(outcome.error()));
    return;
  }
  if (*outcome == PublishOutcome::kConflict) {
    report_conflict(attempt);
    return;
  }
  const ConfigurationHead& head = attempt->publish.head;
  if (const auto added = cache_.add(attempt->publish.split); !added) {
    dependencies_.logger.write(LogLevel::kError, "configuration_unreadable_by_writer",
                               {{"message", added.error().message}});
  }
  if (head.version > applied_.version) {
    install(head);
  }
  tracker_.observe_head(head);
  attempt->callback(ApplyOutcome{true, true, head.version, attempt->difference});
}

void ConfigurationManager::report_conflict(const ApplyAttemptPtr& attempt) {
  dependencies_.table_store.read(
      RowKey{std::string(kConfigurationTable), std::string(kConfigurationHeadKey)},
      lifetime_.guard([this, attempt](const Expected<std::optional<Row>>& row) {
        ApplyOutcome conflict;
        conflict.version = attempt->base.version;
        const auto head =
            row && *row ? decode_head((*row)->value) : Expected<ConfigurationHead>(attempt->base);
        if (head) {
          conflict.version = head->version;
          tracker_.observe_head(*head);
        }
        load_version(
            attempt->base_version,
            lifetime_.guard([this, attempt, conflict](const Expected<ConfigurationPtr>& base) {
              load_version(
                  conflict.version, lifetime_.guard([attempt, conflict, base](
                                                        const Expected<ConfigurationPtr>& current) {
                    ApplyOutcome outcome = conflict;
                    // If the base cannot be loaded (its version may not exist), the submitted text
                    // is compared instead.
                    const std::string before =
                        base ? text_of(*base) : format_configuration(attempt->configuration);
                    outcome.difference =
                        current ? configuration_difference(before, text_of(*current)) : "";
                    attempt->callback(outcome);
                  }));
            }));
      }));
}

}  // namespace chalkshed
