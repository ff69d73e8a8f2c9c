// A batch job of opaque requests: what is accepted, what is stored of it, and its results.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/core/time.h"
#include "src/platform/watched_store.h"
#include "src/serving/serving_request.h"

namespace chalkshed {

struct RequestJob {
  // Names the job at all nodes and in the store: the caller's id, marked with the tenant. The same
  // job may be sent again under it.
  std::string id;
  std::string tenant;         // empty: nobody in particular
  std::string authorization;  // as the caller sent it, for a peer that takes the job instead
  std::string host;
  std::string path;                   // selects the job's route together with the host
  std::vector<ServingRequest> items;  // each with its own id
  std::string content;                // the items as sent; what is stored
  bool forwarded = false;             // by a peer: it is not handed on once more
  // The newest version of the store when the caller sent the job, as far as the node knew that it
  // sent it to. A refusal that was written later binds this send wherever it is handed to.
  StoreVersion sent_as_of = 0;
  // Turns true when the caller leaves without its answer; null: it cannot leave.
  std::shared_ptr<const bool> caller_left;
};

// The state of a job that all nodes share. Only its owner may append results; whoever takes it over
// raises the epoch, which fences the owner before.
struct StoredJob {
  std::string id;
  std::string tenant;
  std::string host;
  std::string path;
  uint32_t items = 0;
  uint64_t tokens = 0;  // of all items, as they count against the queue limit of the route
  std::string owner;    // session of a node; empty: free to be taken
  uint64_t epoch = 0;
  bool ended = false;     // by its caller
  bool finished = false;  // every item has its result
  bool content_in_object = false;
  Duration accepted{0};  // by the store's clock
};

// The items run on behalf of the tenant of their job.
inline void set_tenant(std::vector<ServingRequest>& items, const std::string& tenant) {
  for (ServingRequest& item : items) {
    item.tenant = tenant;
  }
}

enum class ItemState { kCompleted, kErrored };

struct JobResult {
  std::string item;
  ItemState state = ItemState::kErrored;
  std::string text;
  // The text lies in the object that `text` names: it is too large for a row.
  bool in_object = false;
};

// What the runs of an item have brought so far.
struct ItemProgress {
  std::string text;  // data of the events, separated by line feeds
  bool has_text = false;
  std::optional<uint64_t> last_event;
};

// Part of the wire format that jobs are sent in.
class JobCodec {
 public:
  virtual ~JobCodec() = default;
  // Errors: kInvalidRequest, naming what is wrong.
  virtual Expected<std::vector<ServingRequest>> decode_items(const std::string& host,
                                                             std::string_view content) const = 0;
  // The call by which one node hands the job to another.
  virtual HttpRequest encode_submission(const RequestJob& job) const = 0;
};

}  // namespace chalkshed
