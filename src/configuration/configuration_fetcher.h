// Fetches the manifest and the blocks of a version, first from peers, then from the object store.
#pragma once

#include <deque>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "src/configuration/configuration_content.h"
#include "src/configuration/configuration_knobs.h"
#include "src/configuration/configuration_messages.h"
#include "src/core/lifetime.h"
#include "src/membership/membership_view.h"
#include "src/node/node_dependencies.h"

namespace chalkshed {

class ConfigurationFetcher {
 public:
  ConfigurationFetcher(NodeDependencies& dependencies, MembershipView& members,
                       ConfigurationCache& cache, const ConfigurationKnobs& knobs);

  // Loads the head's manifest and all its blocks into the cache. Only one fetch may run at a time.
  // @param known_manifest digest of a cached manifest that replies of peers may be based on; may be
  // empty.
  // Errors: kStoreUnavailable when neither peers nor the store provided the content.
  void fetch(const ConfigurationHead& head, const std::string& known_manifest,
             Callback<std::monostate> callback);

  bool busy() const { return callback_ != nullptr; }

 private:
  void choose_peers();
  void advance();
  void request_manifest();
  void on_manifest_reply(const Expected<std::string>& body);
  void request_blocks(const std::vector<std::string>& missing);
  void on_block_reply(const Expected<std::string>& body);
  void read_manifest_object();
  void read_block_objects(const std::vector<std::string>& missing);
  void on_block_object(const std::string& digest,
                       const Expected<std::shared_ptr<const std::string>>& content);
  void next_peer();
  void finish(Expected<std::monostate> result);
  // Calls the next peer. `on_response` gets its response unless a newer step has begun.
  void call_peer(const char* method, std::string body,
                 std::function<void(const Expected<std::string>&)> on_response);

  NodeDependencies& dependencies_;
  MembershipView& members_;
  ConfigurationCache& cache_;
  const ConfigurationKnobs& knobs_;
  Counter& peer_fetches_;
  Counter& store_fetches_;

  ConfigurationHead head_;
  std::string known_manifest_;
  Callback<std::monostate> callback_;
  std::deque<Address> peers_;
  uint64_t step_ = 0;  // responses to earlier steps are ignored
  size_t pending_objects_ = 0;
  std::optional<Error> object_error_;
  TimerPtr timeout_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
