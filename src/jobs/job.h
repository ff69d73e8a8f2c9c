// A batch job of opaque requests: its submission, its stored record and its results.
#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "chalkshed/software_id.h"
#include "src/core/error.h"
#include "src/core/http_message.h"
#include "src/core/time.h"
#include "src/platform/watched_store.h"
#include "src/serving/serving_request.h"

namespace chalkshed {

struct RequestJob {
  // Identifies the job at all nodes and in the store: the caller's id, qualified by the tenant. A
  // caller may submit the same job again under the same id.
  std::string id;
  std::string tenant;         // empty: no tenant
  std::string authorization;  // as the caller sent it, for a peer that the job is forwarded to
  std::string host;
  std::string path;                   // selects the job's route together with the host
  std::vector<ServingRequest> items;  // each with its own id
  std::string content;                // the items as sent; stored unchanged
  bool forwarded = false;             // by a peer; it is not forwarded again
  // The newest store version known to the node that received the job from its caller, at that
  // time. A refusal written later applies to this submission at every node it is forwarded to.
  StoreVersion sent_as_of = 0;
  // Set to true when the caller disconnects before its answer; null: it cannot disconnect.
  std::shared_ptr<const bool> caller_left;
};

// The state of a job that all nodes share. Only its owner may append results; a takeover increments
// the epoch, which fences the previous owner.
struct StoredJob {
  std::string id;
  std::string tenant;
  std::string host;
  std::string path;
  uint32_t items = 0;
  uint64_t tokens = 0;  // of all items, as they count against the queue limit of the route
  std::string owner;    // session of a node; empty: no owner, any node may take it over
  uint64_t epoch = 0;
  bool ended = false;     // by its caller
  bool finished = false;  // every item has its result
  bool content_in_object = false;
  Duration accepted{0};  // by the store's clock
  std::string content;   // digest of the items as sent; empty: written by an older build
};

// Sets the tenant of the job on each of its items.
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
  // The text is too large for a row and is stored in the object that `text` names.
  bool in_object = false;
};

// The output that the runs of an item have produced so far.
struct ItemProgress {
  std::string text;  // data of the events, separated by line feeds
  bool has_text = false;
  std::optional<uint64_t> last_event;
  // Of the workers that wrote the text.
  software_id software = software_id::kUnknown;
};

// The part of the wire format that jobs are submitted in.
class JobCodec {
 public:
  virtual ~JobCodec() = default;
  // Errors: kInvalidRequest, whose message names the defect.
  virtual Expected<std::vector<ServingRequest>> decode_items(const std::string& host,
                                                             std::string_view content) const = 0;
  // The request by which one node forwards the job to another.
  virtual HttpRequest encode_submission(const RequestJob& job) const = 0;
  // Whether an answer with these headers is to the submission of that job, and not to another call
  // or of another server.
  // @param id of RequestJob.
  virtual bool answers_submission(const std::string& id, const HttpHeaders& headers) const = 0;
};

}  // namespace chalkshed
