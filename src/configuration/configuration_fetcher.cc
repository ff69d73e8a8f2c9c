#include "src/configuration/configuration_fetcher.h"

#include <algorithm>
#include <utility>

#include "src/core/digest.h"

namespace chalkshed {
namespace {

Error content_unavailable(const std::string& what) {
  return not_run(ErrorKind::kStoreUnavailable,
                 what + " was provided neither by peers nor by the store",
                 "wait until the object store or a peer responds; the node retries automatically");
}

}  // namespace

ConfigurationFetcher::ConfigurationFetcher(NodeDependencies& dependencies, MembershipView& members,
                                           ConfigurationCache& cache,
                                           const ConfigurationKnobs& knobs)
    : dependencies_(dependencies),
      members_(members),
      cache_(cache),
      knobs_(knobs),
      peer_fetches_(dependencies.metrics.counter("chalkshed_configuration_fetches_total",
                                                 "Configuration content asked for, by source.",
                                                 {{"source", "peer"}})),
      store_fetches_(dependencies.metrics.counter("chalkshed_configuration_fetches_total",
                                                  "Configuration content asked for, by source.",
                                                  {{"source", "object_store"}})),
      timeout_(dependencies.dispatcher.create_timer([this] { next_peer(); })) {}

void ConfigurationFetcher::fetch(const ConfigurationHead& head, const std::string& known_manifest,
                                 Callback<std::monostate> callback) {
  head_ = head;
  known_manifest_ = known_manifest;
  callback_ = std::move(callback);
  choose_peers();
  ++step_;
  dependencies_.dispatcher.post(lifetime_.guard([this] { advance(); }));
}

void ConfigurationFetcher::choose_peers() {
  std::vector<Address> candidates;
  std::optional<Address> origin;
  for (const Member& member : members_.members()) {
    if (member.id == members_.self().id || member.state == MemberState::kSuspect) {
      continue;
    }
    if (member.id == head_.origin) {
      origin = member.http_address;
    } else {
      candidates.push_back(member.http_address);
    }
  }
  peers_.clear();
  while (!candidates.empty() && peers_.size() < knobs_.fetch_peer_attempts) {
    const size_t index = dependencies_.random.below(candidates.size());
    peers_.push_back(candidates[index]);
    candidates.erase(candidates.begin() + static_cast<std::ptrdiff_t>(index));
  }
  // The node that accepted the version is certain to have it, but is tried last because it cannot
  // serve all nodes at once.
  if (origin) {
    peers_.push_back(*origin);
  }
}

void ConfigurationFetcher::advance() {
  const ConfigurationManifest* manifest = cache_.find_manifest(head_.manifest_digest);
  if (manifest == nullptr) {
    if (peers_.empty()) {
      read_manifest_object();
    } else {
      request_manifest();
    }
    return;
  }
  const std::vector<std::string> missing = cache_.missing_blocks(*manifest);
  if (missing.empty()) {
    finish(std::monostate{});
  } else if (peers_.empty()) {
    read_block_objects(missing);
  } else {
    request_blocks(missing);
  }
}

void ConfigurationFetcher::call_peer(
    const char* method, std::string body,
    std::function<void(const Expected<std::string>&)> on_response) {
  peer_fetches_.add(1);
  const uint64_t step = ++step_;
  timeout_->enable(knobs_.fetch_peer_timeout);
  dependencies_.peer_client.call(peers_.front(), method, std::move(body),
                                 lifetime_.guard([this, step, on_response = std::move(on_response)](
                                                     const Expected<std::string>& answer) {
                                   if (step == step_) {
                                     timeout_->disable();
                                     on_response(answer);
                                   }
                                 }));
}

void ConfigurationFetcher::request_manifest() {
  const bool known = cache_.find_manifest(known_manifest_) != nullptr;
  const ManifestRequest request{head_.manifest_digest, known ? known_manifest_ : ""};
  call_peer(kConfigurationManifestMethod, encode(request),
            [this](const Expected<std::string>& body) { on_manifest_reply(body); });
}

void ConfigurationFetcher::on_manifest_reply(const Expected<std::string>& body) {
  if (!body) {
    next_peer();
    return;
  }
  const auto reply = decode_manifest_reply(*body);
  if (!reply) {
    next_peer();
    return;
  }
  ConfigurationManifest base;
  const ConfigurationManifest* known = cache_.find_manifest(known_manifest_);
  if (!reply->complete && known != nullptr) {
    base = *known;
  }
  ConfigurationManifest manifest = apply_delta(std::move(base), reply->delta);
  if (content_digest(encode_manifest(manifest)) != head_.manifest_digest) {
    next_peer();
    return;
  }
  cache_.add_manifest(std::move(manifest));
  for (const std::string& content : reply->blocks) {
    cache_.add_block(content).map([](const std::string&) {});
  }
  advance();
}

void ConfigurationFetcher::request_blocks(const std::vector<std::string>& missing) {
  call_peer(kConfigurationBlockMethod, encode(BlockRequest{missing}),
            [this](const Expected<std::string>& body) { on_block_reply(body); });
}

void ConfigurationFetcher::on_block_reply(const Expected<std::string>& body) {
  const auto reply = body ? decode_block_reply(*body) : Expected<BlockReply>(BlockReply{});
  const bool useful = reply && !reply->blocks.empty();
  if (useful) {
    for (const std::string& content : reply->blocks) {
      cache_.add_block(content).map([](const std::string&) {});
    }
  } else {
    peers_.pop_front();
  }
  advance();
}

void ConfigurationFetcher::next_peer() {
  ++step_;
  if (!peers_.empty()) {
    peers_.pop_front();
  }
  advance();
}

void ConfigurationFetcher::read_manifest_object() {
  store_fetches_.add(1);
  dependencies_.object_store.get(
      manifest_object_name(head_.manifest_digest),
      lifetime_.guard([this](const Expected<std::shared_ptr<const std::string>>& content) {
        auto manifest = content ? decode_manifest(**content) : tl::unexpected(content.error());
        if (!manifest || cache_.add_manifest(*std::move(manifest)) != head_.manifest_digest) {
          finish(tl::unexpected(content_unavailable("manifest " + head_.manifest_digest)));
        } else {
          advance();
        }
      }));
}

void ConfigurationFetcher::read_block_objects(const std::vector<std::string>& missing) {
  pending_objects_ = std::min<size_t>(missing.size(), knobs_.fetch_parallel_objects);
  object_error_.reset();
  for (size_t index = 0; index < pending_objects_; ++index) {
    const std::string& digest = missing[index];
    store_fetches_.add(1);
    dependencies_.object_store.get(
        block_object_name(digest),
        lifetime_.guard(
            [this, digest](const Expected<std::shared_ptr<const std::string>>& content) {
              on_block_object(digest, content);
            }));
  }
}

void ConfigurationFetcher::on_block_object(
    const std::string& digest, const Expected<std::shared_ptr<const std::string>>& content) {
  const auto added = content ? cache_.add_block(**content)
                             : Expected<std::string>(tl::unexpected(content.error()));
  if (!added || *added != digest) {
    object_error_ = content_unavailable("block " + digest);
  }
  if (--pending_objects_ > 0) {
    return;
  }
  if (object_error_) {
    finish(tl::unexpected(*object_error_));
  } else {
    advance();
  }
}

void ConfigurationFetcher::finish(Expected<std::monostate> result) {
  ++step_;
  timeout_->disable();
  const auto callback = std::exchange(callback_, nullptr);
  callback(std::move(result));
}

}  // namespace chalkshed
