// Reads the content, results and progress of a job that another node accepted, so that this node
// can run it.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chalkshed/failure_recorder.h"
#include "src/core/lifetime.h"
#include "src/jobs/job_environment.h"
#include "src/jobs/progress_origins.h"

namespace chalkshed {

struct LoadedJob {
  std::vector<ServingRequest> items;
  std::vector<std::string> listed;  // ids of the items that have results, in the result order
  std::map<std::string, ItemProgress> progress;   // of unfinished items, by id
  std::map<std::string, item_failures> failures;  // of items with failed runs, by id
  std::vector<ProgressOrigin> origins = {};       // of the progress
};

class JobLoader {
 public:
  explicit JobLoader(JobEnvironment& environment) : environment_(environment) {}

  // Errors: kStoreUnavailable, kNotFound, kInvalidRequest (malformed content).
  void load_items(const StoredJob& record, Callback<std::vector<ServingRequest>> callback);
  void load(const StoredJob& record, Callback<LoadedJob> callback);

 private:
  void load_content(const StoredJob& record, Callback<std::shared_ptr<const std::string>> callback);
  void load_pieces(const std::string& job, uint32_t piece, std::string content,
                   Callback<std::shared_ptr<const std::string>> callback);
  void load_listed(const std::string& job, std::shared_ptr<LoadedJob> loaded,
                   Callback<LoadedJob> callback);
  void load_progress(const std::string& job, std::shared_ptr<LoadedJob> loaded,
                     Callback<LoadedJob> callback);
  void load_failures(const std::string& job, std::shared_ptr<LoadedJob> loaded,
                     Callback<LoadedJob> callback);
  // Reads the range page by page. @param take called for each row; the last row of a page is passed
  // twice.
  void load_rows(const RangeRead& range, std::function<void(const StoredRow&)> take,
                 Callback<std::monostate> done);

  JobEnvironment& environment_;
  Lifetime lifetime_;
};

}  // namespace chalkshed
